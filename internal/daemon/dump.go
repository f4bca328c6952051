package daemon

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// dumpFuncs are the dumps of the parts of the state, by name.
var dumpFuncs = map[string]func(*reducer.State) any{
	"caller":   dumpCaller,
	"engine":   dumpEngine,
	"instance": dumpInstance,
	"operator": dumpOperator,
	"peer":     dumpPeer,
}

// Dump returns one part of the daemon's state, or all parts if part is empty, as a value to encode as JSON.
func (d *Daemon) Dump(part string) (any, error) {
	if _, isKnown := dumpFuncs[part]; part != "" && !isKnown {
		return nil, trace.NotFound("no part %q: there are caller, engine, instance, operator and peer", part)
	}
	all := map[string]any{}
	err := d.loop.runAndWait(d.work, func(_ time.Time, state *reducer.State) {
		for name, dump := range dumpFuncs {
			if part == "" || part == name {
				all[name] = dump(state)
			}
		}
	})
	return all, err
}

type wireCaller struct {
	Calls    int          `json:"calls"`
	Peers    int          `json:"peers"`
	Stopping bool         `json:"stopping"`
	Stopped  bool         `json:"stopped"`
	Targets  []wireTarget `json:"targets"`
}

type wireTarget struct {
	Name          string             `json:"name"`
	Slots         int                `json:"slots"`
	Allocated     int                `json:"held"`
	Running       int                `json:"running"`
	Waiting       int                `json:"waiting"`
	Organisations []wireOrganisation `json:"organisations"`
}

type wireOrganisation struct {
	Name    string  `json:"name"`
	Slots   float64 `json:"part"`
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
}

func dumpCaller(state *reducer.State) any {
	view := state.CallerView()
	wire := wireCaller{
		Calls:    view.Calls(),
		Peers:    view.Peers(),
		Stopping: view.Stopping(),
		Stopped:  view.Stopped(),
		Targets:  []wireTarget{},
	}
	for _, t := range view.Targets() {
		target := wireTarget{
			Name: t.Name(), Slots: t.Slots(), Allocated: t.Allocated(), Running: t.Running(), Waiting: t.Waiting(),
		}
		for _, o := range t.Organisations() {
			target.Organisations = append(target.Organisations,
				wireOrganisation{o.Name(), o.Slots(), o.Running(), o.Waiting()})
		}
		wire.Targets = append(wire.Targets, target)
	}
	return wire
}

type wireEngine struct {
	Calls      int                 `json:"calls"`
	Attempts   int                 `json:"attempts"`
	Held       int                 `json:"held"`
	Retries    map[string]float64  `json:"retries"`
	Replicas   []wireEngineReplica `json:"replicas"`
	Suspicions []wireSuspicion     `json:"suspicions"`
}

type wireEngineReplica struct {
	Replica  string  `json:"replica"`
	Running  int     `json:"running"`
	Slowness float64 `json:"slowness"`
	Drained  bool    `json:"drained"`
}

type wireSuspicion struct {
	Fingerprint     uint64   `json:"fingerprint"`
	Verdict         uint8    `json:"verdict"`
	CrashedReplicas []string `json:"crashes"`
	Owner           string   `json:"owner"`
}

func dumpEngine(state *reducer.State) any {
	view := state.EngineView()
	wire := wireEngine{
		Calls:      view.Calls(),
		Attempts:   view.Attempts(),
		Held:       view.Held(),
		Retries:    view.RetriesSpent(),
		Replicas:   []wireEngineReplica{},
		Suspicions: []wireSuspicion{},
	}
	for _, r := range view.Replicas() {
		wire.Replicas = append(wire.Replicas, wireEngineReplica{string(r.Replica()), r.Running(), r.Slowness(), r.Draining()})
	}
	for _, s := range view.Suspicions() {
		wire.Suspicions = append(wire.Suspicions,
			wireSuspicion{s.Fingerprint(), uint8(s.Verdict()), replicaNames(s.CrashedReplicas()), s.Owner()})
	}
	return wire
}

func replicaNames(replicas []instance.ReplicaID) []string {
	names := []string{}
	for _, replica := range replicas {
		names = append(names, string(replica))
	}
	return names
}

type wirePool struct {
	Name           string        `json:"name"`
	Revision       uint64        `json:"revision"`
	Holder         string        `json:"holder"`
	Leading        bool          `json:"leading"`
	RecordReadable bool          `json:"readable"`
	MaxLoads       int           `json:"slots"`
	Loading        int           `json:"loading"`
	Spares         int           `json:"spares"`
	Replicas       []wireReplica `json:"replicas"`
}

type wireReplica struct {
	Name         string       `json:"name"`
	Model        string       `json:"model"`
	FencingToken uint64       `json:"fence"`
	Available    bool         `json:"whole"`
	Reason       string       `json:"reason"`
	Draining     bool         `json:"draining"`
	Members      []wireMember `json:"members"`
}

type wireMember struct {
	ID         string  `json:"id"`
	Substitute string  `json:"substitute,omitempty"`
	Cause      string  `json:"cause"`
	Running    int     `json:"running"`
	ProbeAge   float64 `json:"silence"`
}

func dumpInstance(state *reducer.State) any {
	pools := []wirePool{}
	for _, p := range state.Pools() {
		pool := wirePool{
			Name:           p.Name(),
			Revision:       p.Revision(),
			Holder:         p.Holder(),
			Leading:        p.Leading(),
			RecordReadable: p.RecordReadable(),
			MaxLoads:       p.MaxLoads(),
			Loading:        p.Loading(),
			Spares:         p.Spares(),
			Replicas:       []wireReplica{},
		}
		for _, r := range p.Replicas() {
			pool.Replicas = append(pool.Replicas, dumpReplica(r))
		}
		pools = append(pools, pool)
	}
	return pools
}

func dumpReplica(r instance.ReplicaStatus) wireReplica {
	replica := wireReplica{
		Name:         string(r.Replica()),
		Model:        r.Model(),
		FencingToken: uint64(r.FencingToken()),
		Available:    r.Available(),
		Reason:       r.Reason().String(),
		Draining:     r.Draining(),
	}
	for _, m := range r.Members() {
		replica.Members = append(replica.Members, wireMember{
			string(m.ID()), string(m.Substitute()), m.Cause().String(), m.Load().Running(), m.ProbeAge().Seconds(),
		})
	}
	return replica
}
