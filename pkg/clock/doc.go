// Package clock measures how late a daemon handles its own timers. A daemon without processor time can't tell a peer that is
// silent from an answer that it has not read yet.
package clock
