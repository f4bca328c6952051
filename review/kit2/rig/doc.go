// Package rig has the stand-ins of the second review: the platform's store, workers, and the gateway processes that a case starts.
package rig
