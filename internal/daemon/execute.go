package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// probeTimeout limits one probe of an upstream.
const probeTimeout = time.Second

// execute executes one effect. Slow ones run in a goroutine and feed their result as an event.
func (d *Daemon) execute(effect reducer.Effect) {
	switch effect := effect.(type) {
	case reducer.Store:
		go d.store(effect)
	case reducer.ListInstances:
		go d.listInstances()
	case reducer.Reconfigured:
		fleet := effect.Fleet()
		d.fleet.Store(&fleet)
		klog.InfoS("daemon: Configuration applied", "revision", uint64(fleet.Revision()))
	case reducer.EndCalls:
		klog.InfoS("daemon: Grace period is over; ending running calls", "running", d.callers.ActiveCalls())
		d.callers.EndCalls()
	case reducer.Stopped:
		d.stopOnce.Do(func() { close(d.stopped) })
	case reducer.CallerEffect:
		d.executeCallerEffect(effect.Effect())
	case reducer.EngineEffect:
		d.executeEngineEffect(effect.Effect())
	case reducer.ServiceEffect:
		d.callers.ExecuteService(effect.Effect())
	case reducer.InstanceEffect:
		d.executeInstanceEffect(effect.Effect())
	case reducer.PeerEffect:
		d.executePeerEffect(effect.Effect())
	case reducer.OperatorEffect:
		d.executeOperatorEffect(effect.Effect())
	}
}

// store makes one call to the object API.
func (d *Daemon) store(effect reducer.Store) {
	feed := func(result object.Result) {
		d.recorder.StoreRequestEnded(effect.Request(), result)
		_ = d.loop.feed(reducer.NewStoreCompleted(effect.Component(), result))
	}
	if watch, isWatch := effect.Request().(object.Watch); isWatch {
		d.platform.Watch(d.work, watch, feed)
		return
	}
	feed(d.platform.Do(d.work, effect.Request()))
}

// listInstances reads the instance list; after a failure the reducer requests it again.
func (d *Daemon) listInstances() {
	revision, instances, err := d.platform.Instances(d.work)
	if err != nil {
		klog.V(1).InfoS("daemon: Cannot read the instance list; keeping the last one", "err", err.Error())
		return
	}
	_ = d.loop.feed(reducer.NewListed(revision, instances))
}

func (d *Daemon) executeCallerEffect(effect caller.Effect) {
	if reject, isReject := effect.(caller.Reject); isReject {
		d.callers.Reject(reject)
	}
}

func (d *Daemon) executeEngineEffect(effect engine.Effect) {
	switch effect := effect.(type) {
	case engine.ReadCacheEvents:
		d.cache.read(d.work, effect)
	case engine.ResyncCache:
		d.cache.resync(d.work, effect)
	default:
		d.callers.ExecuteEngine(effect)
	}
}

func (d *Daemon) executeInstanceEffect(effect instance.Effect) {
	switch effect := effect.(type) {
	case instance.Order:
		go d.sendOrder(effect)
	case instance.AvailabilityChanged:
		klog.InfoS("instance: Replica availability changed", "replica", string(effect.Replica()), "model", effect.Model(),
			"whole", effect.Available(), "reason", effect.Reason().String())
	}
}

// sendOrder sends an order to an instance and feeds the reply. An order whose deadline has passed is not sent and counts
// as unanswered.
func (d *Daemon) sendOrder(order instance.Order) {
	reply := instance.ReplyUnanswered
	if time.Now().Before(order.Deadline()) {
		reply = d.upstreams.SendOrder(d.work, order)
	}
	_ = d.loop.feed(reducer.NewInstanceEvent(instance.NewOrderAnswered(order.ID(), order.Assignment(), reply)))
}

func (d *Daemon) executePeerEffect(effect peer.Effect) {
	switch effect := effect.(type) {
	case peer.Send:
		d.hub.Send(effect.Name(), effect.Address(), effect.Message())
	case peer.Probe:
		go d.probe(effect.Upstream())
	case peer.ResetLinks:
		go d.hub.Reset()
		klog.InfoS("peer: Daemon was frozen; reopening all links")
	case peer.Members:
		klog.V(1).InfoS("peer: Members changed", "members", len(effect.Members()))
	}
}

func (d *Daemon) executeOperatorEffect(effect operator.Effect) {
	if answer, isAnswer := effect.(operator.Answer); isAnswer {
		d.deliverOutcome(answer.Request(), answer.Outcome())
	}
}

// probe probes one upstream.
func (d *Daemon) probe(u peer.Upstream) {
	limited, cancel := context.WithTimeout(d.work, probeTimeout)
	defer cancel()
	result := d.upstreams.Probe(limited, instance.ID(u.ID()), u.Address(), d.settings.Name(), time.Now())
	_ = d.loop.feed(reducer.NewPeerEvent(peer.NewProbed(result)))
}
