// Package instance assigns instances to replicas, repairs replicas and decides which replicas are available.
//
// A replica is available when it isn't draining and each member is alive, runs the recorded boot, has loaded its part
// of the model and reports the recorded assignment. Operators see this state as "whole".
package instance
