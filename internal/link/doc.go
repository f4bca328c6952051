// Package link sends messages between daemons as msgpack frames over TCP. It uses mutual TLS if the settings name the
// files for it. Package peer decides which messages are sent.
package link
