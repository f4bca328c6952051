// Package route contains the configuration of the gateway: the service of each route, the organisations that may send
// requests, and the models and capacity of the engines.
package route
