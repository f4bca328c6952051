package gateway

import (
	"context"
	"time"

	named "github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// The timeouts of calls to engines that are not requests.
const (
	lookTimeout  = 120 * time.Millisecond // fifty round trips; two lost looks are a death
	orderTimeout = 200 * time.Millisecond // as long as the quickest order takes to be carried out
)

// leading is the value of the metric that tells whether this daemon leads.
var leading = map[bool]int64{true: 1}

// execute carries out one effect; what takes time runs beside the reducer and comes back as an event.
func (d *Daemon) execute(effect gateway.Effect) {
	switch effect := effect.(type) {
	case gateway.Store:
		if watch, isWatch := effect.Request().(object.Watch); isWatch {
			go d.watch(d.watching(), effect.Component(), watch)
			return
		}
		go d.store(effect)
	case gateway.DecodeConfig:
		d.decode(effect.Document())
	case gateway.Advertise:
		addresses := effect.Addresses()
		d.addresses.Store(&addresses)
		d.log.Line("peer", "addresses", "count", len(addresses))
	case gateway.Ready:
		d.ready.Store(effect.Ready())
		d.log.Line("daemon", "ready", "ready", effect.Ready(), "reason", effect.Reason())
	case gateway.StopAccepting:
		close(d.refuse)
	case gateway.Stopped:
		close(d.stopped)
	case gateway.WatchUpstreams:
		d.follow(effect.Enabled())
	case gateway.Stats:
		d.measured(effect)
	case gateway.Problem:
		d.log.Line("daemon", effect.Message(), "reason", effect.Reason())
	case gateway.LeaderChanged:
		d.recorder.SetGauge(named.Leading, leading[effect.Leading()])
		d.log.Line("replica", "leader", "leader", effect.Leader(), "self", effect.Leading())
	case gateway.PeerEffect:
		d.toPeer(effect.Effect())
	case gateway.ReplicaEffect:
		d.toReplica(effect.Effect())
	case gateway.DispatchEffect:
		d.toDispatch(effect.Effect())
	}
}

// follow begins or ends reading the platform's list of upstreams.
func (d *Daemon) follow(on bool) {
	d.log.Line("daemon", "reading the list of upstreams", "on", on)
	if d.unfollow != nil {
		d.unfollow()
		d.unfollow = nil
	}
	if on {
		ctx, cancel := context.WithCancel(d.work)
		d.unfollow = cancel
		go d.adapter.Store.Follow(ctx, d.feed)
	}
}

// store makes one call to the object API.
func (d *Daemon) store(effect gateway.Store) {
	result := d.adapter.Store.Do(d.work, effect.Request())
	d.recorder.Stored(effect.Request(), result)
	d.feed(gateway.NewStoreCompleted(effect.Component(), result))
}

func (d *Daemon) watch(ctx context.Context, part gateway.Component, watch object.Watch) {
	d.adapter.Store.Watch(ctx, watch, func(result object.Result) { d.feed(gateway.NewStoreCompleted(part, result)) })
}

// watching returns the context of the watches that begin now.
func (d *Daemon) watching() context.Context {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.watches == nil {
		d.watches, d.unwatch = context.WithCancel(d.work)
	}
	return d.watches
}

// endWatches ends all watches of objects.
func (d *Daemon) endWatches() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.unwatch != nil {
		d.unwatch()
		d.watches, d.unwatch = nil, nil
	}
}

// decode reads a configuration; one that can't be read leaves the one before in force.
func (d *Daemon) decode(document peer.Document) {
	config, err := d.adapter.Store.Config(document.Data())
	if err != nil {
		d.log.Line("config", "unreadable", "revision", document.Revision(), "err", err.Error())
		return
	}
	d.config.Store(&config)
	d.recorder.SetGauge(named.ConfigRevision, int64(config.Revision()))
	d.log.Line("config", "in force", "revision", config.Revision())
	// The reducer's own goroutine must not wait for room in its queue; an older configuration that comes later is ignored.
	go d.feed(gateway.NewConfigDecoded(config))
}

func (d *Daemon) toPeer(effect peer.Effect) {
	switch effect := effect.(type) {
	case peer.Send:
		d.hub.Send(effect.Name(), effect.Address(), effect.Message())
	case peer.StopWatches:
		d.endWatches()
	case peer.ResetLinks:
		d.log.Line("peer", "stood still")
		go d.hub.Reset()
	}
}

func (d *Daemon) toReplica(effect replica.Effect) {
	switch effect := effect.(type) {
	case replica.Order:
		go d.order(effect)
	case replica.Probe:
		go d.look(effect)
	case replica.Counts:
		d.log.Line("replica", "count", "alive", effect.Alive(), "leaving", effect.Leaving(), "idle", effect.Idle(),
			"recorded", effect.Recorded(), "open", effect.Open(), "need", effect.Demand(), "waiting", effect.NotOpen())
	case replica.LogEntry:
		d.log.Line("replica", effect.Message(), "replica", effect.Replica(), "model", effect.Model(),
			"epoch", effect.Epoch(), "members", effect.Members(), "reason", effect.Reason())
	}
}

func (d *Daemon) order(order replica.Order) {
	ctx, cancel := context.WithTimeout(d.work, orderTimeout)
	defer cancel()
	reply := d.adapter.Engines.Order(ctx, order)
	d.recorder.Ordered(order.Verb().String(), reply.String())
	d.log.Line("replica", "order", "verb", order.Verb(), "instance", order.ID(), "replica", order.Replica(),
		"epoch", order.Epoch(), "token", order.FencingToken(), "reply", reply)
	d.feed(gateway.NewReplicaEvent(replica.NewOrderAnswered(order, reply)))
}

func (d *Daemon) look(look replica.Probe) {
	ctx, cancel := context.WithTimeout(d.work, lookTimeout)
	defer cancel()
	seen, err := d.adapter.Engines.Look(ctx, look.ID(), look.Address())
	if err != nil {
		d.recorder.Looked("missed")
		d.log.Line("replica", "look missed", "instance", look.ID(), "err", err.Error())
		d.feed(gateway.NewReplicaEvent(replica.NewProbeFailed(look.ID())))
		return
	}
	d.recorder.Looked("answered")
	d.feed(gateway.NewReplicaEvent(replica.NewProbed(seen)))
}

func (d *Daemon) toDispatch(effect dispatch.Effect) {
	switch effect := effect.(type) {
	case dispatch.Cancel:
		d.cut(effect.Attempt())
	case dispatch.Note:
		d.note(effect)
	case dispatch.Send:
		d.hand(effect.ID(), effect)
	case dispatch.Refuse:
		d.hand(effect.ID(), effect)
	case dispatch.Fail:
		d.hand(effect.ID(), effect)
	case dispatch.ForwardFailure:
		d.hand(effect.ID(), effect)
	case dispatch.Drop:
		d.hand(effect.ID(), effect)
	}
}

// hand passes an effect to the goroutine that serves the request.
func (d *Daemon) hand(id dispatch.ID, effect dispatch.Effect) {
	d.mutex.Lock()
	call := d.calls[id]
	d.mutex.Unlock()
	if call != nil {
		call.effects <- effect
	}
}

// cut ends an attempt.
func (d *Daemon) cut(attempt dispatch.AttemptID) {
	d.mutex.Lock()
	cancel := d.attempts[attempt]
	d.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}
