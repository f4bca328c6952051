package commands

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// The exit codes that a script can rely on.
const (
	exitDone       = 0
	exitError      = 1
	exitUsage      = 2
	exitConflict   = 3
	exitRefused    = 4
	exitUnknown    = 5
	exitUnfinished = 6
	exitDifferent  = 7
)

// program is the name that help texts show.
const program = "azurepond"

// verb is one command that has been parsed and can run.
type verb interface {
	run(ctx context.Context, out io.Writer) error
}

// line is the whole command line; one field for each verb.
type line struct {
	Demo       *demoVerb       `arg:"subcommand:demo" help:"serve a few calls on embedded stand-ins and show what happened"`
	Serve      *serveVerb      `arg:"subcommand:serve" help:"run one daemon"`
	Gateway    *gatewayVerb    `arg:"subcommand:gateway" help:"run one gateway daemon on the operators' platform"`
	Stand      *standVerb      `arg:"subcommand:stand" help:"run stand-ins of the platform, engines and services"`
	Ask        *askVerb        `arg:"subcommand:ask" help:"write a commented questionnaire"`
	Make       *makeVerb       `arg:"subcommand:make" help:"generate the configuration from a filled-in questionnaire"`
	Check      *checkVerb      `arg:"subcommand:check" help:"look for mistakes in a questionnaire, configuration or settings file"`
	Diff       *diffVerb       `arg:"subcommand:diff" help:"compare a configuration with the one in force, or with a file"`
	Apply      *applyVerb      `arg:"subcommand:apply" help:"put a configuration in force"`
	History    *historyVerb    `arg:"subcommand:history" help:"list the changes of the configuration"`
	Status     *statusVerb     `arg:"subcommand:status" help:"show replicas, upstreams, entries and losses"`
	Drain      *drainVerb      `arg:"subcommand:drain" help:"end new work on a target and wait until nothing runs"`
	Undrain    *undrainVerb    `arg:"subcommand:undrain" help:"put a drained target back into use"`
	Stop       *stopVerb       `arg:"subcommand:stop" help:"drain a target and give it up"`
	Dump       *dumpVerb       `arg:"subcommand:dump" help:"print the state of a daemon as JSON"`
	Metrics    *metricsVerb    `arg:"subcommand:metrics" help:"print the metrics of a daemon"`
	Token      *tokenVerb      `arg:"subcommand:token" help:"make a token or an API key, and its hash"`
	Key        *keyVerb        `arg:"subcommand:key" help:"make an idempotency key for a call"`
	Completion *completionVerb `arg:"subcommand:completion" help:"print a completion script for bash"`
	Version    *versionVerb    `arg:"subcommand:version" help:"print the version"`
}

// Description returns the first sentence of the help text.
func (line) Description() string {
	return "azurepond serves language models that span several instances."
}

// Epilogue returns the end of the help text.
func (line) Epilogue() string {
	return "Exit codes: 0 done, 1 error, 2 wrong usage, 3 conflict with another change, 4 refused for mistakes,\n" +
		"5 unknown whether it took effect, 6 still unfinished when the wait ended, 7 differences found.\n" +
		"AZUREPOND_ENTRY (operator addresses, separated by commas) and AZUREPOND_TOKEN stand for --entry and --token,\n" +
		"AZUREPOND_AUTHORITY (a PEM file) for --authority."
}

// Execute runs the command line arguments, without the program's name, and returns the exit code.
func Execute(arguments []string, out, problems io.Writer) int {
	var parsed line
	parser, err := arg.NewParser(arg.Config{Program: program, Out: problems}, &parsed)
	if err != nil {
		_, _ = fmt.Fprintln(problems, "azurepond:", err)
		return exitError
	}
	err = parser.Parse(arguments)
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitDone
	}
	if err != nil {
		return usage(parser, problems, err)
	}
	chosen, isVerb := parser.Subcommand().(verb)
	if !isVerb {
		return usage(parser, problems, errors.New("no command given"))
	}
	if err := chosen.run(context.Background(), out); err != nil {
		_, _ = fmt.Fprintln(problems, "azurepond:", err)
		return exitCode(err)
	}
	return exitDone
}

func usage(parser *arg.Parser, problems io.Writer, err error) int {
	_ = parser.WriteUsageForSubcommand(problems, parser.SubcommandNames()...)
	_, _ = fmt.Fprintln(problems, "azurepond:", err)
	return exitUsage
}
