package replica

import (
	"encoding/json"
	"slices"

	"github.com/gravitational/trace"
)

// record is the planned set of replicas. It is persisted in the store, and orders follow it.
type record struct {
	epoch  uint64 // higher with each write
	era    uint64 // of the store, when it was written
	groups []group
}

// group is one planned replica. Its epoch is the epoch of the record that last changed its members.
type group struct {
	name    string
	model   string
	epoch   uint64
	members []member
}

// member is one incarnation of an instance.
type member struct {
	id          ID
	incarnation int64
}

func (g group) ids() []ID {
	ids := make([]ID, 0, len(g.members))
	for _, m := range g.members {
		ids = append(ids, m.id)
	}
	return ids
}

func (r record) clone() record {
	groups := slices.Clone(r.groups)
	for i := range groups {
		groups[i].members = slices.Clone(groups[i].members)
	}
	return record{r.epoch, r.era, groups}
}

// holds reports whether an instance belongs to a recorded replica.
func (r record) holds(id ID) bool {
	return slices.ContainsFunc(r.groups, func(g group) bool {
		return slices.ContainsFunc(g.members, func(m member) bool { return m.id == id })
	})
}

type recordWire struct {
	Fence  uint64      `json:"fence"`
	Era    uint64      `json:"era,omitempty"`
	Groups []groupWire `json:"groups"`
}

type groupWire struct {
	Name    string       `json:"name"`
	Model   string       `json:"model"`
	Epoch   uint64       `json:"epoch"`
	Members []memberWire `json:"members"`
}

type memberWire struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

func (r record) encode() ([]byte, error) {
	wire := recordWire{Fence: r.epoch, Era: r.era, Groups: []groupWire{}}
	for _, g := range r.groups {
		one := groupWire{g.name, g.model, g.epoch, nil}
		for _, m := range g.members {
			one.Members = append(one.Members, memberWire{string(m.id), m.incarnation})
		}
		wire.Groups = append(wire.Groups, one)
	}
	data, err := json.Marshal(wire)
	return data, trace.Wrap(err)
}

// decodeRecord decodes a record without its replicas that have no members. Empty data is an empty record.
func decodeRecord(data []byte) (record, error) {
	if len(data) == 0 {
		return record{}, nil
	}
	var wire recordWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return record{}, trace.BadParameter("decode replica record: %v", err)
	}
	r := record{epoch: wire.Fence, era: wire.Era}
	for _, one := range wire.Groups {
		g := group{name: one.Name, model: one.Model, epoch: one.Epoch}
		for _, m := range one.Members {
			g.members = append(g.members, member{ID(m.ID), m.Born})
		}
		if len(g.members) > 0 {
			r.groups = append(r.groups, g)
		}
	}
	return r, nil
}
