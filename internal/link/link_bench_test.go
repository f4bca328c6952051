package link

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/azurepond/azurepond/pkg/peer"
)

// BenchmarkFrames sends messages over one link with TLS. It reports the bytes that framing and TLS add to each message.
func BenchmarkFrames(b *testing.B) {
	a := newAuthority(b)
	one, two := startHub(b, "one", a.files("one")), startHub(b, "two", a.files("two"))
	message := firstMessage("one", one.address, two.address)
	data, err := peer.Encode(message)
	must(b, err)
	one.Send("two", two.address, message)
	two.receiveSender()
	before := one.counter("link.bytes.sent")
	frames := 0
	for b.Loop() {
		one.Send("two", two.address, message)
		two.receiveSender()
		frames++
	}
	each := float64(one.counter("link.bytes.sent")-before) / float64(frames)
	b.ReportMetric(each-float64(len(data)), "addedB/frame")
}

// BenchmarkLinks opens links with TLS to one daemon. It reports the memory of one end of a link, and the bytes for
// opening it in both directions.
func BenchmarkLinks(b *testing.B) {
	const count = 100
	a := newAuthority(b)
	hub := startHub(b, "hub", a.files("hub"))
	var others []*testHub
	for i := range count {
		name := fmt.Sprint("peer-", i)
		others = append(others, startHub(b, name, a.files(name)))
	}
	for range b.N {
		before := memory()
		for _, other := range others {
			other.Send("hub", hub.address, firstMessage(other.self.name, other.address, hub.address))
			hub.receiveSender()
		}
		b.ReportMetric(float64(memory()-before)/count/2/1000, "KB/end")
		opening := hub.counter("link.bytes.sent") + hub.counter("link.bytes.received")
		b.ReportMetric(float64(opening)/count, "B/opening")
	}
}

// memory returns the size of the heap and the stacks in bytes.
func memory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
