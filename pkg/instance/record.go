package instance

// record is what one pool's object says: which instances form which replica, and which of them may load.
//
// A record is never changed once it is adopted; the planner works on a draft.
type record struct {
	pool    string
	fence   FencingToken
	entries []entry
	loads   []load
}

// entry is one replica in a record; its fence is the number of the decision that last changed its members.
type entry struct {
	replica  ReplicaID
	model    string
	fence    FencingToken
	draining bool
	retiring bool
	slots    []slot
	facts    *facts // of a draft only
}

// slot is one rank of a replica: its member, empty for none, and the substitute that loads to take the rank over.
type slot struct {
	id   ID
	boot BootID
	next substitute
}

// substitute is an instance that loads one rank of a replica without being a member yet; an empty id means "none".
type substitute struct {
	id    ID
	boot  BootID
	fence FencingToken
}

// load permits one start of an instance to load from the weight store.
type load struct {
	id   ID
	boot BootID
}

// place is where one instance stands in a record.
type place struct {
	entry      int
	rank       int
	substitute bool
}

// assignment returns the assignment that the instance at p must report.
func (r *record) assignment(p place) Assignment {
	e := &r.entries[p.entry]
	if p.substitute {
		return NewAssignment(e.replica, e.slots[p.rank].next.fence)
	}
	return NewAssignment(e.replica, e.fence)
}

// boot returns the boot identity that the instance at p must report.
func (r *record) boot(p place) BootID {
	s := &r.entries[p.entry].slots[p.rank]
	if p.substitute {
		return s.next.boot
	}
	return s.boot
}

// places returns where each instance of the record stands.
func (r *record) places() map[ID]place {
	places := make(map[ID]place, len(r.entries)*8)
	for i := range r.entries {
		for rank, s := range r.entries[i].slots {
			if s.id != "" {
				places[s.id] = place{i, rank, false}
			}
			if s.next.id != "" {
				places[s.next.id] = place{i, rank, true}
			}
		}
	}
	return places
}

// mayLoad reports whether the start boot of instance id is permitted to load.
func (r *record) mayLoad(id ID, boot BootID) bool {
	for _, l := range r.loads {
		if l.id == id && l.boot == boot {
			return true
		}
	}
	return false
}

// judgedAs reports whether other daemons judge every replica by o as they do by r: substitutes and loads concern only
// the holder of the lease.
func (r *record) judgedAs(o *record) bool {
	if len(r.entries) != len(o.entries) {
		return false
	}
	for i := range r.entries {
		if !r.entries[i].judgedAs(&o.entries[i]) {
			return false
		}
	}
	return true
}

func (e *entry) judgedAs(o *entry) bool {
	if e.replica != o.replica || e.model != o.model || e.fence != o.fence {
		return false
	}
	if e.draining != o.draining || e.retiring != o.retiring || len(e.slots) != len(o.slots) {
		return false
	}
	for i := range e.slots {
		if e.slots[i].id != o.slots[i].id || e.slots[i].boot != o.slots[i].boot {
			return false
		}
	}
	return true
}
