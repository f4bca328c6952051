package settings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const minimalSettings = `name: entry-1
centre: athens
region: attica
listeners: {caller: 127.0.0.1:9100, peer: 127.0.0.1:9101, operator: 127.0.0.1:9102}
platform: 127.0.0.1:9000
`

func TestWeights(t *testing.T) {
	Convey("The weight store's rates have defaults, and the error of an invalid rate names its line and field", t, func() {
		s, err := Parse("a.yaml", []byte(minimalSettings))
		So(err, ShouldBeNil)
		So(s.WeightStore().MaxTotalRate(), ShouldEqual, defaultTotalRate)
		s, err = Parse("a.yaml", []byte(minimalSettings+"weights: {rate: 500, pull: 20}\n"))
		So(err, ShouldBeNil)
		So(s.WeightStore().MaxTotalRate(), ShouldEqual, 500)
		So(s.WeightStore().MaxInstanceRate(), ShouldEqual, 20)
		_, err = Parse("a.yaml", []byte(minimalSettings+"weights: {rate: 0}\n"))
		So(err.Error(), ShouldContainSubstring, "a.yaml:6: weights.rate")
	})
}
