package commands

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"

	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/gravitational/trace"
)

type tokenCommand struct {
	Secret string `arg:"positional" help:"print the hash of this secret instead of making one"`
}

func (c *tokenCommand) run(_ context.Context, out io.Writer) error {
	secret := c.Secret
	if secret == "" {
		secret = rand.Text()
	}
	_, err := fmt.Fprintf(out, "secret: %s\nhash: %s\n", secret, operator.NewHash(secret))
	return trace.Wrap(err)
}
