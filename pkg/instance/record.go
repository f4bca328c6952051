package instance

// record is the stored object of one pool: which instances form which replica, and which of them may load.
//
// An adopted record is never changed. The planner works on a draft.
type record struct {
	pool        string
	revision    FencingToken
	entries     []entry
	loadPermits []loadPermit
}

// entry is one replica in a record. Its fencing token is that of the last change of its members.
type entry struct {
	replica      ReplicaID
	model        string
	fencingToken FencingToken
	draining     bool
	retiring     bool
	slots        []slot
	assessment   *assessment // only in a draft
}

// slot is one rank of a replica: its member, empty for none, and the substitute that loads in order to replace it.
type slot struct {
	id         ID
	boot       BootID
	substitute substitute
}

// substitute is an instance that loads one rank of a replica without being a member yet. An empty id means "none".
type substitute struct {
	id           ID
	boot         BootID
	fencingToken FencingToken
}

// loadPermit permits one boot of an instance to load from the weight store.
type loadPermit struct {
	id   ID
	boot BootID
}

// position is the rank that one instance has in a record, as the member or as its substitute. entry is an index.
type position struct {
	entry        int
	rank         int
	isSubstitute bool
}

// assignment returns the assignment that the instance at p must report.
func (r *record) assignment(p position) Assignment {
	e := &r.entries[p.entry]
	if p.isSubstitute {
		return NewAssignment(e.replica, e.slots[p.rank].substitute.fencingToken)
	}
	return NewAssignment(e.replica, e.fencingToken)
}

// boot returns the boot that the instance at p must report.
func (r *record) boot(p position) BootID {
	s := &r.entries[p.entry].slots[p.rank]
	if p.isSubstitute {
		return s.substitute.boot
	}
	return s.boot
}

// positions returns the position of each instance in the record.
func (r *record) positions() map[ID]position {
	positions := make(map[ID]position, len(r.entries)*8)
	for i := range r.entries {
		for rank, s := range r.entries[i].slots {
			if s.id != "" {
				positions[s.id] = position{i, rank, false}
			}
			if s.substitute.id != "" {
				positions[s.substitute.id] = position{i, rank, true}
			}
		}
	}
	return positions
}

// mayLoad reports whether this boot of instance id has a permit to load.
func (r *record) mayLoad(id ID, boot BootID) bool {
	for _, l := range r.loadPermits {
		if l.id == id && l.boot == boot {
			return true
		}
	}
	return false
}

// sameReplicas reports whether the replicas of both records are equal for other daemons. Substitutes and load permits
// concern only the holder of the lease.
func (r *record) sameReplicas(o *record) bool {
	if len(r.entries) != len(o.entries) {
		return false
	}
	for i := range r.entries {
		if !r.entries[i].sameReplica(&o.entries[i]) {
			return false
		}
	}
	return true
}

func (e *entry) sameReplica(o *entry) bool {
	if e.replica != o.replica || e.model != o.model || e.fencingToken != o.fencingToken {
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
