// Package soak runs gateway daemons as separate processes before a stand-in of the platform and injects faults from outside.
package soak
