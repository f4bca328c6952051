package commands_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/azurepond/azurepond/internal/commands"
	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
	. "github.com/smartystreets/goconvey/convey"
)

// TestExamples generates the configuration of each example and compares it with the stored one, settings and stand-ins.
func TestExamples(t *testing.T) {
	for _, user := range []string{"vestiario", "bellandi"} {
		directory := filepath.Join("..", "..", "examples", user)
		Convey("The example of "+user, t, func() {
			made, err := os.ReadFile(filepath.Join(directory, "configuration.yaml"))
			So(err, ShouldBeNil)
			config, err := operator.ParseConfig("configuration.yaml", made)
			So(err, ShouldBeNil)
			stand, err := settings.LoadStandIns(filepath.Join(directory, "stand.yaml"))
			So(err, ShouldBeNil)

			Convey("generates the configuration stored beside it", func() {
				var out bytes.Buffer
				code := commands.Execute([]string{"make", filepath.Join(directory, "questionnaire.yaml")}, &out, &out)
				So(code, ShouldEqual, 0)
				So(out.String(), ShouldEqual, string(made))
			})
			Convey("has an engine for each instance that its models need", func() {
				free := map[string]int{}
				for _, engine := range stand.Engines() {
					free[engine.Pool()]++
				}
				for _, model := range config.Models() {
					free[model.Pool()] -= model.Span() * model.Replicas()
					So(free[model.Pool()], ShouldBeGreaterThanOrEqualTo, 0)
				}
			})
			Convey("runs its services at the addresses in its configuration", func() {
				So(len(stand.Services()), ShouldEqual, len(config.Services()[0].Upstreams()))
				for i, upstream := range config.Services()[0].Upstreams() {
					So(stand.Services()[i].Address(), ShouldEqual, upstream.Address())
					So(stand.Services()[i].Centre(), ShouldEqual, upstream.Centre())
				}
			})
			Convey("has settings for 7 or 8 entries with distinct addresses", func() {
				paths, err := filepath.Glob(filepath.Join(directory, "entry-*.yaml"))
				So(err, ShouldBeNil)
				So(len(paths), ShouldBeBetweenOrEqual, 7, 8)
				taken := map[settings.Listeners]bool{}
				for _, path := range paths {
					loaded, err := settings.Load(path)
					So(err, ShouldBeNil)
					So(loaded.Platform(), ShouldEqual, stand.Platform())
					So(taken[loaded.Listeners()], ShouldBeFalse)
					taken[loaded.Listeners()] = true
				}
			})
		})
	}
}
