package commands

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/azurepond/azurepond/internal/admin"
	"github.com/azurepond/azurepond/pkg/operator"
)

type applyVerb struct {
	entryOptions
	changeOptions
	waitOptions
	File string  `arg:"positional,required" help:"the configuration, or the questionnaire to generate it from"`
	Base *uint64 `arg:"--base" help:"the revision that it builds on, instead of the one in the file"`
}

func (v *applyVerb) run(ctx context.Context, out io.Writer) error {
	config, err := loadConfig(v.File)
	if err != nil {
		return err
	}
	if v.Base != nil {
		config = config.WithRevision(operator.Revision(*v.Base))
	}
	revision, err := send(out, &v.entryOptions, v.key(), func(c *admin.Client, key admin.IdempotencyKey) (operator.Outcome, error) {
		return c.Apply(ctx, key, config)
	})
	if err != nil {
		return err
	}
	if err := say(out, v.JSON, "applied: team %s, revision %d", config.Team(), revision); err != nil {
		return err
	}
	if !v.Wait {
		return nil
	}
	return v.wait(ctx, out, &v.entryOptions, "", inForce(revision))
}

// inForce waits until all living entries hold revision, and names those that lag.
func inForce(revision operator.Revision) progress {
	return func(status admin.Status) (bool, string) {
		var behind []string
		living := 0
		for _, entry := range status.Entries() {
			if entry.State() == admin.StateDead {
				continue
			}
			living++
			if entry.Revision() < revision {
				behind = append(behind, fmt.Sprintf("%s (%d)", entry.Name(), entry.Revision()))
			}
		}
		text := fmt.Sprintf("revision %d is in force on %d of %d entries", revision, living-len(behind), living)
		if len(behind) > 0 {
			text += "; behind: " + strings.Join(behind, ", ")
		}
		return living > 0 && len(behind) == 0, text
	}
}
