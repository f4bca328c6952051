package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azurepond/azurepond/pkg/clock"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/replica"
	"github.com/azurepond/azurepond/pkg/route"
)

// configDocument is the name of the document by which peers exchange the configuration.
const configDocument = "configuration"

// The intervals of work that is not done at each tick.
const (
	replicaTickInterval = 50 * time.Millisecond  // short compared with a repair, which takes two seconds
	leaderTickInterval  = 25 * time.Millisecond  // of the leader, which handles the events of many instances together
	demandInterval      = time.Second            // replicas follow demand within seconds at best
	membershipInterval  = 250 * time.Millisecond // equals the gossip interval
)

// State is the state machine of one daemon; the zero value waits for Started.
type State struct {
	settings      Settings
	peer          peer.State
	replica       replica.State
	dispatch      dispatch.State
	relay         relay.State
	config        route.Config
	engineService string // the service whose instances form replicas
	listing       listing
	members       members
	retrySharers  retrySharers
	listSync      listSync
	evacuations   evacuations
	watcher       watcher
	configWatch   storeWatch
	random        *rand.Rand

	addresses        []Address
	ready            bool
	stopping         time.Time // when the shutdown began, zero if none
	shutdown         Shutdown  // that has begun
	stoppedAccepting bool
	stopped          bool
	replicaTickedAt  time.Time
	demandReportedAt time.Time
	demandByDaemon   map[string]daemonDemand // reported to this daemon as the leader
	shardOwners      []string                // the daemons that count the calls at replicas, the oldest first
	liveNames        []string                // sorted; includes this daemon
	storeEra         uint64                  // 0 if unknown
	lag              clock.Lag
	nextTick         time.Time // when the next tick is due, zero before the first
	ownerByShard     map[dispatch.Shard]string
	suspectedAt      map[replica.ID]time.Time // last suspicion of the upstreams that name a limit
	namesByService   map[string][]string      // of the listed upstreams, nil if it must be determined again
	coldUntil        map[replica.ID]time.Time // of the cold upstreams
	relayed          map[RelayID]bool         // requests that are passed on for peers

	centresByUpstream map[string][]string // of the members, for calls with home regions; nil if they must be determined again

	effects []Effect
}

// Reduce applies one event that happened at now and returns the effects to execute, in order.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.effects = nil
	s.observeLag(now, e)
	s.refreshEvacuations(now)
	switch e := e.(type) {
	case Started:
		s.start(now, e.settings)
	case Reloaded:
		s.reload(now, e.settings)
	case ConfigDecoded:
		s.configure(now, e.config)
	case Listed:
		s.listSync.watch = storeWatch{answeredAt: now}
		if s.observeEra(now, e.era) {
			s.applyList(now, e)
		}
	case ListUnchanged:
		s.listSync.watch = storeWatch{answeredAt: now}
	case ListFailed:
		s.listSync.watch = storeWatch{}
		s.listFailed(now)
	case ColdReported:
		s.reportCold(now, e.id, e.left)
	case Evacuations:
		s.evacuationsRead(now, e)
	case LeavingReported:
		s.reportLeaving(now, e.id)
	case StoreCompleted:
		s.storeCompleted(now, e)
	case Stopping:
		s.stop(now, e.signalledAt)
	case Ticked:
		s.tick(now)
	case Suspended:
		s.evacuations.suspend(e.duration)
		s.reducePeer(now, peer.NewSuspended(e.duration))
		s.reduceDispatch(now, dispatch.NewSuspended(e.duration))
	case PeerEvent:
		s.reducePeer(now, e.event)
	case ReplicaEvent:
		s.reduceReplica(now, e.event)
	case DispatchEvent:
		s.reduceDispatch(now, e.event)
	case RelayEvent:
		s.reduceRelay(now, e.event)
	case ProbeEnded:
		s.probeEnded(now, e)
	case RelayRequested:
		s.relayRequested(now, e)
	case RelayEnded:
		delete(s.relayed, e.id)
	}
	return s.effects
}

