package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/object"
)

// The times of calls to the store, as the driver makes them.
const (
	fleetCallTimeout  = 1500 * time.Millisecond
	fleetWatchWait    = time.Second // of one call of a watch
	fleetWatchTimeout = 3 * time.Second
	fleetRetryDelay   = 400 * time.Millisecond
)

// fleetLinkSilence is the time after which a link that delivers nothing is closed.
const fleetLinkSilence = 2 * time.Second

// fleetWrite is a write to the store, with what it replaced.
type fleetWrite struct {
	at       time.Time
	key      string
	version  int
	before   []byte
	revision int // of the store before
}

// fleetWatch is a watch of an object, which calls the store again and again.
type fleetWatch struct {
	daemon *fleetDaemon
	life   int
	effect Store
	era    uint64
	since  int  // revision of the store
	call   int  // number of the present call
	silent bool // the connection of the present call delivers nothing
}

// write stores an object, and answers the watches of it.
func (f *fleet) write(key string, data []byte) {
	f.written = append(f.written, fleetWrite{f.now, key, f.versions[key], f.objects[key], f.revision})
	f.versions[key]++
	f.revision++
	f.objects[key] = data
	for _, d := range f.daemons {
		for _, w := range d.watches {
			if w.effect.Request().Key().String() == key && f.revision > w.since {
				f.answerWatch(w)
			}
		}
	}
}

// writeConfig stores a version of the configuration.
func (f *fleet) writeConfig(version int) {
	f.write(fleetConfigKey.String(), fmt.Appendf(nil, `{"version":%d}`, version))
}

func (f *fleet) isWatching(w *fleetWatch) bool {
	return w.daemon.life == w.life && slices.Contains(w.daemon.watches, w)
}

func (f *fleet) deliverWatch(w *fleetWatch, result object.Result) {
	f.feed(w.daemon, NewStoreCompleted(w.effect.Component(), object.InEra(result, w.era)))
}

// watchObject reads an object and then waits for changes.
func (f *fleet) watchObject(d *fleetDaemon, effect Store) {
	w := &fleetWatch{daemon: d, life: d.life, effect: effect}
	d.watches = append(d.watches, w)
	f.listWatched(w)
}

func (f *fleet) listWatched(w *fleetWatch) {
	w.era, w.since = f.era, f.revision
	key := w.effect.Request().Key().String()
	found := object.NewFound(w.effect.Request().Ref(), object.Version(fmt.Sprint(f.versions[key])), f.objects[key])
	f.after(fleetStoreDelay, func() {
		if f.isWatching(w) {
			f.deliverWatch(w, found)
		}
	})
	f.poll(w)
}

// poll makes one call of a watch, which waits for a change.
func (f *fleet) poll(w *fleetWatch) {
	w.call++
	call := w.call
	f.after(fleetWatchWait, func() {
		if w.call == call && f.isWatching(w) {
			f.answerWatch(w)
		}
	})
	f.after(fleetWatchTimeout, func() {
		if w.call == call && f.isWatching(w) && !w.daemon.down {
			w.daemon.watches = slices.DeleteFunc(w.daemon.watches, func(other *fleetWatch) bool { return other == w })
			f.deliverWatch(w, object.NewLost(w.effect.Request().Ref()))
		}
	})
}

// answerWatch ends the present call of a watch. An answer of another era makes the driver read the object again.
func (f *fleet) answerWatch(w *fleetWatch) {
	switch {
	case w.silent:
		return
	case w.daemon.down: // reads the answer when it resumes
		call := w.call
		f.after(fleetTick, func() {
			if w.call == call && f.isWatching(w) {
				f.answerWatch(w)
			}
		})
		return
	}
	if w.era != f.era || f.revision > w.since {
		f.listWatched(w)
		return
	}
	f.after(fleetStoreDelay, func() {
		if f.isWatching(w) {
			f.deliverWatch(w, object.NewStillCurrent(w.effect.Request().Ref()))
		}
	})
	f.poll(w)
}

func comparePairs(a, b [2]string) int { return slices.Compare(a[:], b[:]) }

// readList reads the list of upstreams for a daemon that watches it.
func (f *fleet) readList(d *fleetDaemon, delay time.Duration) {
	d.storeCalls++
	number := d.listWatch
	if d.storeCut {
		f.after(fleetCallTimeout, func() {
			if d.listWatch == number {
				f.feed(d, NewListFailed())
				f.after(fleetRetryDelay, func() {
					if d.listWatch == number {
						f.readList(d, delay)
					}
				})
			}
		})
		return
	}
	f.after(delay, func() {
		if d.listWatch == number && d.rejected {
			f.feed(d, NewListFailed())
			f.readList(d, fleetRetryDelay)
		} else if d.listWatch == number {
			f.listEvacuated(d)
			f.feed(d, NewListed(f.listed()).WithEra(f.era))
			f.pollList(d, number)
		}
	})
}

// pollList answers the calls of a watch of the list, as if nothing changed; changes come by themselves.
func (f *fleet) pollList(d *fleetDaemon, number int) {
	f.after(fleetWatchWait, func() {
		if d.listWatch == number && d.watching && !d.listSilent {
			f.feed(d, NewListUnchanged())
			f.answerEvacuations(d)
			f.pollList(d, number)
		}
	})
}

// silenceConnections makes all open connections of the daemons silent, without a reset. New ones work.
func (f *fleet) silenceConnections() {
	for pair := range f.linked {
		f.silent[pair] = true
	}
	f.after(fleetLinkSilence, func() {
		for _, pair := range slices.SortedFunc(maps.Keys(f.silent), comparePairs) {
			f.closeLink(pair)
		}
	})
	for _, d := range f.daemons {
		d.pooledSilent, d.disturbedAt = true, f.now
		for _, w := range d.watches {
			w.silent = true
		}
		if !d.watching {
			continue
		}
		d.listSilent = true
		number := d.listWatch
		f.after(fleetWatchTimeout, func() {
			if d.listWatch != number {
				return
			}
			d.listSilent = false
			f.feed(d, NewListFailed())
			f.readList(d, fleetRetryDelay)
		})
	}
}

// cutStore makes all connections of a daemon to the store silent, also new ones.
func (f *fleet) cutStore(d *fleetDaemon) {
	d.storeCut, d.listSilent = true, d.watching
	for _, w := range d.watches {
		w.silent = true
	}
}

// restoreStore restores the store from a snapshot of this age. The daemons that watch the list notice, and read it again.
func (f *fleet) restoreStore(age time.Duration) {
	f.era++
	for len(f.written) > 0 && f.now.Sub(f.written[len(f.written)-1].at) < age {
		last := f.written[len(f.written)-1]
		f.versions[last.key], f.objects[last.key], f.revision = last.version, last.before, last.revision
		f.written = f.written[:len(f.written)-1]
	}
	for _, d := range f.daemons {
		d.disturbedAt = f.now
		if d.watching {
			f.readList(d, fleetListDelay)
		}
	}
}
