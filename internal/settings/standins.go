package settings

import (
	"net/netip"

	"github.com/azurepond/azurepond/pkg/yaml"
)

// StandIns are the settings of the stand-ins that one process runs.
type StandIns struct {
	platform netip.AddrPort
	engines  []Engine
	services []Service
}

// Platform returns the listen address of the stand-in for the object API and the instance list.
func (s StandIns) Platform() netip.AddrPort { return s.platform }

// Engines returns the stand-ins for model engines, one for each instance.
func (s StandIns) Engines() []Engine { return s.engines }

// Services returns the stand-ins for processes of plain services.
func (s StandIns) Services() []Service { return s.services }

// Engine is a stand-in for a model engine.
type Engine struct {
	name            string
	address         netip.AddrPort
	pool            string
	domain          string
	centre          string
	accelerators    int
	enforcesFencing bool
}

// Name returns the name of the instance.
func (e Engine) Name() string { return e.name }

// Address returns the address that the engine listens on.
func (e Engine) Address() netip.AddrPort { return e.address }

// Pool returns the pool that the instance belongs to.
func (e Engine) Pool() string { return e.pool }

// Domain returns the fabric domain of the instance.
func (e Engine) Domain() string { return e.domain }

// Centre returns the data centre of the instance.
func (e Engine) Centre() string { return e.centre }

// Accelerators returns the number of accelerators of the instance.
func (e Engine) Accelerators() int { return e.accelerators }

// EnforcesFencing reports whether the engine refuses orders with an outdated fencing token.
func (e Engine) EnforcesFencing() bool { return e.enforcesFencing }

// Service is a stand-in for a process of a plain service.
type Service struct {
	name    string
	address netip.AddrPort
	centre  string
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Address returns the address that the process listens on.
func (s Service) Address() netip.AddrPort { return s.address }

// Centre returns the data centre of the process.
func (s Service) Centre() string { return s.centre }

// The default and the maximum number of accelerators of an engine.
const (
	defaultAccelerators = 8
	maxAccelerators     = 64
)

// LoadStandIns reads the settings file of the stand-ins at path.
func LoadStandIns(path string) (StandIns, error) {
	data, err := ReadFile(path)
	if err != nil {
		return StandIns{}, err
	}
	return ParseStandIns(path, data)
}

// ParseStandIns reads the settings of the stand-ins from data (YAML); the error is a yaml.Mistakes with all mistakes.
func ParseStandIns(path string, data []byte) (StandIns, error) {
	document, root := yaml.Parse(path, data)
	s := readStandIns(root)
	if err := document.Err(); err != nil {
		return StandIns{}, err
	}
	return s, nil
}

func readStandIns(s *yaml.Section) StandIns {
	s.Require("platform", "127.0.0.1:9000")
	standIns := StandIns{platform: s.Address("platform")}
	for _, section := range s.Sections("engines") {
		standIns.engines = append(standIns.engines, readEngine(section))
	}
	for _, section := range s.Sections("services") {
		section.Require("address", "127.0.0.1:9301")
		standIns.services = append(standIns.services, Service{
			name:    section.Name("name", "tickets"),
			address: section.Address("address"),
			centre:  section.Name("centre", "centre-a"),
		})
	}
	return standIns
}

func readEngine(s *yaml.Section) Engine {
	s.Require("address", "127.0.0.1:9201")
	return Engine{
		name:            s.Name("name", "worker-1"),
		address:         s.Address("address"),
		pool:            s.Name("pool", "main"),
		domain:          s.Name("domain", "rack-1"),
		centre:          s.Name("centre", "centre-a"),
		accelerators:    int(s.Int("accelerators", defaultAccelerators, 1, maxAccelerators)),
		enforcesFencing: s.Bool("fencing", true),
	}
}
