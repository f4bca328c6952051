package peer

import (
	"fmt"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
)

// fakeStore is the object API with one document.
type fakeStore struct {
	key     object.Key
	data    []byte
	version int
	out     func(node int) bool
	watches map[int]object.Ref
	calls   int
}

var configKey = object.NewKey("configurations", "main")

func lookKey(watcher, id string, alive bool, boot string) string {
	return fmt.Sprint(watcher, id, alive, boot)
}

// look probes a worker.
func (f *fleet) look(i int, u Upstream) {
	w := f.workers[u.id]
	if w == nil || w.dead || f.broken(i, u.id) {
		at := f.now
		f.looks[lookKey(f.nodes[i].name, u.id, false, "")] = at
		f.after(probeTimeout, i, func() { f.feed(i, NewProbed(instance.NewFailedProbe(instance.ID(u.id), f.nodes[i].name, at))) })
		return
	}
	f.looks[lookKey(f.nodes[i].name, u.id, true, fmt.Sprint("boot-", w.boots))] = f.now
	w.work = max(0, w.work+f.random.IntN(3)-1)
	sighting := instance.NewProbeResult(instance.ID(u.id), instance.BootID(fmt.Sprint("boot-", w.boots)),
		instance.NewAssignment("replica-"+instance.ReplicaID(u.domain), 7), instance.PhaseReady,
		instance.NewLoad(w.work, w.work/8, 100), f.nodes[i].name, f.now)
	f.after(probeDelay, i, func() { f.feed(i, NewProbed(sighting)) })
}

// write puts a configuration of about size bytes into the store and wakes the watches.
func (f *fleet) write(revision uint64, size int) {
	f.store.version++
	f.store.data = fmt.Appendf(nil, `{"revision":%d,"models":"`, revision)
	for len(f.store.data) < size {
		f.store.data = fmt.Appendf(f.store.data, "model-%d limit %d;", f.random.IntN(1000), f.random.IntN(1000))
	}
	f.store.data = append(f.store.data, `"}`...)
	for i := range f.nodes {
		if ref, watching := f.store.watches[i]; watching {
			f.answer(i, ref)
		}
	}
}

func (f *fleet) answer(i int, ref object.Ref) {
	if f.store.out(i) {
		return
	}
	found := object.NewFound(ref, object.Version(fmt.Sprint(f.store.version)), f.store.data)
	f.after(storeDelay, i, func() { f.feed(i, NewStoreCompleted(found)) })
}

func (f *fleet) callStore(i int, request object.Request) {
	f.store.calls++
	if f.store.out(i) {
		f.after(storeDelay, i, func() { f.feed(i, NewStoreCompleted(object.NewLost(request.Ref()))) })
		return
	}
	if watch, is := request.(object.Watch); is {
		f.store.watches[i] = watch.Ref()
	}
	f.answer(i, request.Ref())
}

// breakStore ends all watches of the daemons that no longer reach the store.
func (f *fleet) breakStore(out func(node int) bool) {
	f.store.out = out
	for i := range f.nodes {
		if ref, watching := f.store.watches[i]; watching && out(i) {
			delete(f.store.watches, i)
			f.feed(i, NewStoreCompleted(object.NewLost(ref)))
		}
	}
}

func noWatches() map[int]object.Ref { return map[int]object.Ref{} }
