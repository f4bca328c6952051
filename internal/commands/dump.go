package commands

import (
	"context"
	"io"

	"github.com/gravitational/trace"
)

type dumpCommand struct {
	entryOptions
	Part string `arg:"positional" help:"only this part, such as instance, engine or peer"`
}

func (c *dumpCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	data, err := client.Dump(ctx, c.Part)
	if err != nil {
		return err
	}
	_, err = out.Write(data)
	return trace.Wrap(err)
}
