package reducer

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/peer"
)

// Addresses returns where a caller in dataCentre should connect.
func (s *State) Addresses(dataCentre string) caller.Addresses {
	return s.caller.Addresses(s.now, dataCentre)
}

// Fleet returns the configuration that is in force in this daemon.
func (s *State) Fleet() operator.Fleet { return s.operator.Fleet() }

// Synced reports whether this daemon has heard enough to serve.
func (s *State) Synced() bool { return s.peer.Synced(s.now) }

// ResolveTarget returns the model or service that the target of a planned action works for, empty for none, and whether the
// target is known at all.
func (s *State) ResolveTarget(kind operator.Kind, target string) (owner string, known bool) {
	switch kind {
	case operator.KindEntry:
		return "", s.isMember(target)
	case operator.KindInstance:
		return s.instanceModel(target), s.isListed(target)
	case operator.KindReplica:
		return s.replicaModel(target)
	case operator.KindUpstream:
		return s.serviceAt(target)
	}
	return "", false
}

func (s *State) isMember(name string) bool {
	for _, m := range s.peer.Members(s.now) {
		if m.Name() == name {
			return true
		}
	}
	return false
}

func (s *State) isListed(id string) bool {
	for _, i := range s.listing.instances {
		if string(i.ID()) == id {
			return true
		}
	}
	return false
}

func (s *State) serviceAt(address string) (service string, known bool) {
	for _, service := range s.operator.Fleet().Services() {
		for _, upstream := range service.Upstreams() {
			if upstream.Address().String() == address {
				return service.Name(), true
			}
		}
	}
	return "", false
}

// replicaModel returns the model of a recorded replica, whole or not.
func (s *State) replicaModel(name string) (model string, known bool) {
	for _, pool := range s.Pools() {
		for _, replica := range pool.Replicas() {
			if string(replica.Replica()) == name {
				return replica.Model(), true
			}
		}
	}
	return "", false
}

// Pools returns what this daemon holds and judges of each pool.
func (s *State) Pools() []instance.PoolStatus { return s.instance.Status(s.now) }

// ModelCosts returns what each model has lost so far, as this daemon saw it.
func (s *State) ModelCosts() []instance.ModelCosts { return s.instance.ModelCosts() }

// CallerView returns what the decisions towards callers know.
func (s *State) CallerView() caller.View { return s.caller.View() }

// EngineView returns what the decisions towards engines know.
func (s *State) EngineView() engine.View { return s.engine.View() }

// Members returns all live daemons, this one among them.
func (s *State) Members() []peer.Member { return s.peer.Members(s.now) }

// MemberRevisions returns which revision of the configuration each live daemon has in force.
func (s *State) MemberRevisions() []peer.MemberRevision { return s.peer.MemberRevisions(s.now) }

// Evidence returns what the watchers say of the upstreams.
func (s *State) Evidence() []peer.Evidence { return s.peer.Evidence(s.now) }

// PeerCounters returns what the decisions among peers refused and repaired so far.
func (s *State) PeerCounters() peer.Counters { return s.peer.Counters() }

// History returns the newest changes of the configuration that this daemon has read.
func (s *State) History() []operator.Change { return s.operator.History() }
