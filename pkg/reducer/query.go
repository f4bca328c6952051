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

// Settled reports whether this daemon has heard enough to serve.
func (s *State) Settled() bool { return s.peer.Settled(s.now) }

// Owner returns the model or service that the target of a planned action works for, empty for none, and whether the
// target is known at all.
func (s *State) Owner(kind operator.Kind, target string) (owner string, known bool) {
	switch kind {
	case operator.Entry:
		return "", s.isMember(target)
	case operator.Instance:
		return s.instanceModel(target), s.isListed(target)
	case operator.Replica:
		return s.replicaModel(target)
	case operator.Address:
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

// Losses returns what each model has lost so far, as this daemon saw it.
func (s *State) Losses() []instance.ModelCosts { return s.instance.ModelCosts() }

// Calls returns what the decisions towards callers know.
func (s *State) Calls() caller.View { return s.caller.View() }

// Engines returns what the decisions towards engines know.
func (s *State) Engines() engine.View { return s.engine.View() }

// Members returns all live daemons, this one among them.
func (s *State) Members() []peer.Member { return s.peer.Members(s.now) }

// Lag returns which revision of the configuration each live daemon has in force.
func (s *State) Lag() []peer.Lag { return s.peer.Lag(s.now) }

// Evidence returns what the watchers say of the upstreams.
func (s *State) Evidence() []peer.Evidence { return s.peer.Evidence(s.now) }

// Refusals returns what the decisions among peers refused and repaired so far.
func (s *State) Refusals() peer.Counters { return s.peer.Counters() }

// History returns the newest changes of the configuration that this daemon has read.
func (s *State) History() []operator.Change { return s.operator.History() }
