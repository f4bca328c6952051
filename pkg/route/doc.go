// Package route holds the configuration of the gateway: which requests go to which service, who may send them, and what
// engines can run.
package route
