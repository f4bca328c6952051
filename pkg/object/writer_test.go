package object

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// settled runs w over store until something is settled, at most for that many tries.
func runUntilOutcome(w *Writer, refs *Refs, store *fakeStore, tries int) Outcome {
	now := leaseStart
	for range tries {
		now = now.Add(time.Minute)
		for _, r := range w.Tick(now, refs) {
			if outcome := w.Apply(now, store.call(r)); outcome != nil {
				return outcome
			}
		}
	}
	return nil
}

func TestWriterSettlesLostAnswers(t *testing.T) {
	Convey("Every write over a lossy store is settled as what the store holds, and none is applied twice", t, func() {
		for seed := range uint64(20) {
			store := newFakeStore(seed, 40)
			w, refs := NewWriter(NewKey("records", "x"), "a", seed), Refs{}
			w.Read()
			So(runUntilOutcome(&w, &refs, store, 100), ShouldResemble, ReadCompleted{})
			for i := range 30 {
				value := fmt.Sprintf(`{"n":%d}`, i)
				w.Write([]byte(value))
				So(runUntilOutcome(&w, &refs, store, 100), ShouldResemble, Written{})
				So(string(w.Value()), ShouldEqual, value)
				So(w.Version(), ShouldEqual, store.current())
				So(store.version, ShouldEqual, i+1)
			}
		}
	})
}

func TestWriterOutcomes(t *testing.T) {
	Convey("Given a writer that has read the object", t, func() {
		store := newFakeStore(1, 0)
		w, refs := NewWriter(NewKey("records", "x"), "a", 1), Refs{}
		w.Read()
		So(runUntilOutcome(&w, &refs, store, 1), ShouldResemble, ReadCompleted{})
		Convey("a write after another's is overtaken, and the other's value is known", func() {
			store.version, store.data = 7, encodeStamped("b", 1, []byte(`{"n":2}`))
			w.Write([]byte(`{"n":1}`))
			So(runUntilOutcome(&w, &refs, store, 5), ShouldResemble, Superseded{})
			So(string(w.Value()), ShouldEqual, `{"n":2}`)
		})
		Convey("an object of another shape is never overwritten", func() {
			store.version, store.data = 7, []byte(`{"other":1}`)
			w.Write([]byte(`{"n":1}`))
			So(runUntilOutcome(&w, &refs, store, 5), ShouldResemble, Unreadable{})
			So(w.Synced(), ShouldBeFalse)
			So(store.version, ShouldEqual, 7)
		})
		Convey("a write that was given up is unknown until the object is read", func() {
			w.Write([]byte(`{"n":1}`))
			w.Abandon()
			So(w.Synced(), ShouldBeFalse)
			So(func() { w.Write([]byte(`{}`)) }, ShouldPanic)
		})
	})
}

// crowd returns the greatest number of retries in one second by processes that all fail at once for a minute.
func maxRetriesPerSecond(processes int, seeded bool) int {
	seconds := map[time.Duration]int{}
	most := 0
	for i := range processes {
		seed := uint64(1)
		if seeded {
			seed = uint64(i + 1)
		}
		b := NewBackoff(0, 0, seed)
		for at := time.Duration(0); at < time.Minute; at += b.Next() {
			second := at / time.Second
			seconds[second]++
			if second > 30 {
				most = max(most, seconds[second])
			}
		}
	}
	return most
}

func TestBackoffSpreadsRetries(t *testing.T) {
	Convey("Half a minute into an outage no second sees a fifth of all processes, unless all draw alike", t, func() {
		So(maxRetriesPerSecond(330, true), ShouldBeLessThan, 330/5)
		So(maxRetriesPerSecond(330, false), ShouldBeGreaterThan, 330/5)
	})
}
