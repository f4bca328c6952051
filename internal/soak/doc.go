// Package soak runs gateway daemons as separate processes against a simulated platform and injects faults into
// processes and connections. The flags -soak.seeds, -soak.for and -soak.daemons set the seeds, how long faults are injected for
// each seed, and the number of daemons; -soak.daemons 60 is for runs by hand.
package soak
