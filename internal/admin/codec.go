package admin

import (
	"encoding/json"
	"time"

	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/yaml"
	"github.com/gravitational/trace"
)

type wireStatus struct {
	Entry     string         `json:"entry"`
	Revision  uint64         `json:"revision"`
	Replicas  []wireReplica  `json:"replicas"`
	Upstreams []wireUpstream `json:"upstreams"`
	Entries   []wireEntry    `json:"entries"`
	Models    []wireModel    `json:"models"`
}

type wireReplica struct {
	Name      string   `json:"name"`
	Model     string   `json:"model"`
	State     string   `json:"state"`
	Reason    string   `json:"reason,omitempty"`
	Running   int      `json:"running"`
	Instances []string `json:"instances"`
}

type wireUpstream struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Centre  string `json:"centre"`
	State   string `json:"state"`
	Running int    `json:"running"`
}

type wireEntry struct {
	Name     string `json:"name"`
	Centre   string `json:"centre"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Running  int    `json:"running"`
}

type wireModel struct {
	Name      string  `json:"name"`
	Wanted    int     `json:"wanted"`
	Whole     int     `json:"whole"`
	Downtime  float64 `json:"downtime"`
	Stranding float64 `json:"stranding"`
}

// JSON returns the status as the API encodes it. Downtime and stranded time are in seconds.
func (s Status) JSON() []byte {
	w := wireStatus{
		s.entry, uint64(s.revision),
		[]wireReplica{},
		[]wireUpstream{},
		[]wireEntry{},
		[]wireModel{},
	}
	for _, r := range s.replicas {
		w.Replicas = append(w.Replicas, wireReplica{
			r.name, r.model, string(r.state), r.reason, r.activeRequests, r.instances,
		})
	}
	for _, u := range s.upstreams {
		w.Upstreams = append(w.Upstreams, wireUpstream{u.service, u.address, u.centre, string(u.state), u.activeRequests})
	}
	for _, e := range s.entries {
		w.Entries = append(w.Entries, wireEntry{e.name, e.centre, string(e.state), uint64(e.revision), e.activeCalls})
	}
	for _, m := range s.models {
		w.Models = append(w.Models, wireModel{
			m.name, m.wantedReplicas, m.availableReplicas, m.downtime.Seconds(), m.strandedTime.Seconds(),
		})
	}
	return mustJSON(w)
}

// ParseStatus parses the output of Status.JSON.
func ParseStatus(data []byte) (Status, error) {
	var w wireStatus
	if err := json.Unmarshal(data, &w); err != nil {
		return Status{}, trace.BadParameter("status: %v", err)
	}
	s := Status{entry: w.Entry, revision: operator.Revision(w.Revision)}
	for _, r := range w.Replicas {
		s.replicas = append(s.replicas, Replica{r.Name, r.Model, State(r.State), r.Reason, r.Running, r.Instances})
	}
	for _, u := range w.Upstreams {
		s.upstreams = append(s.upstreams, Upstream{u.Service, u.Address, u.Centre, State(u.State), u.Running})
	}
	for _, e := range w.Entries {
		s.entries = append(s.entries, Entry{e.Name, e.Centre, State(e.State), operator.Revision(e.Revision), e.Running})
	}
	for _, m := range w.Models {
		s.models = append(s.models, Model{m.Name, m.Wanted, m.Whole, fromSeconds(m.Downtime), fromSeconds(m.Stranding)})
	}
	return s, nil
}

func fromSeconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are plain structs, maps and slices, which always encode
	}
	return data
}

// The names of the outcomes in the API.
const (
	outcomeAccepted   = "accepted"
	outcomeConflict   = "conflict"
	outcomeRefused    = "refused"
	outcomeUnknown    = "unknown"
	outcomeReadResult = "told"
)

type wireOutcome struct {
	Outcome  string          `json:"outcome"`
	Revision uint64          `json:"revision,omitempty"`
	Base     json.RawMessage `json:"base,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Mistakes []wireMistake   `json:"mistakes,omitempty"`
	Current  json.RawMessage `json:"current,omitempty"`
	Changes  json.RawMessage `json:"changes,omitempty"`
}

type wireMistake struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy,omitempty"`
}

// MarshalOutcome returns outcome as the API encodes it.
func MarshalOutcome(outcome operator.Outcome) []byte {
	switch o := outcome.(type) {
	case operator.Accepted:
		return mustJSON(wireOutcome{Outcome: outcomeAccepted, Revision: uint64(o.Revision())})
	case operator.Conflict:
		return mustJSON(wireOutcome{
			Outcome: outcomeConflict, Base: o.Base().JSON(), Revision: uint64(o.Current().Revision()),
			Current: o.Current().JSON(), Changes: operator.MarshalChanges(o.Changes()),
		})
	case operator.Refused:
		return mustJSON(wireOutcome{Outcome: outcomeRefused, Mistakes: toWireMistakes(o.Mistakes())})
	case operator.ReadResult:
		return mustJSON(wireOutcome{
			Outcome: outcomeReadResult, Revision: uint64(o.Current().Revision()),
			Current: o.Current().JSON(), Changes: operator.MarshalChanges(o.Changes()),
		})
	case operator.Unknown:
		return mustJSON(wireOutcome{Outcome: outcomeUnknown, Reason: o.Reason()})
	}
	return mustJSON(wireOutcome{Outcome: outcomeUnknown, Reason: "no outcome"})
}

// ParseOutcome parses the output of MarshalOutcome.
func ParseOutcome(data []byte) (operator.Outcome, error) {
	var w wireOutcome
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, trace.BadParameter("answer: %v", err)
	}
	switch w.Outcome {
	case outcomeAccepted:
		return operator.NewAccepted(operator.Revision(w.Revision)), nil
	case outcomeRefused:
		return operator.NewRefused(fromWireMistakes(w.Mistakes)), nil
	case outcomeUnknown:
		return operator.NewUnknown(w.Reason), nil
	case outcomeConflict, outcomeReadResult:
		return parseStoredOutcome(w)
	}
	return nil, trace.BadParameter("answer: %q is no outcome", w.Outcome)
}

// parseStoredOutcome parses an outcome that carries the stored configuration and its changes.
func parseStoredOutcome(w wireOutcome) (operator.Outcome, error) {
	changes, err := operator.ParseChanges(w.Changes)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	current, err := operator.ParseConfigJSON(w.Current)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if w.Outcome == outcomeReadResult {
		return operator.NewReadResult(current, changes), nil
	}
	base, err := operator.ParseConfigJSON(w.Base)
	return operator.NewConflict(base, current, changes), trace.Wrap(err)
}

func toWireMistakes(mistakes []yaml.Mistake) []wireMistake {
	wire := make([]wireMistake, 0, len(mistakes))
	for _, m := range mistakes {
		wire = append(wire, wireMistake{m.File(), m.Line(), m.Field(), m.Problem(), m.Remedy()})
	}
	return wire
}

func fromWireMistakes(wire []wireMistake) []yaml.Mistake {
	mistakes := make([]yaml.Mistake, 0, len(wire))
	for _, w := range wire {
		mistakes = append(mistakes, yaml.NewMistake(w.File, w.Line, w.Field, w.Problem, w.Remedy))
	}
	return mistakes
}
