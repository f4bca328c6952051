package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// configDocument is the name under which peers spread the configuration.
const configDocument = "configuration"

// The intervals of work that is not due at each tick.
const (
	planPeriod   = 50 * time.Millisecond  // a repair takes some two seconds; this adds little
	demandPeriod = time.Second            // demand moves replicas, which takes seconds
	memberPeriod = 250 * time.Millisecond // as often as peers gossip
)

// State is all that one daemon knows and decides; the zero value waits for Begun.
type State struct {
	identity Settings
	peer     peer.State
	replica  replica.State
	dispatch dispatch.State
	config   route.Config
	engines  string // the service whose instances form replicas
	listing  listing
	members  members
	spread   spread
	random   *rand.Rand

	addresses []string
	ready     bool
	stopping  time.Time // when the planned stop began, zero if none
	refusing  bool
	stopped   bool
	planned   time.Time
	weighed   time.Time
	demands   map[string]demanded // what daemons told this one as the leader
	keepers   []string            // the daemons that keep count of calls at replicas, the oldest first
	live      []string            // all daemons that are live, in order
	owners    map[dispatch.Shard]string
	effects   []Effect
}

// Reduce applies one event that happened at now and returns what has to be carried out, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.effects = nil
	switch e := e.(type) {
	case Started:
		s.begin(now, e.settings)
	case Reloaded:
		s.reload(now, e.settings)
	case ConfigDecoded:
		s.configure(now, e.config)
	case Listed:
		s.list(now, e)
	case ListFailed:
		s.unlist(now)
	case StoreCompleted:
		s.result(now, e)
	case Stopping:
		s.stop(now)
	case Ticked:
		s.tick(now)
	case PeerEvent:
		s.toPeer(now, e.event)
	case ReplicaEvent:
		s.toReplica(now, e.event)
	case DispatchEvent:
		s.toDispatch(now, e.event)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// begin takes over who this daemon is. Each daemon watches the configuration itself: one that is cut off from its peers
// but not from the store must know it in time too, and a watch without changes costs a call in ten seconds.
func (s *State) begin(now time.Time, i Settings) {
	s.identity = i
	s.members = newMembers(now, i.name)
	s.spread = newSpread(now)
	s.demands = map[string]demanded{}
	s.owners = map[dispatch.Shard]string{}
	s.random = rand.New(rand.NewPCG(i.seed, gatewaySeed))
	s.replica = replica.New(replica.NewSettings(i.record, i.name+"/"+i.start, i.seed).WithBootstrap(i.bootstrap))
	s.dispatch = dispatch.New(dispatch.NewSettings(i.seed, i.retryLimits))
	s.keep(now, nil)
	s.toPeer(now, peer.NewConfigured(peer.NewSettings(i.name, i.address, i.front, i.centre, i.seed).
		WithSeeds(i.seeds...).
		WithBackoff(storeBackoff).
		WithReaders(math.MaxInt).
		WithFollows(peer.NewFollow(configDocument, i.config, i.field))))
	s.toPeer(now, peer.NewShared(outageTopic, "", []byte{reachNone}, now.Add(youngFact)))
}

// reload takes over what may change while the process runs.
func (s *State) reload(now time.Time, i Settings) {
	s.identity.shutdownDelay, s.identity.retryLimits = i.shutdownDelay, i.retryLimits
	s.toDispatch(now, dispatch.NewRetryLimitsChanged(i.retryLimits))
}

// gatewaySeed tells the draws of this part from those of others.
const gatewaySeed = 13

// storeBackoff is the longest pause before the configuration is read again after the store failed: configurations are
// in force within two seconds of their acceptance.
const storeBackoff = time.Second

func (s *State) result(now time.Time, e StoreCompleted) {
	switch e.component {
	case PeerComponent:
		s.toPeer(now, peer.NewResulted(e.result))
	case ReplicaComponent:
		s.toReplica(now, replica.NewStoreCompleted(e.result))
	}
}

// configure puts a configuration in force; an older one than that in force changes nothing.
func (s *State) configure(now time.Time, config route.Config) {
	if config.Revision() <= s.config.Revision() {
		return
	}
	s.config = config
	s.toDispatch(now, dispatch.NewConfigured(config))
	engines, _ := config.EngineService()
	s.toReplica(now, replica.NewConfigured(engines.Engine()))
	if s.engines != engines.Name() {
		s.engines = engines.Name()
		s.toReplica(now, replica.NewListed(s.instances(s.engines)))
	}
	s.refreshReady()
}

// instances returns the listed instances of a service.
func (s *State) instances(service string) []replica.Instance {
	var instances []replica.Instance
	for _, u := range s.listing.entries {
		if u.service == service {
			instances = append(instances, u.instance)
		}
	}
	slices.SortFunc(instances, func(a, b replica.Instance) int {
		if a.ID() < b.ID() {
			return -1
		}
		return 1
	})
	return instances
}

// list takes over what the platform lists.
func (s *State) list(now time.Time, e Listed) {
	if !s.spread.follows {
		return // what was under way when another daemon took over reading
	}
	if s.members.out {
		s.members.out = false
		s.listing.regained = now
		s.tellReach(now)
	}
	changed, gone := s.listing.take(now, e, 0)
	s.relist(now, changed, gone)
	s.refreshReady()
}

// unlist takes in that the list can't be read here; it goes on by what a reader tells, if there is one.
func (s *State) unlist(now time.Time) {
	if !s.spread.follows || s.members.out {
		return
	}
	s.members.out = true
	s.members.checked = time.Time{}
	s.tellReach(now)
	if !s.isTold(now) {
		s.listing.broken = true
	}
}

func (s *State) relist(now time.Time, changed []Upstream, gone []replica.ID) {
	s.spread.note(changed, gone)
	var engines []replica.Instance
	for _, u := range changed {
		if u.service == s.engines {
			engines = append(engines, u.instance)
		}
	}
	if len(engines) > 0 || len(gone) > 0 {
		s.toReplica(now, replica.NewListChanges(engines, gone))
	}
	s.toDispatch(now, dispatch.NewTicked())
}

// tick does all that is due by time.
func (s *State) tick(now time.Time) {
	s.toPeer(now, peer.NewTicked())
	if gone := s.listing.expire(now); len(gone) > 0 {
		s.relist(now, nil, gone)
	}
	s.refreshMembers(now)
	s.refreshSpread(now)
	if now.Sub(s.weighed) >= demandPeriod {
		s.weigh(now)
	}
	if now.Sub(s.planned) >= planPeriod {
		s.planned = now
		s.toReplica(now, replica.NewTicked())
	}
	s.toDispatch(now, dispatch.NewTicked())
	s.proceedStop(now)
}

// refreshReady tells the driver when this daemon begins or ceases to be ready.
func (s *State) refreshReady() {
	reason := "serving"
	switch {
	case !s.stopping.IsZero():
		reason = "stopping"
	case s.config.Revision() == 0:
		reason = "no configuration yet"
	case !s.listing.known:
		reason = "no list of upstreams yet"
	}
	if ready := reason == "serving"; ready != s.ready {
		s.ready = ready
		s.emit(Ready{ready, reason})
	}
}

// Replicas returns the heads of the replicas that serve a model.
func (s *State) Replicas(model string) []dispatch.Target {
	heads := s.replica.Heads(model)
	engines, _ := s.config.Service(s.engines)
	targets := make([]dispatch.Target, 0, len(heads))
	for _, h := range heads {
		target := dispatch.NewTarget(
			string(h.ID()), h.Address(), h.Centre() == s.identity.centre, engines.Engine().Slots())
		if h.CrossDomain() {
			target = target.WithSlowdown(engines.Engine().CrossDomainFactor())
		}
		targets = append(targets, target)
	}
	return targets
}

// Processes returns the upstreams of a plain service.
func (s *State) Processes(service string) []dispatch.Target {
	var targets []dispatch.Target
	for _, u := range s.listing.entries {
		if u.service == service && !u.instance.Leaving() {
			targets = append(targets, dispatch.NewTarget(
				string(u.instance.ID()), u.instance.Address(), u.instance.Centre() == s.identity.centre, u.slots))
		}
	}
	slices.SortFunc(targets, func(a, b dispatch.Target) int {
		if a.Name() < b.Name() {
			return -1
		}
		return 1
	})
	return targets
}
