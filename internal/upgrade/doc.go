// Package upgrade tests that daemons of two builds serve side by side while one build replaces the other.
package upgrade
