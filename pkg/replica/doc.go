// Package replica plans how engines form replicas: which instances join, when a replica opens, and how it is repaired.
package replica
