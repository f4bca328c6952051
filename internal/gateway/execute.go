package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/azurepond/azurepond/internal/metrics"
	hop "github.com/azurepond/azurepond/internal/relay"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/gateway"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
)

// orderTimeout limits the wait for the reply to an order.
const orderTimeout = 200 * time.Millisecond // the fastest order takes that long to execute; engines reply when it begins

// leadingValue is the value of metrics.Leading.
var leadingValue = map[bool]int64{true: 1}

// execute executes one effect. Slow operations run in their own goroutines, and their results become events.
func (d *Daemon) execute(effect gateway.Effect) {
	switch effect := effect.(type) {
	case gateway.Store:
		if watch, isWatch := effect.Request().(object.Watch); isWatch {
			go d.watchObject(d.watchContext(), effect.Component(), watch)
			return
		}
		go d.callStore(effect)
	case gateway.DecodeConfig:
		d.decodeConfig(effect)
	case gateway.Advertise:
		addresses := effect.Addresses()
		d.addresses.Store(&addresses)
		d.log.Info("peer", "addresses", "count", len(addresses))
	case gateway.Ready:
		d.ready.Store(effect.Ready())
		d.log.Info("daemon", "ready", "ready", effect.Ready(), "reason", effect.Reason())
	case gateway.StopScheduled:
		d.stopEnds <- effect.Ends()
	case gateway.StopAccepting:
		d.log.Info("daemon", "refusing new requests")
	case gateway.Stopped:
		close(d.stopped)
	case gateway.ResetStore:
		d.recorder.StoreWatchSilent()
		d.log.Info("store", "watch silent", "watch", effect.Watch(), "silence", effect.Silence())
		d.adapter.Store.CloseIdle()
	case gateway.WatchUpstreams:
		d.watchUpstreams(effect)
	case gateway.Stats:
		d.recordStats(effect)
	case gateway.Problem:
		d.log.Info("daemon", effect.Message(), "reason", effect.Reason())
	case gateway.LeaderChanged:
		d.recorder.SetGauge(metrics.Leading, leadingValue[effect.Leading()])
		d.log.Info("replica", "leader", "leader", effect.Leader(), "self", effect.Leading())
	case gateway.StoreRestored:
		d.recorder.StoreRestored(effect.Era())
		d.log.Info("store", "restored from an older snapshot", "before", effect.Before(), "era", effect.Era())
	case gateway.StoreAnswerOutdated:
		d.recorder.StoreAnswerOutdated()
		d.log.Info("store", "answer of an earlier era dropped", "era", effect.Era(), "current", effect.Current())
	case gateway.UpstreamLeaving:
		d.log.Info("upstream", "leaving", "upstream", effect.ID(), "source", effect.Source())
	case gateway.ColdChanged:
		d.log.Info("upstream", "cold", "upstream", effect.ID(), "left", effect.Left(), "perSecond", effect.PerSecond())
	case gateway.EvacuationChanged:
		d.recorder.CentreEvacuated(effect.Centre(), int64(effect.Phase()))
		d.log.Info("evacuation", effect.Phase().String(), "centre", effect.Centre(), "version", effect.Version(), "age", effect.Age())
	case gateway.RetrySharersChanged:
		d.recorder.SetGauge(metrics.RetrySharers, int64(effect.Count()))
		d.log.Info("dispatch", "retry burst shared", "daemons", effect.Count())
	case gateway.PartsSuspected:
		d.log.Info("dispatch", "parts suspected", "parts", effect.Parts())
	case gateway.PartMarked:
		d.recorder.PartMarked(effect.TTL() > 0)
		d.log.Info("dispatch", "part marked", "part", effect.Part(), "refusedFor", effect.TTL())
	case gateway.SendOrder:
		go d.sendOrder(effect)
	case gateway.SendProbe:
		go d.probe(effect)
	case gateway.RelayDecided:
		d.deliverRelay(effect)
	case gateway.RelayEffect:
		d.executeRelay(effect.Effect())
	case gateway.ShardOwnersChanged:
		d.log.Info("dispatch", "shard owners", "count", len(effect.Owners()), "owners", effect.Owners())
	case gateway.PeerEffect:
		d.executePeer(effect.Effect())
	case gateway.ReplicaEffect:
		d.executeReplica(effect.Effect())
	case gateway.DispatchEffect:
		d.executeDispatch(effect.Effect())
	}
}

