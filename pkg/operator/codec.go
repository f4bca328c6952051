package operator

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

type wireRecord struct {
	wireFleet
	History []wireChange `json:"history,omitempty"`
}

type wireFleet struct {
	Revision uint64              `json:"revision"`
	Teams    []wireConfig        `json:"teams"`
	Plans    []wirePlannedAction `json:"plans,omitempty"`
}

type wirePlannedAction struct {
	wireAction
	Team string    `json:"team"`
	Who  string    `json:"who"`
	At   time.Time `json:"at"`
}

type wireAction struct {
	Verb   string `json:"verb"`
	Kind   string `json:"kind"`
	Target string `json:"target"`
}

type wireChange struct {
	Revision uint64      `json:"revision"`
	Base     uint64      `json:"base"`
	Team     string      `json:"team"`
	Who      string      `json:"who"`
	Request  string      `json:"request"`
	At       time.Time   `json:"at"`
	Config   *wireConfig `json:"config,omitempty"`
	Action   *wireAction `json:"action,omitempty"`
}

// JSON returns the fleet's configuration in the format that peers exchange. ParseFleet reads it.
func (f Fleet) JSON() []byte { return mustJSON(toWireFleet(f)) }

// ParseFleet reads the output of Fleet.JSON. It ignores unknown fields, which later versions may add.
func ParseFleet(data []byte) (Fleet, error) {
	var wire wireFleet
	if err := json.Unmarshal(data, &wire); err != nil {
		return Fleet{}, trace.BadParameter("configuration: %v", err)
	}
	return fromWireFleet(wire)
}

// MarshalChanges returns changes as a JSON array. ParseChanges reads it.
func MarshalChanges(changes []Change) []byte {
	wire := make([]wireChange, 0, len(changes))
	for _, change := range changes {
		wire = append(wire, toWireChange(change))
	}
	return mustJSON(wire)
}

// ParseChanges reads the output of MarshalChanges.
func ParseChanges(data []byte) ([]Change, error) {
	var wire []wireChange
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, trace.BadParameter("history: %v", err)
	}
	return fromWireChanges(wire)
}

func (r record) json() []byte {
	wire := wireRecord{wireFleet: toWireFleet(r.fleet)}
	for _, change := range r.history {
		wire.History = append(wire.History, toWireChange(change))
	}
	return mustJSON(wire)
}

func parseRecord(data []byte) (record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return record{}, trace.BadParameter("configuration: %v", err)
	}
	fleet, err := fromWireFleet(wire.wireFleet)
	if err != nil {
		return record{}, trace.Wrap(err)
	}
	history, err := fromWireChanges(wire.History)
	return record{fleet, history}, trace.Wrap(err)
}

func toWireFleet(f Fleet) wireFleet {
	wire := wireFleet{Revision: uint64(f.revision), Teams: []wireConfig{}}
	for _, c := range f.configs {
		wire.Teams = append(wire.Teams, toWireConfig(c))
	}
	for _, p := range f.plannedActions {
		wire.Plans = append(wire.Plans, wirePlannedAction{toWireAction(p.action), p.team, p.author, p.acceptedAt})
	}
	return wire
}

func fromWireFleet(wire wireFleet) (Fleet, error) {
	var configs []Config
	for _, w := range wire.Teams {
		c, err := fromWireConfig(w)
		if err != nil {
			return Fleet{}, trace.Wrap(err)
		}
		configs = append(configs, c)
	}
	fleet := NewFleet(Revision(wire.Revision), configs...)
	for _, p := range wire.Plans {
		fleet.plannedActions = append(fleet.plannedActions, plannedAction{fromWireAction(p.wireAction), p.Team, p.Who, p.At})
	}
	return fleet, nil
}

func toWireAction(a Action) wireAction { return wireAction{string(a.verb), string(a.kind), a.target} }

func fromWireAction(w wireAction) Action { return NewAction(Verb(w.Verb), Kind(w.Kind), w.Target) }

func toWireChange(c Change) wireChange {
	wire := wireChange{
		Revision: uint64(c.revision), Base: uint64(c.base), Team: c.team, Who: c.author,
		Request: string(c.request), At: c.acceptedAt,
	}
	if c.IsAction() {
		action := toWireAction(c.action)
		wire.Action = &action
		return wire
	}
	config := toWireConfig(c.config)
	wire.Config = &config
	return wire
}

func fromWireChanges(wire []wireChange) ([]Change, error) {
	var changes []Change
	for _, w := range wire {
		change := Change{
			revision: Revision(w.Revision), base: Revision(w.Base), team: w.Team, author: w.Who,
			request: RequestID(w.Request), acceptedAt: w.At,
		}
		if w.Action != nil {
			change.action = fromWireAction(*w.Action)
		}
		if w.Config != nil {
			config, err := fromWireConfig(*w.Config)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			change.config = config
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func fromWireConfig(w wireConfig) (Config, error) {
	firstToken, err := time.ParseDuration(w.Deadlines.First)
	if err != nil {
		return Config{}, trace.BadParameter("configuration of %s: %v", w.Team, err)
	}
	total, err := time.ParseDuration(w.Deadlines.Whole)
	if err != nil {
		return Config{}, trace.BadParameter("configuration of %s: %v", w.Team, err)
	}
	c := Config{
		team:        w.Team,
		revision:    Revision(w.Revision),
		costWeights: CostWeights{w.Weights.Downtime, w.Weights.Stranding},
		deadlines:   Deadlines{firstToken, total},
		limits:      Limits{w.Limits.Queue, w.Limits.Body},
	}
	for _, m := range w.Models {
		c.models = append(c.models, Model{m.Name, m.Pool, m.Span, m.Accelerators, m.Bytes, m.Replicas, m.Fencing})
	}
	for _, s := range w.Services {
		service, err := fromWireService(s)
		if err != nil {
			return Config{}, trace.Wrap(err)
		}
		c.services = append(c.services, service)
	}
	for _, o := range w.Organisations {
		c.organisations = append(c.organisations, Organisation{o.Name, o.Share, o.Targets, Hash(o.Key), o.Priority, o.Flight})
	}
	return c, nil
}

func fromWireService(w wireService) (Service, error) {
	service := Service{name: w.Name, outage: OutagePolicy(w.Outage)}
	for _, u := range w.Upstreams {
		address, err := netip.ParseAddrPort(u.Address)
		if err != nil {
			return Service{}, trace.BadParameter("service %s: %v", w.Name, err)
		}
		service.upstreams = append(service.upstreams, Upstream{address, u.Centre})
	}
	for _, text := range w.Once {
		pattern, ok := parseRequestPattern(text)
		if !ok {
			return Service{}, trace.BadParameter("service %s: %q is no method with a path", w.Name, text)
		}
		service.nonIdempotent = append(service.nonIdempotent, pattern)
	}
	return service, nil
}

// ParseConfigJSON reads the output of Config.JSON. It ignores unknown fields, which later versions may add.
func ParseConfigJSON(data []byte) (Config, error) {
	var wire wireConfig
	if err := json.Unmarshal(data, &wire); err != nil {
		return Config{}, trace.BadParameter("configuration: %v", err)
	}
	return fromWireConfig(wire)
}
