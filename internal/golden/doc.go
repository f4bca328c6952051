// Package golden runs golden tests from txtar files. A file contains a session: timed events, each followed by the
// effects that it must cause.
package golden
