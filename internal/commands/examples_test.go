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

// TestExamples compares the configuration of each example with its questionnaire, its stand-ins and its settings.
func TestExamples(t *testing.T) {
	for _, user := range []string{"vestiario", "bellandi"} {
		directory := filepath.Join("..", "..", "examples", user)
		Convey("The example of "+user, t, func() {
			stored, err := os.ReadFile(filepath.Join(directory, "configuration.yaml"))
			So(err, ShouldBeNil)
			config, err := operator.ParseConfig("configuration.yaml", stored)
			So(err, ShouldBeNil)
			standIns, err := settings.LoadStandIns(filepath.Join(directory, "stand.yaml"))
			So(err, ShouldBeNil)

			Convey("generates the configuration stored beside it", func() {
				var out bytes.Buffer
				code := commands.Execute([]string{"make", filepath.Join(directory, "questionnaire.yaml")}, &out, &out)
				So(code, ShouldEqual, 0)
				So(out.String(), ShouldEqual, string(stored))
			})
			Convey("has an engine for each instance that its models need", func() {
				free := map[string]int{}
				for _, engine := range standIns.Engines() {
					free[engine.Pool()]++
				}
				for _, model := range config.Models() {
					free[model.Pool()] -= model.Span() * model.Replicas()
					So(free[model.Pool()], ShouldBeGreaterThanOrEqualTo, 0)
				}
			})
			Convey("runs its services at the addresses in its configuration", func() {
				So(len(standIns.Services()), ShouldEqual, len(config.Services()[0].Upstreams()))
				for i, upstream := range config.Services()[0].Upstreams() {
					So(standIns.Services()[i].Address(), ShouldEqual, upstream.Address())
					So(standIns.Services()[i].Centre(), ShouldEqual, upstream.Centre())
				}
			})
			Convey("has settings for 7 or 8 entries with distinct addresses", func() {
				paths, err := filepath.Glob(filepath.Join(directory, "entry-*.yaml"))
				So(err, ShouldBeNil)
				So(len(paths), ShouldBeBetweenOrEqual, 7, 8)
				used := map[settings.Listeners]bool{}
				for _, path := range paths {
					loaded, err := settings.Load(path)
					So(err, ShouldBeNil)
					So(loaded.Platform(), ShouldEqual, standIns.Platform())
					So(used[loaded.Listeners()], ShouldBeFalse)
					used[loaded.Listeners()] = true
				}
			})
		})
	}
}
