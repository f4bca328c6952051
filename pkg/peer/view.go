package peer

import "time"

// Member describes one live daemon.
type Member struct {
	name          string
	address       string
	callerAddress string
	centre        string
	incarnation   uint64
	leaving       bool
	capacity      int
	relayAddress  string
}

// Name returns the name of the daemon.
func (m Member) Name() string { return m.name }

// Address returns where the daemon listens for peers, as host:port.
func (m Member) Address() string { return m.address }

// CallerAddress returns where the daemon listens for callers, as host:port.
func (m Member) CallerAddress() string { return m.callerAddress }

// Centre returns the data centre of the daemon.
func (m Member) Centre() string { return m.centre }

// Incarnation returns the incarnation number of the daemon, which increases with each start.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Capacity returns the resource class of the daemon's instance, 0 if unknown.
func (m Member) Capacity() int { return m.capacity }

// RelayAddress returns where the daemon accepts requests that it passes on for its peers, as host:port, empty if it does not.
func (m Member) RelayAddress() string { return m.relayAddress }

// Leaving reports whether the daemon is about to stop.
func (m Member) Leaving() bool { return m.leaving }

// MemberRevision is the revision of the configuration that one live member has in force.
type MemberRevision struct {
	name     string
	revision uint64
	behind   bool
	age      time.Duration
}

// Name returns the name of the member.
func (r MemberRevision) Name() string { return r.name }

// Revision returns the last revision that the member reported, 0 for none.
func (r MemberRevision) Revision() uint64 { return r.revision }

// Behind reports whether that revision is lower than the one in force here.
func (r MemberRevision) Behind() bool { return r.behind }

// Age returns how long ago the member reported it.
func (r MemberRevision) Age() time.Duration { return r.age }

// Document returns the document of that name that is in force on this daemon.
func (s *State) Document(name string) (Document, bool) {
	d, found := s.documents[name]
	return d, found
}

// IsKnown reports whether a daemon of that name is a member, live or not. Members are kept for an hour after their last heartbeat.
func (s *State) IsKnown(name string) bool {
	_, isKnown := s.members[s.handleByName[name]]
	return isKnown
}

// MemberRevisions returns the revision of the configuration that each live member last reported, sorted by name.
func (s *State) MemberRevisions(now time.Time) []MemberRevision {
	if !s.configured {
		return nil
	}
	revisions := make([]MemberRevision, 0, len(s.live))
	for _, m := range s.live {
		revisions = append(revisions, MemberRevision{
			name: m.name, revision: m.revision, behind: m.revision < s.self.revision, age: now.Sub(m.heartbeatAt),
		})
	}
	return revisions
}

// Synced reports whether this daemon may serve: its documents are the latest that can be known, and it has received a
// message from a peer since its start or last freeze, unless it is alone.
func (s *State) Synced(now time.Time) bool {
	if !s.configured || !s.documentsSynced() {
		return false
	}
	return s.receivedFromPeer || now.Sub(s.resumedAt) >= aloneTimeout
}

// Counters returns the counters since the daemon was configured.
func (s *State) Counters() Counters { return s.counters }

// Evidence is the observation of one upstream by one watcher, as stored on this daemon.
type Evidence struct {
	upstream string
	watcher  string
	alive    bool
	version  uint64
	age      time.Duration
	fresh    bool
}

// Upstream returns the name of the upstream.
func (e Evidence) Upstream() string { return e.upstream }

// Watcher returns the name of the daemon that probed the upstream.
func (e Evidence) Watcher() string { return e.watcher }

// Alive reports whether the upstream answered.
func (e Evidence) Alive() bool { return e.alive }

// Version returns the version of the watcher's report.
func (e Evidence) Version() uint64 { return e.version }

// Age returns the time since the observation was last confirmed.
func (e Evidence) Age() time.Duration { return e.age }

// Fresh reports whether the observation is not older than the evidence TTL.
func (e Evidence) Fresh() bool { return e.fresh }

// Evidence returns all observations, sorted by watcher and upstream.
func (s *State) Evidence(now time.Time) []Evidence {
	var all []Evidence
	for _, m := range s.allMembers {
		for _, o := range m.observations {
			all = append(all, Evidence{
				upstream: o.upstream, watcher: m.name, alive: o.alive, version: m.storedReportVersion,
				age: now.Sub(o.validAt()), fresh: s.isFresh(now, o.validAt()),
			})
		}
	}
	return all
}
