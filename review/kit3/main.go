// Command kit3 plays the scripted cases of a review: stand-ins of the platform, the workers and the clients, and daemons of the gateway role.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
)

// The exit codes of a case.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// cases are the scripts by name. Each returns an exit code.
var cases = map[string]func(d *deploymentOptions) int{
	"routes":  runRoutes,
	"restore": runRestore,
	"two":     runTwo,
	"tokens":  runTokens,
	"drain":   runDrain,
}

type deploymentOptions struct {
	record  *record
	program string
	folder  string
	trouble bool
}

func main() {
	name := flag.String("case", "", "the case")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	program := flag.String("program", "target/azurepond", "the program")
	flag.Parse()
	run, isKnown := cases[*name]
	rec, err := newRecord(*path)
	if !isKnown || err != nil {
		fmt.Fprintln(os.Stderr, "kit3: unknown case or record:", *name, err)
		os.Exit(couldntRun)
	}
	folder, err := os.MkdirTemp("", "kit3-")
	if err != nil {
		os.Exit(couldntRun)
	}
	endOnSignal(folder)
	code := run(&deploymentOptions{rec, *program, folder, os.Getenv("TROUBLE") != "0"})
	rec.log("exit code %d", code)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// started is the deployment whose processes run.
var started atomic.Pointer[deployment]

// endOnSignal ends all processes that were started, and then this one, when it is told to stop.
func endOnSignal(folder string) {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stops
		if d := started.Load(); d != nil {
			d.stopAll()
		}
		_ = os.RemoveAll(folder)
		os.Exit(couldntRun)
	}()
}
