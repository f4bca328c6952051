// Package entries counts what a state holds, so that tests notice state that grows without end.
package entries
