package commands

import (
	"errors"
	"fmt"

	"github.com/azurepond/azurepond/pkg/yaml"
)

// exitCodeError is an error with its own exit code.
type exitCodeError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e exitCodeError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e exitCodeError) Unwrap() error { return e.err }

func exitErrorf(code int, format string, values ...any) error {
	return exitCodeError{code, fmt.Errorf(format, values...)}
}

// mistakesError lists the mistakes in err, one on each line. It returns err itself if err holds none.
func mistakesError(err error) error {
	var mistakes yaml.Mistakes
	if !errors.As(err, &mistakes) {
		return err
	}
	if len(mistakes) == 1 {
		return exitErrorf(exitRefused, "1 mistake\n%v", mistakes)
	}
	return exitErrorf(exitRefused, "%d mistakes\n%v", len(mistakes), mistakes)
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var coded exitCodeError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitError
}
