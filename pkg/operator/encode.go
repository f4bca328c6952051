package operator

import (
	"bytes"
	"encoding/json"

	lib "go.yaml.in/yaml/v3"
)

// yamlIndent is the indentation of written YAML, in spaces.
const yamlIndent = 2

type wireConfig struct {
	Team          string             `json:"team" yaml:"team"`
	Revision      uint64             `json:"revision,omitempty" yaml:"revision,omitempty"`
	Models        []wireModel        `json:"models,omitempty" yaml:"models,omitempty"`
	Services      []wireService      `json:"services,omitempty" yaml:"services,omitempty"`
	Organisations []wireOrganisation `json:"organisations,omitempty" yaml:"organisations,omitempty"`
	Weights       wireWeights        `json:"weights" yaml:"weights"`
	Deadlines     wireDeadlines      `json:"deadlines" yaml:"deadlines"`
	Limits        wireLimits         `json:"limits" yaml:"limits"`
}

type wireModel struct {
	Name         string `json:"name" yaml:"name"`
	Pool         string `json:"pool" yaml:"pool"`
	Span         int    `json:"span" yaml:"span"`
	Accelerators int    `json:"accelerators" yaml:"accelerators"`
	Bytes        int64  `json:"bytes" yaml:"bytes"`
	Replicas     int    `json:"replicas" yaml:"replicas"`
	Fencing      bool   `json:"fencing" yaml:"fencing"`
}

type wireService struct {
	Name      string         `json:"name" yaml:"name"`
	Upstreams []wireUpstream `json:"upstreams" yaml:"upstreams"`
	Once      []string       `json:"once,omitempty" yaml:"once,omitempty"`
	Outage    string         `json:"outage" yaml:"outage"`
}

type wireUpstream struct {
	Address string `json:"address" yaml:"address"`
	Centre  string `json:"centre" yaml:"centre"`
}

type wireOrganisation struct {
	Name     string   `json:"name" yaml:"name"`
	Share    int      `json:"share" yaml:"share"`
	Targets  []string `json:"targets" yaml:"targets,flow"`
	Key      string   `json:"key" yaml:"key"`
	Priority int      `json:"priority" yaml:"priority"`
	Flight   int      `json:"flight" yaml:"flight"`
}

type wireWeights struct {
	Downtime  int `json:"downtime" yaml:"downtime"`
	Stranding int `json:"stranding" yaml:"stranding"`
}

type wireDeadlines struct {
	First string `json:"first" yaml:"first"`
	Whole string `json:"whole" yaml:"whole"`
}

type wireLimits struct {
	Queue int `json:"queue" yaml:"queue"`
	Body  int `json:"body" yaml:"body"`
}

// YAML returns the configuration in the format that operators edit.
func (c Config) YAML() []byte {
	var text bytes.Buffer
	encoder := lib.NewEncoder(&text)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(toWireConfig(c)); err != nil {
		panic(err) // structs of plain values always encode
	}
	return text.Bytes()
}

// JSON returns the configuration in the stored format. ParseConfig reads it as well.
func (c Config) JSON() []byte { return mustJSON(toWireConfig(c)) }

func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // structs of plain values always encode
	}
	return data
}

func toWireConfig(c Config) wireConfig {
	w := wireConfig{
		Team:      c.team,
		Revision:  uint64(c.revision),
		Weights:   wireWeights{c.costWeights.downtime, c.costWeights.stranding},
		Deadlines: wireDeadlines{c.deadlines.firstToken.String(), c.deadlines.total.String()},
		Limits:    wireLimits{c.limits.maxQueuedCalls, c.limits.maxBodyBytes},
	}
	for _, m := range c.models {
		w.Models = append(w.Models,
			wireModel{m.name, m.pool, m.span, m.accelerators, m.bytesPerInstance, m.replicas, m.fencing})
	}
	for _, s := range c.services {
		w.Services = append(w.Services, toWireService(s))
	}
	for _, o := range c.organisations {
		w.Organisations = append(w.Organisations,
			wireOrganisation{o.name, o.share, o.targets, string(o.key), o.priority, o.maxInFlight})
	}
	return w
}

func toWireService(s Service) wireService {
	w := wireService{Name: s.name, Outage: string(s.outage), Upstreams: []wireUpstream{}}
	for _, u := range s.upstreams {
		w.Upstreams = append(w.Upstreams, wireUpstream{u.address.String(), u.centre})
	}
	for _, m := range s.nonIdempotent {
		w.Once = append(w.Once, m.String())
	}
	return w
}
