package purity

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	modulePath   = "github.com/azurepond/azurepond"
	decisionPath = modulePath + "/pkg"
)

func TestDecisionsArePure(t *testing.T) {
	Convey("The decision logic has no impure import, call or statement", t, func() {
		findings, err := Check("../../pkg", modulePath, decisionPath)
		So(err, ShouldBeNil)
		So(findingTexts(findings), ShouldBeEmpty)
	})
}

func TestImpureIsFound(t *testing.T) {
	Convey("Each impure place of a package is found", t, func() {
		findings, err := Check("testdata/impure", modulePath, decisionPath)
		So(err, ShouldBeNil)
		So(findingTexts(findings), ShouldResemble, []string{
			"testdata/impure/impure.go:12: starts a goroutine",
			"testdata/impure/impure.go:14: uses math/rand/v2.IntN",
			"testdata/impure/impure.go:14: uses time.Now",
			"testdata/impure/impure.go:5: imports os",
			"testdata/impure/impure.go:8: imports github.com/azurepond/azurepond/internal/daemon, which is outside " +
				decisionPath,
		})
	})
}

func findingTexts(findings []Finding) []string {
	var lines []string
	for _, finding := range findings {
		lines = append(lines, finding.String())
	}
	return lines
}
