package object

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// runUntilOutcome runs w on store until it returns an outcome, for at most maxTicks ticks.
func runUntilOutcome(w *Writer, refs *Refs, store *fakeStore, maxTicks int) Outcome {
	now := leaseStart
	for range maxTicks {
		now = now.Add(time.Minute)
		for _, r := range w.Tick(now, refs) {
			if outcome := w.Apply(now, store.call(r)); outcome != nil {
				return outcome
			}
		}
	}
	return nil
}

func TestWriterResolvesLostResponses(t *testing.T) {
	Convey("On a store that loses requests and responses every write ends with its value in the store, and none is applied twice", t, func() {
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
		Convey("a write after another writer's is superseded, and the other value is known", func() {
			store.version, store.data = 7, encodeStamped("b", 1, []byte(`{"n":2}`))
			w.Write([]byte(`{"n":1}`))
			So(runUntilOutcome(&w, &refs, store, 5), ShouldResemble, Superseded{})
			So(string(w.Value()), ShouldEqual, `{"n":2}`)
		})
		Convey("an object of another format is never overwritten", func() {
			store.version, store.data = 7, []byte(`{"other":1}`)
			w.Write([]byte(`{"n":1}`))
			So(runUntilOutcome(&w, &refs, store, 5), ShouldResemble, Unreadable{})
			So(w.Synced(), ShouldBeFalse)
			So(store.version, ShouldEqual, 7)
		})
		Convey("after an abandoned write the value is unknown until the object is read", func() {
			w.Write([]byte(`{"n":1}`))
			w.Abandon()
			So(w.Synced(), ShouldBeFalse)
			So(func() { w.Write([]byte(`{}`)) }, ShouldPanic)
		})
	})
}

// maxRetriesPerSecond returns the greatest number of retries in one second, from second 31 on, of processes that all fail
// from the same moment on for a minute.
func maxRetriesPerSecond(processes int, distinctSeeds bool) int {
	retries := map[time.Duration]int{}
	maxRetries := 0
	for i := range processes {
		seed := uint64(1)
		if distinctSeeds {
			seed = uint64(i + 1)
		}
		b := NewBackoff(0, 0, seed)
		for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += b.Next() {
			second := elapsed / time.Second
			retries[second]++
			if second > 30 {
				maxRetries = max(maxRetries, retries[second])
			}
		}
	}
	return maxRetries
}

func TestBackoffSpreadsRetries(t *testing.T) {
	Convey("After half a minute of an outage fewer than a fifth of all processes retry in one second, unless all have the same seed", t, func() {
		So(maxRetriesPerSecond(330, true), ShouldBeLessThan, 330/5)
		So(maxRetriesPerSecond(330, false), ShouldBeGreaterThan, 330/5)
	})
}
