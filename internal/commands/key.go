package commands

import (
	"context"
	"fmt"
	"io"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

type keyCommand struct{}

func (*keyCommand) run(_ context.Context, out io.Writer) error {
	key, err := uuid.NewV7()
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Fprintln(out, key)
	return trace.Wrap(err)
}