// watchUpstreams starts, restarts or stops the watch of the platform's list of upstreams.
func (d *Daemon) watchUpstreams(watch gateway.WatchUpstreams) {
	d.log.Info("daemon", "watch of upstreams changed", "on", watch.Enabled(), "interval", watch.Interval())
	if d.stopUpstreamWatch != nil {
		d.stopUpstreamWatch()
		d.stopUpstreamWatch = nil
	}
	if watch.Enabled() {
		ctx, cancel := context.WithCancel(d.ctx)
		d.stopUpstreamWatch = cancel
		go d.adapter.Store.WatchUpstreams(ctx, watch.Interval(), d.enqueue)
	}
}

// callStore makes one request to the object API.
func (d *Daemon) callStore(effect gateway.Store) {
	result := d.adapter.Store.Do(d.ctx, effect.Request())
	d.recorder.StoreRequestEnded(effect.Request(), result)
	d.enqueue(gateway.NewStoreCompleted(effect.Component(), result))
}

func (d *Daemon) watchObject(ctx context.Context, component gateway.Component, watch object.Watch) {
	d.adapter.Store.Watch(ctx, watch, func(result object.Result) { d.enqueue(gateway.NewStoreCompleted(component, result)) })
}

// watchContext returns the context for a new object watch.
func (d *Daemon) watchContext() context.Context {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.watchCtx == nil {
		d.watchCtx, d.watchCancel = context.WithCancel(d.ctx)
	}
	return d.watchCtx
}

// cancelWatches cancels all object watches.
func (d *Daemon) cancelWatches() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.watchCancel != nil {
		d.watchCancel()
		d.watchCtx, d.watchCancel = nil, nil
	}
}

// decodeConfig decodes and applies a configuration. If it is malformed, the previous one remains active.
func (d *Daemon) decodeConfig(effect gateway.DecodeConfig) {
	document := effect.Document()
	config, err := d.adapter.Store.DecodeConfig(document.Data())
	if err != nil {
		d.log.Info("config", "cannot decode, keeping the previous one", "revision", document.Revision(), "err", err.Error())
		return
	}
	d.config.Store(&config)
	d.recorder.SetConfigured("route", config.RouteNames())
	d.recorder.SetConfigured("service", slices.Collect(maps.Keys(config.Services())))
	d.recorder.SetConfigured("organisation", config.OrganisationNames())
	d.recorder.SetConfigured("model", config.ModelNames())
	d.recorder.UnregisterGone(time.Now())
	d.recorder.SetGauge(metrics.ConfigRevision, int64(config.Revision()))
	d.log.Info("config", "applied", "revision", config.Revision(), "source", effect.Source(), "storeAge", effect.StoreAge())
	// The reducer's goroutine must not block on its own queue. The reducer ignores an older configuration that arrives later.
	go d.enqueue(gateway.NewConfigDecoded(config))
}

func (d *Daemon) executePeer(effect peer.Effect) {
	switch effect := effect.(type) {
	case peer.Send:
		d.hub.Send(effect.Name(), effect.Address(), effect.Message())
	case peer.StopWatches:
		d.cancelWatches()
	case peer.ResetLinks:
		d.log.Info("peer", "process was frozen, resetting links")
		go d.hub.Reset()
	}
}

func (d *Daemon) executeRelay(effect relay.Effect) {
	switch effect := effect.(type) {
	case relay.Check:
		go d.checkPath(effect)
	case relay.PathLost:
		d.log.Info("relay", "path lost", "upstream", effect.Upstream())
	case relay.PathRestored:
		d.log.Info("relay", "path restored", "upstream", effect.Upstream())
	case relay.AccessChanged:
		d.log.Info("relay", "access to upstreams", "access", effect.Access(), "lost", effect.Lost())
	}
}

func (d *Daemon) executeReplica(effect replica.Effect) {
	switch effect := effect.(type) {
	case replica.Counts:
		d.log.Info("replica", "count", "alive", effect.Alive(), "leaving", effect.Leaving(), "idle", effect.Idle(),
			"recorded", effect.Recorded(), "open", effect.Open(), "need", effect.Demand(), "waiting", effect.NotOpen())
	case replica.LogEntry:
		d.log.Info("replica", effect.Message(), "replica", effect.Replica(), "model", effect.Model(),
			"epoch", effect.Epoch(), "members", effect.Members(), "reason", effect.Reason())
	}
}

