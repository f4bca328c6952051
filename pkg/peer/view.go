package peer

import "time"

// Member is one live daemon as others see it.
type Member struct {
	name          string
	address       string
	callerAddress string
	centre        string
	incarnation   uint64
	leaving       bool
}

// Name returns the name of the daemon.
func (m Member) Name() string { return m.name }

// Address returns where the daemon listens for peers, as host:port.
func (m Member) Address() string { return m.address }

// CallerAddress returns where the daemon listens for callers, as host:port.
func (m Member) CallerAddress() string { return m.callerAddress }

// Centre returns the data centre of the daemon.
func (m Member) Centre() string { return m.centre }

// Incarnation returns the number of this start of the daemon; a later start has a higher one.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Leaving reports whether the daemon is about to stop.
func (m Member) Leaving() bool { return m.leaving }

// MemberRevision tells which revision of the configuration one live member has in force.
type MemberRevision struct {
	name     string
	revision uint64
	behind   bool
	age      time.Duration
}

// Name returns the name of the member.
func (l MemberRevision) Name() string { return l.name }

// Revision returns the revision that the member last reported, 0 for none.
func (l MemberRevision) Revision() uint64 { return l.revision }

// Behind reports whether that revision is lower than the one in force here.
func (l MemberRevision) Behind() bool { return l.behind }

// Age returns how long ago the member reported it.
func (l MemberRevision) Age() time.Duration { return l.age }

// Document returns the document of that name that is in force here.
func (s *State) Document(name string) (Document, bool) {
	d, held := s.documents[name]
	return d, held
}

// MemberRevisions returns for each live member which revision of the configuration it last said to have in force, by name.
func (s *State) MemberRevisions(now time.Time) []MemberRevision {
	if !s.configured {
		return nil
	}
	lags := make([]MemberRevision, 0, len(s.live))
	for _, m := range s.live {
		lags = append(lags, MemberRevision{
			name: m.name, revision: m.revision, behind: m.revision < s.self.revision, age: now.Sub(m.beatAt),
		})
	}
	return lags
}

// Synced reports whether this daemon has heard enough to serve: its documents are the latest that can be known, and a
// peer has spoken since it last stood still, unless it is alone.
func (s *State) Synced(now time.Time) bool {
	if !s.configured || !s.documentsSettled() {
		return false
	}
	return s.heard || now.Sub(s.awake) >= aloneAfter
}

// Counters returns what was refused and repaired so far.
func (s *State) Counters() Counters { return s.counters }

// Evidence is what one watcher says of one upstream, as held here.
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

// Watcher returns the name of the daemon that looked.
func (e Evidence) Watcher() string { return e.watcher }

// Alive reports whether the upstream answered.
func (e Evidence) Alive() bool { return e.alive }

// Version returns the version of the watcher's statement.
func (e Evidence) Version() uint64 { return e.version }

// Age returns how long ago it was true.
func (e Evidence) Age() time.Duration { return e.age }

// Fresh reports whether it still counts.
func (e Evidence) Fresh() bool { return e.fresh }

// Evidence returns all that is held of the upstreams, by watcher and upstream.
func (s *State) Evidence(now time.Time) []Evidence {
	var all []Evidence
	for _, m := range s.roster {
		for _, c := range m.claims {
			all = append(all, Evidence{
				upstream: c.upstream, watcher: m.name, alive: c.alive, version: m.statement,
				age: now.Sub(c.trueAt()), fresh: s.fresh(now, c.trueAt()),
			})
		}
	}
	return all
}
