package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/alexflint/go-arg"
)

// The exit codes. Scripts depend on them.
const (
	exitSuccess    = 0
	exitError      = 1
	exitUsage      = 2
	exitConflict   = 3
	exitRefused    = 4
	exitUnknown    = 5
	exitUnfinished = 6
	exitDifferent  = 7
)

// helpCommand prints the help text of the command that follows it, or of the program.
const helpCommand = "help"

// program is the name of the program in help texts.
const program = "azurepond"

// command is one parsed command.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

// commandLine is the whole command line, with one field for each command.
type commandLine struct {
	Demo       *demoCommand       `arg:"subcommand:demo" help:"serve a few calls on embedded stand-ins and show what happened"`
	Serve      *serveCommand      `arg:"subcommand:serve" help:"run one daemon"`
	Gateway    *gatewayCommand    `arg:"subcommand:gateway" help:"run one gateway daemon on the operators' platform"`
	Stand      *standCommand      `arg:"subcommand:stand" help:"run stand-ins of the platform, engines and services"`
	Ask        *askCommand        `arg:"subcommand:ask" help:"write a commented questionnaire"`
	Make       *makeCommand       `arg:"subcommand:make" help:"generate the configuration from a filled-in questionnaire"`
	Check      *checkCommand      `arg:"subcommand:check" help:"look for mistakes in a questionnaire, configuration or settings file"`
	Diff       *diffCommand       `arg:"subcommand:diff" help:"compare a configuration with the one in force, or with a file"`
	Apply      *applyCommand      `arg:"subcommand:apply" help:"put a configuration in force"`
	History    *historyCommand    `arg:"subcommand:history" help:"list the changes of the configuration"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show replicas, upstreams, entries and losses"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"end new work on a target and wait until nothing runs"`
	Undrain    *undrainCommand    `arg:"subcommand:undrain" help:"put a drained target back into use"`
	Stop       *stopCommand       `arg:"subcommand:stop" help:"drain a target and give it up"`
	Dump       *dumpCommand       `arg:"subcommand:dump" help:"print the state of a daemon as JSON"`
	Metrics    *metricsCommand    `arg:"subcommand:metrics" help:"print the metrics of a daemon"`
	Token      *tokenCommand      `arg:"subcommand:token" help:"make a token or an API key, and its hash"`
	Key        *keyCommand        `arg:"subcommand:key" help:"make an idempotency key for a call"`
	Completion *completionCommand `arg:"subcommand:completion" help:"print a completion script for bash"`
	Version    *versionCommand    `arg:"subcommand:version" help:"print the version"`
}

// Description returns the first sentence of the help text.
func (commandLine) Description() string {
	return "azurepond serves language models that span several instances."
}

// Epilogue returns the end of the help text.
func (commandLine) Epilogue() string {
	return "Exit codes: 0 done, 1 error, 2 wrong usage, 3 conflict with another change, 4 refused for mistakes,\n" +
		"5 unknown whether it took effect, 6 still unfinished when the wait ended, 7 differences found.\n" +
		"AZUREPOND_ENTRY (operator addresses, separated by commas) and AZUREPOND_TOKEN stand for --entry and --token,\n" +
		"AZUREPOND_AUTHORITY (a PEM file) for --authority."
}

// Execute runs the command in arguments, which do not include the program name, and returns the exit code.
func Execute(arguments []string, out, errOut io.Writer) int {
	var parsed commandLine
	parser, err := arg.NewParser(arg.Config{Program: program, Out: errOut}, &parsed)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "azurepond:", err)
		return exitError
	}
	if len(arguments) > 0 && arguments[0] == helpCommand {
		if len(arguments) > 1 && !slices.Contains(commandNames(), arguments[1]) {
			return reportUsageError(parser, errOut, fmt.Errorf("invalid subcommand: %s", arguments[1]))
		}
		arguments = append(slices.Clone(arguments[1:]), "--help")
	}
	err = parser.Parse(arguments)
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitSuccess
	}
	if err != nil {
		return reportUsageError(parser, errOut, err)
	}
	subcommand, isCommand := parser.Subcommand().(command)
	if !isCommand {
		return reportUsageError(parser, errOut, errors.New("no command given"))
	}
	if err := subcommand.run(context.Background(), out); err != nil {
		_, _ = fmt.Fprintln(errOut, "azurepond:", err)
		return exitCode(err)
	}
	return exitSuccess
}

func reportUsageError(parser *arg.Parser, errOut io.Writer, err error) int {
	_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
	_, _ = fmt.Fprintln(errOut, "azurepond:", err)
	return exitUsage
}
