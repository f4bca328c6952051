// Command kit plays the scripted cases of the review: it starts the project's daemons as separate processes before stand-ins of the
// platform, the workers and the clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// maxRunTime limits one run.
const maxRunTime = 118 * time.Second

// cases are the scripted cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(f *fleet, trouble bool) (bool, error), record string) int {
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return cannotRun
	}
	defer f.stop()
	watchdog := time.AfterFunc(maxRunTime, func() {
		f.logf("cannot run: no result after %v", maxRunTime)
		f.stop()
		os.Exit(cannotRun)
	})
	defer watchdog.Stop()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		f.stop()
		os.Exit(cannotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f.logf("trouble: %v", trouble)
	isBroken, err := play(f, trouble)
	switch {
	case err != nil:
		f.logf("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return cannotRun
	case isBroken:
		f.logf("the rule was BROKEN")
		fmt.Println("the rule was broken")
		return broken
	}
	f.logf("the rule held")
	fmt.Println("the rule held")
	return held
}
