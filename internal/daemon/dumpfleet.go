package daemon

import (
	"time"

	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/reducer"
)

type wireOperator struct {
	Revision uint64       `json:"revision"`
	Teams    []string     `json:"teams"`
	Actions  []string     `json:"actions"`
	History  []wireChange `json:"history"`
}

type wireChange struct {
	Revision uint64    `json:"revision"`
	Team     string    `json:"team"`
	Who      string    `json:"who"`
	At       time.Time `json:"at"`
}

func dumpOperator(state *reducer.State) any {
	fleet := state.Fleet()
	wire := wireOperator{
		Revision: uint64(fleet.Revision()),
		Teams:    []string{},
		Actions:  []string{},
		History:  []wireChange{},
	}
	for _, config := range fleet.Configs() {
		wire.Teams = append(wire.Teams, config.Team())
	}
	for _, action := range fleet.Actions() {
		wire.Actions = append(wire.Actions, action.String())
	}
	for _, c := range state.History() {
		wire.History = append(wire.History, wireChange{uint64(c.Revision()), c.Team(), c.Author(), c.AcceptedAt()})
	}
	return wire
}

type wirePeer struct {
	Settled  bool              `json:"settled"`
	Members  []wireDaemon      `json:"members"`
	Evidence []wireEvidence    `json:"evidence"`
	Refused  map[string]uint64 `json:"refused"`
}

type wireDaemon struct {
	Name        string  `json:"name"`
	Caller      string  `json:"caller"`
	Centre      string  `json:"centre"`
	Incarnation uint64  `json:"incarnation"`
	Leaving     bool    `json:"leaving"`
	Revision    uint64  `json:"revision"`
	Age         float64 `json:"age"`
}

type wireEvidence struct {
	Upstream string  `json:"upstream"`
	Watcher  string  `json:"watcher"`
	Alive    bool    `json:"alive"`
	Fresh    bool    `json:"fresh"`
	Age      float64 `json:"age"`
}

func dumpPeer(state *reducer.State) any {
	refusals := state.PeerCounters()
	wire := wirePeer{
		Settled:  state.Synced(),
		Members:  []wireDaemon{},
		Evidence: []wireEvidence{},
		Refused: map[string]uint64{
			"foreign":   refusals.WrongSender(),
			"replayed":  refusals.Replayed(),
			"late":      refusals.Late(),
			"stale":     refusals.Stale(),
			"surplus":   refusals.OverLimit(),
			"ambiguous": refusals.HandleCollisions(),
			"frozen":    refusals.Freezes(),
		},
	}
	reported := map[string]peer.MemberRevision{}
	for _, lag := range state.MemberRevisions() {
		reported[lag.Name()] = lag
	}
	for _, m := range state.Members() {
		last := reported[m.Name()]
		wire.Members = append(wire.Members, wireDaemon{
			m.Name(), m.CallerAddress(), m.Centre(), m.Incarnation(), m.Leaving(), last.Revision(), last.Age().Seconds(),
		})
	}
	for _, e := range state.Evidence() {
		wire.Evidence = append(wire.Evidence,
			wireEvidence{e.Upstream(), e.Watcher(), e.Alive(), e.Fresh(), e.Age().Seconds()})
	}
	return wire
}
