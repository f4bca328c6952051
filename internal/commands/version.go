package commands

import (
	"context"
	"fmt"
	"io"
)

// version is the version of this source tree.
const version = "0.1.0"

type versionCommand struct{}

func (*versionCommand) run(_ context.Context, out io.Writer) error {
	_, err := fmt.Fprintln(out, program, version)
	return err
}
