// Package object implements the protocols on the platform's object API: leases, conditional writes, and the recovery of
// writes whose result is unknown.
package object
