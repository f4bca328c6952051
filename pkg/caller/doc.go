// Package caller admits calls: it enforces deadlines and the limits of organisations, divides the capacity of the fleet
// among the daemons, and lists the addresses to which callers connect.
//
// The slots of a target are the calls that the whole fleet can run at once on a model or a service. In each round, every
// daemon computes how many of them are allocated to it, from the usage reports of all daemons.
package caller
