package reducer

import (
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/peer"
)

// Addresses returns the addresses that a caller in dataCentre should connect to.
func (s *State) Addresses(dataCentre string) caller.Addresses {
	return s.caller.Addresses(s.now, dataCentre)
}

// Fleet returns the active configuration of this daemon.
func (s *State) Fleet() operator.Fleet { return s.operator.Fleet() }

// Synced reports whether this daemon has received enough from its peers and the store to serve.
func (s *State) Synced() bool { return s.peer.Synced(s.now) }

// ResolveTarget returns the model or service that the target of a planned action belongs to, empty for none, and whether
// the target is known.
func (s *State) ResolveTarget(kind operator.Kind, target string) (name string, known bool) {
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
	for _, config := range s.operator.Fleet().Services() {
		for _, upstream := range config.Upstreams() {
			if upstream.Address().String() == address {
				return config.Name(), true
			}
		}
	}
	return "", false
}

// replicaModel returns the model of a recorded replica, available or not.
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

// Pools returns the status of each pool as this daemon sees it.
func (s *State) Pools() []instance.PoolStatus { return s.instance.Status(s.now) }

// ModelCosts returns the downtime and stranded time of each model so far, as this daemon saw them.
func (s *State) ModelCosts() []instance.ModelCosts { return s.instance.ModelCosts() }

// CallerView returns a copy of the state of pkg/caller.
func (s *State) CallerView() caller.View { return s.caller.View() }

// EngineView returns a copy of the state of pkg/engine.
func (s *State) EngineView() engine.View { return s.engine.View() }

// Members returns all live daemons, including this one.
func (s *State) Members() []peer.Member { return s.peer.Members(s.now) }

// MemberRevisions returns the active revision of the configuration of each live daemon.
func (s *State) MemberRevisions() []peer.MemberRevision { return s.peer.MemberRevisions(s.now) }

// Evidence returns the probe results of the upstreams by all watchers.
func (s *State) Evidence() []peer.Evidence { return s.peer.Evidence(s.now) }

// PeerCounters returns the counters of pkg/peer: refused and late messages, heartbeats, freezes and repair requests.
func (s *State) PeerCounters() peer.Counters { return s.peer.Counters() }

// History returns the newest changes of the configuration that this daemon has read.
func (s *State) History() []operator.Change { return s.operator.History() }
