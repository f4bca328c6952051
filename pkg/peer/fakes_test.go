package peer

import (
	"fmt"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
)

// fakeStore is an object store with one document.
type fakeStore struct {
	key         object.Key
	data        []byte
	version     int
	unreachable func(node int) bool
	watches     map[int]object.Ref
	calls       int
}

var configKey = object.NewKey("configurations", "main")

func probeKey(watcher, id string, alive bool, boot string) string {
	return fmt.Sprint(watcher, id, alive, boot)
}

// probeUpstream probes an upstream and delivers the result.
func (f *fleet) probeUpstream(i int, u Upstream) {
	target := f.upstreams[u.id]
	if target == nil || target.dead || f.probeBlocked(i, u.id) {
		at := f.now
		f.lastProbes[probeKey(f.nodes[i].name, u.id, false, "")] = at
		f.schedule(probeTimeout, i, func() {
			f.deliver(i, NewProbed(instance.NewFailedProbe(instance.ID(u.id), f.nodes[i].name, at)))
		})
		return
	}
	f.lastProbes[probeKey(f.nodes[i].name, u.id, true, fmt.Sprint("boot-", target.bootCount))] = f.now
	target.running = max(0, target.running+f.random.IntN(3)-1)
	result := instance.NewProbeResult(instance.ID(u.id), instance.BootID(fmt.Sprint("boot-", target.bootCount)),
		instance.NewAssignment("replica-"+instance.ReplicaID(u.domain), 7), instance.PhaseReady,
		instance.NewLoad(target.running, target.running/8, 100), f.nodes[i].name, f.now)
	f.schedule(probeDelay, i, func() { f.deliver(i, NewProbed(result)) })
}

// writeConfig stores a configuration of about size bytes and notifies the watches.
func (f *fleet) writeConfig(revision uint64, size int) {
	f.store.version++
	f.store.data = fmt.Appendf(nil, `{"revision":%d,"models":"`, revision)
	for len(f.store.data) < size {
		f.store.data = fmt.Appendf(f.store.data, "model-%d limit %d;", f.random.IntN(1000), f.random.IntN(1000))
	}
	f.store.data = append(f.store.data, `"}`...)
	for i := range f.nodes {
		if ref, watching := f.store.watches[i]; watching {
			f.answerStore(i, ref)
		}
	}
}

func (f *fleet) answerStore(i int, ref object.Ref) {
	if f.store.unreachable(i) {
		return
	}
	found := object.NewFound(ref, object.Version(fmt.Sprint(f.store.version)), f.store.data)
	f.schedule(storeDelay, i, func() { f.deliver(i, NewStoreCompleted(found)) })
}

func (f *fleet) callStore(i int, request object.Request) {
	f.store.calls++
	if f.store.unreachable(i) {
		f.schedule(storeDelay, i, func() { f.deliver(i, NewStoreCompleted(object.NewLost(request.Ref()))) })
		return
	}
	if watch, ok := request.(object.Watch); ok {
		f.store.watches[i] = watch.Ref()
	}
	f.answerStore(i, request.Ref())
}

// setStoreOutage sets which daemons can't reach the store, and ends their watches.
func (f *fleet) setStoreOutage(unreachable func(node int) bool) {
	f.store.unreachable = unreachable
	for i := range f.nodes {
		if ref, watching := f.store.watches[i]; watching && unreachable(i) {
			delete(f.store.watches, i)
			f.deliver(i, NewStoreCompleted(object.NewLost(ref)))
		}
	}
}

func noWatches() map[int]object.Ref { return map[int]object.Ref{} }
