package commands

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/azurepond/azurepond/internal/admin"
	"github.com/azurepond/azurepond/pkg/operator"
)

type applyCommand struct {
	entryOptions
	changeOptions
	waitOptions
	File string  `arg:"positional,required" help:"the configuration, or the questionnaire to generate it from"`
	Base *uint64 `arg:"--base" help:"the revision that it builds on, instead of the one in the file"`
}

func (c *applyCommand) run(ctx context.Context, out io.Writer) error {
	config, err := loadConfig(c.File)
	if err != nil {
		return err
	}
	if c.Base != nil {
		config = config.WithRevision(operator.Revision(*c.Base))
	}
	revision, err := sendChange(out, &c.entryOptions, c.idempotencyKey(),
		func(c *admin.Client, key admin.IdempotencyKey) (operator.Outcome, error) {
			return c.Apply(ctx, key, config)
		})
	if err != nil {
		return err
	}
	if err := printMessage(out, c.JSON, "applied: team %s, revision %d", config.Team(), revision); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	return c.wait(ctx, out, &c.entryOptions, "", revisionInForce(revision))
}

// revisionInForce holds when revision is in force on all entries that are not dead. Its text lists those that lag.
func revisionInForce(revision operator.Revision) waitCondition {
	return func(status admin.Status) (bool, string) {
		var lagging []string
		aliveCount := 0
		for _, entry := range status.Entries() {
			if entry.State() == admin.StateDead {
				continue
			}
			aliveCount++
			if entry.Revision() < revision {
				lagging = append(lagging, fmt.Sprintf("%s (%d)", entry.Name(), entry.Revision()))
			}
		}
		text := fmt.Sprintf("revision %d is in force on %d of %d entries", revision, aliveCount-len(lagging), aliveCount)
		if len(lagging) > 0 {
			text += "; behind: " + strings.Join(lagging, ", ")
		}
		return aliveCount > 0 && len(lagging) == 0, text
	}
}
