package commands

import (
	"context"
	"io"

	"github.com/gravitational/trace"
)

type metricsCommand struct{ entryOptions }

func (c *metricsCommand) run(ctx context.Context, out io.Writer) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	read := client.MetricsText
	if c.JSON {
		read = client.Metrics
	}
	data, err := read(ctx)
	if err != nil {
		return err
	}
	_, err = out.Write(data)
	return trace.Wrap(err)
}
