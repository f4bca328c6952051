package commands

import (
	"github.com/azurepond/azurepond/internal/admin"
	"github.com/azurepond/azurepond/internal/settings"
	"github.com/google/uuid"
)

// entryOptions are the options of commands that call the administration API.
type entryOptions struct {
	Entry     []string `arg:"--entry,separate,env:AZUREPOND_ENTRY" placeholder:"ADDRESS" help:"operator address of an entry; more than one are tried in order"`
	Token     string   `arg:"--token,env:AZUREPOND_TOKEN" help:"token of your team"`
	Authority string   `arg:"--authority,env:AZUREPOND_AUTHORITY" placeholder:"FILE" help:"speak HTTPS, and trust the certificates in this PEM file"`
	JSON      bool     `arg:"--json" help:"print JSON for scripts"`
}

func (o *entryOptions) client() (*admin.Client, error) {
	client := admin.NewClient(o.Entry, o.Token)
	if o.Authority == "" {
		return client, nil
	}
	authority, err := settings.ReadFile(o.Authority)
	if err != nil {
		return nil, err
	}
	return client.WithRootCAs(authority)
}

// changeOptions identify a change, so that it can be retried.
type changeOptions struct {
	Request string `arg:"--request" help:"send this change again under the request ID that was printed"`
}

// idempotencyKey returns the given key as the key of a retry, or a new key.
func (o *changeOptions) idempotencyKey() admin.IdempotencyKey {
	if o.Request == "" {
		return newIdempotencyKey()
	}
	return admin.NewIdempotencyKey(o.Request, true)
}

func newIdempotencyKey() admin.IdempotencyKey {
	return admin.NewIdempotencyKey(uuid.Must(uuid.NewV7()).String(), false)
}