// Abandon ends the call for which Reduce has panicked. It returns the effects that are left to carry out, and false if the panic was not about
// a call; the state can't be used any more then.
func (s *State) Abandon(now time.Time) ([]Effect, bool) {
	effects, isFound := s.dispatch.Abandon(now)
	for _, effect := range effects {
		s.handleDispatchEffect(now, effect)
	}
	return s.effects, isFound
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// start initialises the state. The peer settings let every daemon watch the configuration in the store, so that one that is
// partitioned from its peers but not from the store gets it in time too; watchConfig limits the idle watches.
func (s *State) start(now time.Time, settings Settings) {
	s.settings = settings
	s.members = newMembers(now, settings.name)
	s.listSync = newListSync(now)
	s.watcher = newWatcher()
	s.demandByDaemon = map[string]daemonDemand{}
	s.ownerByShard = map[dispatch.Shard]string{}
	s.suspectedAt = map[replica.ID]time.Time{}
	s.random = rand.New(rand.NewPCG(settings.seed, randomStream))
	s.replica = replica.New(
		replica.NewSettings(settings.recordKey, settings.name+"/"+settings.incarnation, settings.seed).
			WithBootstrap(settings.bootstrap),
	)
	s.relay = relay.New(settings.centre, settings.seed)
	s.relayed = map[RelayID]bool{}
	s.coldUntil = map[replica.ID]time.Time{}
	s.dispatch = dispatch.New(dispatch.NewSettings(settings.seed, settings.retryLimits))
	s.reduceDispatch(now, dispatch.NewColdBoundChanged(settings.coldBound))
	s.reduceDispatch(now, dispatch.NewFleetSizeChanged(0))
	s.reduceDispatch(now, dispatch.NewRetrySharersChanged(0))
	s.refreshShardOwners(now, nil)
	s.reducePeer(now, peer.NewConfigured(peer.NewSettings(
		settings.name, settings.peerAddress, settings.callerAddress, settings.centre, settings.seed).
		WithSeeds(settings.seeds...).
		WithCapacity(settings.capacity).
		WithRelayPort(settings.relayPort).
		WithMaxBackoff(maxStoreBackoff).
		WithReadersPerCentre(math.MaxInt).
		WithDocuments(peer.NewDocumentSource(configDocument, settings.configKey, settings.revisionField))))
	s.reducePeer(now, peer.NewFactShared(outageTopic, "", []byte{accessNone}, now.Add(startupFactTTL)))
}

// reload applies the settings that may change while the process runs.
func (s *State) reload(now time.Time, settings Settings) {
	s.settings.shutdown, s.settings.retryLimits, s.settings.coldBound = settings.shutdown, settings.retryLimits, settings.coldBound
	s.reduceDispatch(now, dispatch.NewColdBoundChanged(settings.coldBound))
	s.reduceDispatch(now, dispatch.NewRetryLimitsChanged(settings.retryLimits))
	if !slices.Equal(settings.seeds, s.settings.seeds) {
		s.settings.seeds = settings.seeds
		s.reducePeer(now, peer.NewSeedsChanged(settings.seeds))
	}
}

// randomStream selects the random sequence of this package, so that packages with the same seed draw independently.
const randomStream = 13

// maxStoreBackoff limits the delay before the configuration is read again after the store failed: a configuration must be
// active within two seconds of its acceptance.
const maxStoreBackoff = time.Second

func (s *State) storeCompleted(now time.Time, e StoreCompleted) {
	if !s.observeEra(now, e.result.Era()) {
		e.result = object.NewLost(e.result.Ref())
	}
	switch e.component {
	case PeerComponent:
		s.observeConfigWatch(now, e.result)
		s.reducePeer(now, peer.NewStoreCompleted(e.result))
	case ReplicaComponent:
		s.reduceReplica(now, replica.NewStoreCompleted(e.result))
	}
}

// configure activates a configuration unless it is older than the active one.
func (s *State) configure(now time.Time, config route.Config) {
	if config.Revision() <= s.config.Revision() {
		return
	}
	s.config = config
	s.listing.configureCold(config)
	s.reduceDispatch(now, dispatch.NewConfigured(config))
	engines, _ := config.EngineService()
	s.reduceReplica(now, replica.NewConfigured(engines.Engine()).
		WithLongestCall(config.LongestTimeout(engines.Name())).
		WithResumable(config.IsRetryable(engines.Name())))
	if s.engineService != engines.Name() {
		s.engineService = engines.Name()
		s.reduceReplica(now, replica.NewListed(s.instances(s.engineService)))
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

// applyList applies the list, or changes of it, that this daemon's own watch delivered.
func (s *State) applyList(now time.Time, e Listed) {
	if !s.listSync.watchesStore {
		return // a result of the watch that was stopped when a reader took over
	}
	if s.members.storeUnreachable {
		s.members.storeUnreachable = false
		s.listing.storeRecoveredAt = now
		s.shareAccess(now)
	}
	changed, gone := s.listing.apply(now, e, 0)
	s.applyListChanges(now, changed, gone)
	s.refreshReady()
}

// listFailed handles that this daemon can't read the list; the updates of a reader still apply if there is one.
func (s *State) listFailed(now time.Time) {
	if !s.listSync.watchesStore || s.members.storeUnreachable {
		return
	}
	s.members.storeUnreachable = true
	s.members.refreshedAt = time.Time{}
	s.shareAccess(now)
	if !s.hasSource(now) {
		s.listing.unavailable = true
	}
}

func (s *State) applyListChanges(now time.Time, changed []Upstream, gone []replica.ID) {
	s.namesByService, s.centresByUpstream = nil, nil
	s.listSync.addChanges(changed, gone)
	s.noteCold(now, changed)
	var engines []replica.Instance
	for _, u := range changed {
		if u.service == s.engineService {
			engines = append(engines, u.instance)
		}
	}
	if len(engines) > 0 || len(gone) > 0 {
		s.reduceReplica(now, replica.NewListChanges(engines, gone))
	}
	s.reduceDispatch(now, dispatch.NewTicked())
}

// tick runs all work that is due.
func (s *State) tick(now time.Time) {
	s.reducePeer(now, peer.NewTicked())
	if released := s.listing.releaseHeldBack(now); len(released) > 0 {
		changed, _ := s.listing.apply(now, Listed{upstreams: released}, 0)
		s.applyListChanges(now, changed, nil)
	}
	if gone := s.listing.expire(now); len(gone) > 0 {
		s.applyListChanges(now, nil, gone)
	}
	s.endCold(now)
	s.refreshMembers(now)
	s.refreshListSync(now)
	s.checkWatches(now)
	s.replaceSilentWatches(now)
	if now.Sub(s.demandReportedAt) >= demandInterval {
		s.reportDemand(now)
	}
	interval := replicaTickInterval
	if s.replica.Leading() {
		interval = leaderTickInterval
	}
	if now.Sub(s.replicaTickedAt) >= interval {
		s.replicaTickedAt = now
		s.reduceReplica(now, replica.NewTicked())
	}
	s.reduceRelay(now, relay.NewTicked(s.lag.Recent(now)))
	s.reduceDispatch(now, dispatch.NewTicked())
	s.proceedStop(now)
}

// refreshReady notifies the driver when the readiness of this daemon changes.
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

// Replicas returns the heads of the replicas that serve a model; pkg/replica leaves out those with a member in a closed data centre.
func (s *State) Replicas(model string) []dispatch.Target {
	heads := s.replica.Heads(model)
	engines, _ := s.config.Service(s.engineService)
	targets := make([]dispatch.Target, 0, len(heads))
	for _, h := range heads {
		target := dispatch.NewTarget(
			string(h.ID()), h.Address(), h.Centre() == s.settings.centre, engines.Engine().Slots())
		if s.settings.hasCentres() {
			target = target.WithCentre(h.Centre())
		}
		if h.CrossDomain() {
			target = target.WithSlowdown(engines.Engine().CrossDomainFactor())
		}
		targets = append(targets, s.withCold(target, h.ID(), engines))
	}
	return targets
}

// Centre returns the data centre of this daemon in a deployment with several, empty in any other.
func (s *State) Centre() string {
	if s.settings.hasCentres() {
		return s.settings.centre
	}
	return ""
}

// NextOpening returns when the next replica of a model may open at the earliest.
func (s *State) NextOpening(now time.Time, model string) time.Time {
	return s.replica.NextOpening(now, model)
}

// Processes returns the upstreams of a plain service that may get requests.
func (s *State) Processes(service string) []dispatch.Target {
	var targets []dispatch.Target
	configured, _ := s.config.Service(service)
	for _, u := range s.listing.entries {
		if u.service == service && !u.instance.Leaving() && !s.evacuations.isClosed(u.instance.Centre()) {
			target := dispatch.NewTarget(
				string(u.instance.ID()), u.instance.Address(), u.instance.Centre() == s.settings.centre, u.slots)
			targets = append(targets, s.withCold(target, u.instance.ID(), configured))
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