func (d *Daemon) sendOrder(effect gateway.SendOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	order := effect.Order()
	reply, notice := d.adapter.Engines.Order(ctx, order, effect.Via().Address())
	d.recorder.OrderAnswered(order.Verb().String(), reply.String())
	d.log.Info("replica", "order", "verb", order.Verb(), "instance", order.ID(), "replica", order.Replica(),
		"epoch", order.Epoch(), "token", order.FencingToken(), "relay", effect.Via().Name(), "reply", reply)
	d.observe(order.ID(), notice)
	if reply == replica.ReplyUnanswered && effect.Via() == (relay.Peer{}) {
		d.enqueueRelay(relay.NewSuspected(string(order.ID())))
	}
	d.enqueue(gateway.NewReplicaEvent(replica.NewOrderAnswered(order, reply)))
}

func (d *Daemon) probe(effect gateway.SendProbe) {
	probe, via := effect.Probe(), effect.Via()
	ctx, cancel := context.WithTimeout(d.ctx, probe.Timeout())
	defer cancel()
	instance, notice, err := d.adapter.Engines.Probe(ctx, probe.ID(), probe.Address(), via.Address())
	d.observe(probe.ID(), notice)
	if err != nil {
		d.recorder.ProbeEnded("missed")
		d.log.Info("replica", "probe failed",
			"instance", probe.ID(), "relay", via.Name(), "timeout", probe.Timeout(), "err", err.Error())
		d.enqueue(missedProbe(ctx, probe.ID(), err).Via(via.Name(), relayFailureOf(err)))
		return
	}
	d.recorder.ProbeEnded("answered")
	d.enqueue(gateway.NewProbeEnded(replica.NewProbed(instance)).Via(via.Name(), relay.NoRelay))
}

// observe handles what an answer of an engine says beside its result.
func (d *Daemon) observe(id replica.ID, notice Notice) {
	if notice.Leaving {
		d.enqueue(gateway.NewLeavingReported(id))
	}
	if notice.ColdLeft > 0 {
		d.enqueue(gateway.NewColdReported(id, notice.ColdLeft))
	}
	if notice.RetryAfter > 0 {
		d.enqueueDispatch(dispatch.NewUpstreamThrottled(string(id), notice.RetryAfter))
	}
}

// missedProbe returns the event of a probe that ended with err.
func missedProbe(ctx context.Context, id replica.ID, err error) gateway.ProbeEnded {
	var outcome hop.OutcomeError
	if ctx.Err() != nil || errors.As(err, &outcome) && outcome.Outcome == hop.Unreachable {
		return gateway.NewProbeEnded(replica.NewProbeExpired(id))
	}
	return gateway.NewProbeEnded(replica.NewProbeFailed(id))
}

// relayFailureOf returns the failure of the peer that a probe went through. An instance that is silent is one without a path.
func relayFailureOf(err error) relay.Failure {
	var outcome hop.OutcomeError
	if errors.As(err, &outcome) {
		if failure, isKnown := relayFailures[outcome.Outcome]; isKnown {
			return failure
		}
	}
	return relay.NoPath
}

func (d *Daemon) executeDispatch(effect dispatch.Effect) {
	switch effect := effect.(type) {
	case dispatch.Cancel:
		d.cancelAttempt(effect.Attempt())
	case dispatch.Note:
		d.recordDecision(effect)
	case dispatch.LimitChanged:
		d.log.Info("upstream", "limit", "upstream", effect.Upstream(), "perSecond", effect.PerSecond(), "source", effect.Source())
	case dispatch.Send:
		d.addAttempt(effect.Attempt())
		if !d.deliver(effect.ID(), effect) {
			d.removeAttempt(effect.Attempt())
		}
	case dispatch.Refuse:
		d.deliver(effect.ID(), effect)
	case dispatch.Fail:
		d.deliver(effect.ID(), effect)
	case dispatch.ForwardFailure:
		d.deliver(effect.ID(), effect)
	case dispatch.Drop:
		d.deliver(effect.ID(), effect)
	}
}

// deliver sends an effect to the goroutine that serves the request, and reports whether there is one.
func (d *Daemon) deliver(id dispatch.ID, effect dispatch.Effect) bool {
	d.mutex.Lock()
	e := d.exchanges[id]
	d.mutex.Unlock()
	if e != nil {
		e.effects <- effect
	}
	return e != nil
}

// cancelAttempt cancels the context of an attempt.
func (d *Daemon) cancelAttempt(attempt dispatch.AttemptID) {
	d.mutex.Lock()
	work := d.attempts[attempt]
	d.mutex.Unlock()
	if work.cancel != nil {
		work.cancel()
	}
}
