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
	Revision   uint64    `json:"revision"`
	Team       string    `json:"team"`
	Author     string    `json:"who"`
	AcceptedAt time.Time `json:"at"`
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
	Synced   bool              `json:"settled"`
	Members  []wireDaemon      `json:"members"`
	Evidence []wireEvidence    `json:"evidence"`
	Counters map[string]uint64 `json:"refused"`
}

type wireDaemon struct {
	Name          string  `json:"name"`
	CallerAddress string  `json:"caller"`
	Centre        string  `json:"centre"`
	Incarnation   uint64  `json:"incarnation"`
	Leaving       bool    `json:"leaving"`
	Revision      uint64  `json:"revision"`
	Age           float64 `json:"age"`
}

type wireEvidence struct {
	Upstream string  `json:"upstream"`
	Watcher  string  `json:"watcher"`
	Alive    bool    `json:"alive"`
	Fresh    bool    `json:"fresh"`
	Age      float64 `json:"age"`
}

func dumpPeer(state *reducer.State) any {
	counters := state.PeerCounters()
	wire := wirePeer{
		Synced:   state.Synced(),
		Members:  []wireDaemon{},
		Evidence: []wireEvidence{},
		Counters: map[string]uint64{
			"foreign":   counters.WrongSender(),
			"replayed":  counters.Replayed(),
			"late":      counters.Late(),
			"stale":     counters.Stale(),
			"surplus":   counters.OverLimit(),
			"ambiguous": counters.HandleCollisions(),
			"frozen":    counters.Freezes(),
		},
	}
	revisions := map[string]peer.MemberRevision{}
	for _, reported := range state.MemberRevisions() {
		revisions[reported.Name()] = reported
	}
	for _, m := range state.Members() {
		last := revisions[m.Name()]
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
