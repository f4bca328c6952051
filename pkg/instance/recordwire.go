package instance

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// recordWire is the JSON encoding of a record.
type recordWire struct {
	Pool     string      `json:"pool"`
	Revision uint64      `json:"fence"`
	Replicas []entryWire `json:"replicas"`
	Loads    []loadWire  `json:"loads,omitempty"`
}

type entryWire struct {
	Name         string     `json:"name"`
	Model        string     `json:"model"`
	FencingToken uint64     `json:"fence"`
	Draining     bool       `json:"draining,omitempty"`
	Retiring     bool       `json:"retiring,omitempty"`
	Members      []slotWire `json:"members"`
}

type slotWire struct {
	ID         string          `json:"id,omitempty"`
	Boot       string          `json:"boot,omitempty"`
	Substitute *substituteWire `json:"next,omitempty"`
}

type substituteWire struct {
	ID           string `json:"id"`
	Boot         string `json:"boot"`
	FencingToken uint64 `json:"fence"`
}

type loadWire struct {
	ID   string `json:"id"`
	Boot string `json:"boot"`
}

func encodeRecord(r *record) []byte {
	wire := recordWire{Pool: r.pool, Revision: uint64(r.revision), Replicas: []entryWire{}}
	for i := range r.entries {
		wire.Replicas = append(wire.Replicas, entryToWire(&r.entries[i]))
	}
	for _, l := range r.loadPermits {
		wire.Loads = append(wire.Loads, loadWire{string(l.id), string(l.boot)})
	}
	data, err := json.Marshal(wire)
	if err != nil {
		panic(trace.Wrap(err))
	}
	return data
}

func entryToWire(e *entry) entryWire {
	wire := entryWire{
		Name:         string(e.replica),
		Model:        e.model,
		FencingToken: uint64(e.fencingToken),
		Draining:     e.draining,
		Retiring:     e.retiring,
		Members:      make([]slotWire, len(e.slots)),
	}
	for i, s := range e.slots {
		wire.Members[i] = slotWire{ID: string(s.id), Boot: string(s.boot)}
		if s.substitute.id != "" {
			wire.Members[i].Substitute = &substituteWire{
				string(s.substitute.id), string(s.substitute.boot), uint64(s.substitute.fencingToken),
			}
		}
	}
	return wire
}

// decodeRecord decodes the record of pool. It refuses a record that names an instance or a replica twice.
func decodeRecord(pool string, data []byte) (*record, error) {
	var wire recordWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, trace.Wrap(err)
	}
	if wire.Pool != pool {
		return nil, trace.BadParameter("record names pool %q, expected %q", wire.Pool, pool)
	}
	r := &record{pool: pool, revision: FencingToken(wire.Revision)}
	for _, e := range wire.Replicas {
		r.entries = append(r.entries, entryFromWire(e))
	}
	for _, l := range wire.Loads {
		r.loadPermits = append(r.loadPermits, loadPermit{ID(l.ID), BootID(l.Boot)})
	}
	return r, trace.Wrap(checkRecord(r))
}

func entryFromWire(wire entryWire) entry {
	e := entry{
		replica:      ReplicaID(wire.Name),
		model:        wire.Model,
		fencingToken: FencingToken(wire.FencingToken),
		draining:     wire.Draining,
		retiring:     wire.Retiring,
		slots:        make([]slot, len(wire.Members)),
	}
	for i, m := range wire.Members {
		e.slots[i] = slot{id: ID(m.ID), boot: BootID(m.Boot)}
		if m.Substitute != nil {
			e.slots[i].substitute = substitute{
				ID(m.Substitute.ID), BootID(m.Substitute.Boot), FencingToken(m.Substitute.FencingToken),
			}
		}
	}
	return e
}

func checkRecord(r *record) error {
	instances := map[ID]bool{}
	replicas := map[ReplicaID]bool{}
	for _, e := range r.entries {
		if replicas[e.replica] || e.replica == "" {
			return trace.BadParameter("replica %q has no name or is recorded twice", e.replica)
		}
		replicas[e.replica] = true
		for _, s := range e.slots {
			for _, id := range []ID{s.id, s.substitute.id} {
				if id != "" && instances[id] {
					return trace.BadParameter("instance %q is recorded twice", id)
				}
				instances[id] = true
			}
		}
	}
	return nil
}
