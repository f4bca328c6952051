package instance

import "time"

// unknownModelGracePeriod is how long replicas of a model that the settings don't name are kept. This daemon's settings
// may be older than the record.
const unknownModelGracePeriod = 2 * time.Minute

// retireOutdated retires replicas that operators stopped, replicas of models that are no longer configured, and
// replicas with an outdated span. The last ones are retired one at a time, while all others of their model are
// available.
func (d *draft) retireOutdated() {
	for i := range d.record.entries {
		e := &d.record.entries[i]
		if d.state.stoppedReplicas[e.replica] {
			d.retire(i)
			continue
		}
		m, known := d.model(e)
		if !known {
			d.retireUnknown(i)
			continue
		}
		delete(d.pool.unknownSince, e.replica)
		if m.span != len(e.slots) && !e.retiring && !d.formationPending(m) && d.othersAvailable(e) {
			d.retire(i)
		}
	}
}

func (d *draft) retireUnknown(i int) {
	replica := d.record.entries[i].replica
	since, known := d.pool.unknownSince[replica]
	if !known {
		d.pool.unknownSince[replica] = d.now
		return
	}
	if d.now.Sub(since) >= unknownModelGracePeriod {
		d.retire(i)
	}
}

// formationPending reports whether a replica of m is missing while instances are becoming free for it.
func (d *draft) formationPending(m Model) bool {
	return d.countReplicas(m) < m.replicas && len(d.soonFree()) > 0
}

// othersAvailable reports whether all other replicas of the same model are available and not retiring.
func (d *draft) othersAvailable(e *entry) bool {
	for i := range d.record.entries {
		o := &d.record.entries[i]
		rs := d.replicaState(o)
		if o.model == e.model && o.replica != e.replica && (o.retiring || rs == nil || !rs.available) {
			return false
		}
	}
	return true
}
