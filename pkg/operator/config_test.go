package operator_test

import (
	"testing"

	"github.com/azurepond/azurepond/pkg/operator"
	. "github.com/smartystreets/goconvey/convey"
)

const smallConfig = `team: koinonia
models:
  - name: notices
    pool: attica
    span: 4
    accelerators: 8
    bytes: 40000000000
    replicas: 3
    fencing: true
services:
  - name: tickets
    upstreams:
      - address: 127.0.0.1:9301
        centre: athens
    once:
      - POST /tickets
    outage: wait
organisations:
  - name: odeon
    share: 30
    targets: [notices, tickets]
    key: 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
    priority: 5
    flight: 64
weights:
  downtime: 10
  stranding: 1
deadlines:
  first: 2s
  whole: 1m0s
limits:
  queue: 256
  body: 1048576
`

func TestConfig(t *testing.T) {
	Convey("Given a configuration", t, func() {
		config, err := operator.ParseConfig("small.yaml", []byte(smallConfig))
		So(err, ShouldBeNil)

		Convey("its YAML equals the YAML that it was parsed from", func() {
			So(string(config.YAML()), ShouldEqual, smallConfig)
		})
		Convey("it survives a round trip through JSON", func() {
			parsed, err := operator.ParseConfig("small.json", config.JSON())
			So(err, ShouldBeNil)
			So(parsed, ShouldResemble, config)
		})
		Convey("a fleet of it survives a round trip through JSON", func() {
			fleet := operator.NewFleet(7, config)
			parsed, err := operator.ParseFleet(fleet.JSON())
			So(err, ShouldBeNil)
			So(parsed, ShouldResemble, fleet)
		})
		Convey("an organisation is found only by its own API key", func() {
			fleet := operator.NewFleet(7, config)
			found, ok := fleet.OrganisationByKey("secret")
			So(ok, ShouldBeTrue)
			So(found.Name(), ShouldEqual, "odeon")
			_, ok = fleet.OrganisationByKey("guess")
			So(ok, ShouldBeFalse)
		})
		Convey("only the listed requests are not idempotent", func() {
			tickets := config.Services()[0]
			So(tickets.Idempotent("POST", "/tickets"), ShouldBeFalse)
			So(tickets.Idempotent("POST", "/tickets/"), ShouldBeFalse)
			So(tickets.Idempotent("GET", "/tickets"), ShouldBeTrue)
		})
	})
}
