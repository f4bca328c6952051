package transport

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/quantity"
)

func TestIdleTimeoutOfUpstream(t *testing.T) {
	for header, timeout := range map[string]time.Duration{
		"":                            defaultIdleTimeout,
		"timeout=5":                   5*time.Second - idleTimeoutMargin,
		"timeout=9223372037":          quantity.MaxDuration - idleTimeoutMargin, // more nanoseconds than an integer holds
		"timeout=9223372036854775807": quantity.MaxDuration - idleTimeoutMargin,
	} {
		Convey(fmt.Sprintf("After the header %q, a connection is kept for %v", header, timeout), t, func() {
			So(idleTimeoutOf(header), ShouldEqual, timeout)
		})
	}
}
