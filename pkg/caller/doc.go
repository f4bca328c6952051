// Package caller admits calls: it enforces deadlines and the limits of organisations, divides the capacity of the fleet
// among the daemons, and lists the addresses to which callers connect.
package caller
