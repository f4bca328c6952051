package commands_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/azurepond/azurepond/internal/commands"
	. "github.com/smartystreets/goconvey/convey"
)

func TestCompletion(t *testing.T) {
	Convey("The completion script completes every command of the help text", t, func() {
		var help, script bytes.Buffer
		So(commands.Execute([]string{"--help"}, &help, &help), ShouldEqual, 0)
		So(commands.Execute([]string{"completion"}, &script, &script), ShouldEqual, 0)
		_, list, _ := strings.Cut(help.String(), "Commands:\n")
		list, _, _ = strings.Cut(list, "\n\n")
		_, words, _ := strings.Cut(script.String(), `compgen -W "`)
		words, _, _ = strings.Cut(words, `"`)
		for _, row := range strings.Split(list, "\n") {
			So(strings.Fields(words), ShouldContain, strings.Fields(row)[0])
		}
	})
}
