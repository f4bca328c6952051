package service

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/object"
)

const (
	seeds    = 20
	bookings = 40
)

// play runs one seeded list: callers book, send again at other daemons, at once or much later, while daemons pause and
// are replaced and the store is out.
func play(seed uint64, breaking func(Event) Event) *world {
	w := newWorld(seed, 3, true, breaking)
	for i := range bookings {
		w.after(time.Duration(w.random.IntN(int(10*time.Minute))), func() { w.book(i) })
	}
	for range 8 {
		w.after(time.Duration(w.random.IntN(int(10*time.Minute))), w.disturb)
	}
	w.run(140 * time.Minute)
	w.faults = false
	w.run(40 * time.Minute)
	w.checkQuiet()
	return w
}

func (w *world) book(i int) {
	b := &booking{key: keyAt(w.now, fmt.Sprintf("b%d", i))}
	kind := []string{"keyed", "keyed", "keyed", "bare", "read"}[w.random.IntN(5)]
	limit := time.Duration(1+w.random.IntN(20)) * time.Second
	w.submit(w.daemons[w.random.IntN(3)], b, kind, limit)
	if kind != "keyed" {
		return
	}
	waits := []time.Duration{0, w.delay(20), w.delay(2_000), w.delay(30_000), w.delay(7_200_000)}
	for range w.random.IntN(4) {
		wait := waits[w.random.IntN(len(waits))]
		w.after(wait, func() { w.submit(w.daemons[w.random.IntN(3)], b, kind, limit) })
	}
	if w.chance(30) {
		w.after(w.delay(50), w.disturb)
	}
}

// disturb pauses or replaces a daemon, or takes the store out, for a short or a very long time.
func (w *world) disturb() {
	d := w.daemons[w.random.IntN(3)]
	length := w.delay([]int{50, 2_000, 20_000, 600_000, 6_000_000}[w.random.IntN(5)])
	switch w.random.IntN(4) {
	case 0:
		w.restart(d)
	case 1:
		w.storeOut = w.now.Add(min(length, 10*time.Minute))
	default:
		if until := w.now.Add(length); until.After(d.paused) {
			d.paused = until
		}
	}
}

func TestAtMostOnce(t *testing.T) {
	Convey("No seeded list makes a call run twice, or be called not run though it ran", t, func() {
		for seed := range uint64(seeds) {
			So(play(seed, nil).problems, ShouldBeEmpty)
		}
	})
}

// variants are deliberately broken readings of what happened.
var variants = map[string]func(Event) Event{
	"a lost answer is taken for a success": func(e Event) Event {
		if lost, isLost := resultOf(e).(object.Lost); isLost {
			return NewStoreCompleted(object.NewStored(lost.Ref(), "1"))
		}
		return e
	},
	"a conflict is taken for a success": func(e Event) Event {
		if conflict, isConflict := resultOf(e).(object.Conflict); isConflict {
			return NewStoreCompleted(object.NewStored(conflict.Ref(), "1"))
		}
		return e
	},
	"a call without answer is taken for unsent": func(e Event) Event {
		if failed, isFailed := e.(Failed); isFailed {
			failed.failure = NotSent
			return failed
		}
		return e
	},
	"a key is not looked at": func(e Event) Event {
		if submitted, isSubmitted := e.(Submitted); isSubmitted {
			return NewSubmitted(submitted.call.WithKey(""))
		}
		return e
	},
}

func TestBrokenVariantsAreCaught(t *testing.T) {
	for name, breaking := range variants {
		Convey("It shows when "+name, t, func() {
			caught := 0
			for seed := uint64(0); seed < seeds && caught == 0; seed++ {
				caught += len(playSafely(seed, breaking))
			}
			So(caught, ShouldBeGreaterThan, 0)
		})
	}
}

// playSafely returns the problems of a list, a panic being one.
func playSafely(seed uint64, breaking func(Event) Event) (problems []string) {
	defer func() {
		if r := recover(); r != nil {
			problems = append(problems, fmt.Sprint(r))
		}
	}()
	return play(seed, breaking).problems
}

// resultOf returns the result that e brings, nil for another kind of event.
func resultOf(e Event) object.Result {
	if resulted, isResulted := e.(StoreCompleted); isResulted {
		return resulted.result
	}
	return nil
}
