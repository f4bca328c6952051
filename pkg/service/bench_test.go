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

// BenchmarkClaims tells what keyed calls at 8 daemons cost the store, with claims spread over some objects for each
// minute.
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

// measured is how long the load runs, in virtual time.
const measured = time.Minute

func measureClaims(b *testing.B, rate, objects int) {
	w := newWorld(1, 8, false, nil)
	for _, d := range w.daemons {
		d.state.sweep.next = w.now.Add(time.Hour)
	}
	calls := rate * int(measured/time.Second)
	for i := range calls {
		w.after(time.Duration(w.random.Int64N(int64(measured))), func() {
			s := w.submit(w.daemons[i%8], &booking{key: keyIn(w.now, i, objects)}, "keyed", 10*time.Second)
			s.at = w.now
		})
	}
	w.run(measured)
	var waits []time.Duration
	for _, s := range w.all {
		if !s.began.IsZero() {
			waits = append(waits, s.began.Sub(s.at))
		}
	}
	slices.Sort(waits)
	seconds := measured.Seconds()
	deletes := len(w.store.objects)
	b.ReportMetric(float64(w.store.writes+deletes)/seconds, "writes/s")
	b.ReportMetric(float64(w.store.writes-w.store.stored)/seconds, "conflicts/s")
	b.ReportMetric(float64(w.store.reads+deletes)/seconds, "reads/s")
	b.ReportMetric(float64(w.store.bytes)/seconds/1000, "kB/s")
	b.ReportMetric(float64(waits[len(waits)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(len(waits))/float64(calls), "sent/call")
}

// keyIn returns a key whose claim falls into one of the first objects.
func keyIn(now time.Time, number, objects int) string {
	for i := 0; ; i++ {
		key := keyAt(now, fmt.Sprintf("%d-%d", number, i))
		if int(xxhash.Sum64String(key)%shardCount) < objects {
			return key
		}
	}
}

// BenchmarkEvents tells what one call costs in processor time and memory with many others in flight; a call is four
// events: it is submitted, the read and the write of its claim end, and it is answered.
func BenchmarkEvents(b *testing.B) {
	for _, flying := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("flying=%d", flying), func(b *testing.B) {
			d := newBench()
			for range flying {
				d.begin(d.last)
			}
			b.ReportAllocs()
			for b.Loop() {
				d.begin(d.last)
				d.answer()
			}
		})
		b.Run(fmt.Sprintf("tick/flying=%d", flying), func(b *testing.B) {
			d := newBench()
			for range flying {
				d.begin(d.last)
			}
			b.ReportAllocs()
			for b.Loop() {
				d.state.Reduce(golden.Epoch, NewTicked())
			}
		})
	}
}

// bench feeds one daemon whose store answers at once.
type bench struct {
	state State
	store *store
	last  caller.ID
	sent  []AttemptID
}

func newBench() *bench {
	d := &bench{store: newStore()}
	d.state.Reduce(golden.Epoch, NewConfigured(NewSettings("a", "athens", 1, NewService("desk", false))))
	d.state.Reduce(golden.Epoch, NewUpstreamsChanged("desk", NewUpstream("u1", "athens", 0), NewUpstream("u2", "athens", 0)))
	d.state.sweep.next = golden.Epoch.Add(time.Hour)
	return d
}

func (d *bench) begin(id caller.ID) {
	d.last = id + 1
	at := golden.Epoch.Add(-time.Duration(id%3000) * time.Second)
	c := caller.NewCall(id, caller.Service, "desk", "koinonia", golden.Epoch.Add(time.Minute))
	d.carry(NewSubmitted(c.WithKey(keyAt(at, fmt.Sprint(id))).WithHashes(7, nil)))
}

func (d *bench) answer() {
	attempt := d.sent[0]
	d.sent = d.sent[1:]
	d.carry(NewReplied(attempt, NewAnswer(201, "text/plain", []byte("ticket"))))
	if d.last%256 == 0 {
		d.carry(NewTicked())
	}
}

func (d *bench) carry(e Event) {
	for _, effect := range d.state.Reduce(golden.Epoch, e) {
		switch effect := effect.(type) {
		case Store:
			d.carry(NewStoreCompleted(d.store.do(effect.Request())))
		case Send:
			d.sent = append(d.sent, effect.Attempt())
		}
	}
}
