// Package admin implements the administration API of a daemon over HTTP, and its client.
package admin
