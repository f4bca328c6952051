// Package relay passes requests on between daemons: the headers of a hop, and the server of the daemon that passes them on.
package relay
