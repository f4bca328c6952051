// Package reducer combines the state machines of one daemon into one State with one Reduce. It wraps the events and
// effects of the other packages, and forwards an effect of one state machine as an event to those that it concerns.
package reducer
