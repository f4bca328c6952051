package service

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/caller"
)

// BenchmarkClaims measures the load of the store by calls with keys at 8 daemons, with the claims of each minute
// distributed among some objects.
func BenchmarkClaims(b *testing.B) {
	for _, load := range []struct{ rate, objects int }{
		{10, 16}, {10, shardCount}, {50, 16}, {50, shardCount}, {150, shardCount},
	} {
		b.Run(fmt.Sprintf("rate=%d/objects=%d", load.rate, load.objects), func(b *testing.B) {
			for range b.N {
				measureClaims(b, load.rate, load.objects)
			}
		})
	}
}

// measuredTime is the duration of the load, in virtual time.
const measuredTime = time.Minute

func measureClaims(b *testing.B, rate, objects int) {
	sim := newSimulation(1, 8, false, nil)
	for _, d := range sim.daemons {
		d.state.sweeper.nextTime = sim.now.Add(time.Hour)
	}
	calls := rate * int(measuredTime/time.Second)
	for i := range calls {
		sim.after(time.Duration(sim.random.Int64N(int64(measuredTime))), func() {
			s := sim.submit(sim.daemons[i%8], &clientRequest{key: keyIn(sim.now, i, objects)}, "keyed", 10*time.Second)
			s.submittedAt = sim.now
		})
	}
	sim.run(measuredTime)
	var latencies []time.Duration
	for _, s := range sim.submissions {
		if !s.sentAt.IsZero() {
			latencies = append(latencies, s.sentAt.Sub(s.submittedAt))
		}
	}
	slices.Sort(latencies)
	seconds := measuredTime.Seconds()
	deletes := len(sim.store.objects)
	b.ReportMetric(float64(sim.store.writes+deletes)/seconds, "writes/s")
	b.ReportMetric(float64(sim.store.writes-sim.store.stored)/seconds, "conflicts/s")
	b.ReportMetric(float64(sim.store.reads+deletes)/seconds, "reads/s")
	b.ReportMetric(float64(sim.store.bytes)/seconds/1000, "kB/s")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(len(latencies))/float64(calls), "sent/call")
}

// keyIn returns a key whose claim belongs to one of the first objects.
func keyIn(now time.Time, number, objects int) string {
	for i := 0; ; i++ {
		key := keyAt(now, fmt.Sprintf("%d-%d", number, i))
		if int(xxhash.Sum64String(key)%shardCount) < objects {
			return key
		}
	}
}

// BenchmarkEvents measures the processor time and memory of one call with many others in flight. A call has four
// events: it is submitted, the read and the write of its claim complete, and it is answered.
func BenchmarkEvents(b *testing.B) {
	for _, inFlight := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("inflight=%d", inFlight), func(b *testing.B) {
			d := newBenchDaemon()
			for range inFlight {
				d.begin(d.nextID)
			}
			b.ReportAllocs()
			for b.Loop() {
				d.begin(d.nextID)
				d.answer()
			}
		})
		b.Run(fmt.Sprintf("tick/inflight=%d", inFlight), func(b *testing.B) {
			d := newBenchDaemon()
			for range inFlight {
				d.begin(d.nextID)
			}
			b.ReportAllocs()
			for b.Loop() {
				d.state.Reduce(golden.Epoch, NewTicked())
			}
		})
	}
}

// benchDaemon is one daemon whose store answers at once.
type benchDaemon struct {
	state  State
	store  *store
	nextID caller.ID
	sent   []AttemptID
}

func newBenchDaemon() *benchDaemon {
	d := &benchDaemon{store: newStore()}
	d.state.Reduce(golden.Epoch, NewConfigured(NewSettings("a", "athens", 1, NewService("desk", false))))
	d.state.Reduce(golden.Epoch,
		NewUpstreamsChanged("desk", NewUpstream("u1", "athens", 0), NewUpstream("u2", "athens", 0)))
	d.state.sweeper.nextTime = golden.Epoch.Add(time.Hour)
	return d
}

// begin submits a call whose key is up to 50 minutes old, so that the claims are distributed among many objects.
func (d *benchDaemon) begin(id caller.ID) {
	d.nextID = id + 1
	at := golden.Epoch.Add(-time.Duration(id%3000) * time.Second)
	c := caller.NewCall(id, caller.Service, "desk", "koinonia", golden.Epoch.Add(time.Minute))
	d.feed(NewSubmitted(c.WithKey(keyAt(at, fmt.Sprint(id))).WithHashes(7, nil)))
}

func (d *benchDaemon) answer() {
	attempt := d.sent[0]
	d.sent = d.sent[1:]
	d.feed(NewReplied(attempt, NewAnswer(201, "text/plain", []byte("ticket"))))
	if d.nextID%256 == 0 {
		d.feed(NewTicked())
	}
}

func (d *benchDaemon) feed(e Event) {
	for _, effect := range d.state.Reduce(golden.Epoch, e) {
		switch effect := effect.(type) {
		case Store:
			d.feed(NewStoreCompleted(d.store.do(effect.Request())))
		case Send:
			d.sent = append(d.sent, effect.Attempt())
		}
	}
}
