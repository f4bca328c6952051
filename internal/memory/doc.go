// Package memory limits the memory that a daemon takes for bytes of others: each kind of them has a pool, on which its holders draw before
// they read.
package memory
