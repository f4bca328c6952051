package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/yaml"
	"github.com/gravitational/trace"
)

// The defaults of Timings.
const (
	defaultTickInterval      = 100 * time.Millisecond
	defaultHeartbeatInterval = 250 * time.Millisecond
	defaultProbeInterval     = 500 * time.Millisecond
	defaultListInterval      = time.Second
	defaultRequestTimeout    = 2 * time.Second
	defaultGracePeriod       = time.Minute
)

// The defaults and the maximum of the weight store's rates, in bytes per second.
const (
	defaultTotalRate    = 10 << 30
	defaultInstanceRate = 1 << 30
	maxRate             = 1 << 50
)

// The limits of each value of Timings.
const (
	minTiming = 10 * time.Millisecond
	maxTiming = time.Hour
)

const maxVerbosity = 9

// Load reads the settings file of one daemon at path.
func Load(path string) (Settings, error) {
	data, err := ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, data)
}

// Parse reads the settings of one daemon from data (YAML); the error is a yaml.Mistakes with all mistakes.
func Parse(path string, data []byte) (Settings, error) {
	document, root := yaml.Parse(path, data)
	s := readSettings(root)
	if err := document.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// ReadFile returns the content of the file at path; the error of a missing file says what is required.
func ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, trace.NotFound("%s: does not exist; give the path of a file in YAML", path)
	}
	if err != nil {
		return nil, trace.BadParameter("%s: can't be read: %v", path, err)
	}
	return data, nil
}

func readSettings(s *yaml.Section) Settings {
	s.Require("listeners", "{caller: 127.0.0.1:9100, peer: 127.0.0.1:9101, operator: 127.0.0.1:9102}")
	s.Require("platform", "127.0.0.1:9000")
	listeners := readListeners(s.Section("listeners"))
	settings := Settings{
		name:        s.Name("name", "entry-1"),
		centre:      s.Name("centre", "centre-a"),
		region:      s.Name("region", "region-a"),
		listeners:   listeners,
		advertised:  readAdvertised(s.Section("advertised"), listeners),
		seeds:       s.Addresses("seeds"),
		platform:    s.Address("platform"),
		tls:         readTLS(s),
		https:       readHTTPS(s),
		verbosity:   int(s.Int("verbosity", 0, 0, maxVerbosity)),
		timings:     readTimings(s.Section("timings")),
		weightStore: readWeightStore(s.Section("weights")),
	}
	for _, section := range s.Sections("tokens") {
		settings.tokens = append(settings.tokens, readToken(section))
	}
	return settings
}

func readListeners(s *yaml.Section) Listeners {
	s.Require("caller", "127.0.0.1:9100")
	s.Require("peer", "127.0.0.1:9101")
	s.Require("operator", "127.0.0.1:9102")
	l := Listeners{caller: s.Address("caller"), peer: s.Address("peer"), operator: s.Address("operator")}
	rejectSameAddress(s, "peer", l.peer, l.caller)
	rejectSameAddress(s, "operator", l.operator, l.caller)
	rejectSameAddress(s, "operator", l.operator, l.peer)
	return l
}

func rejectSameAddress(s *yaml.Section, name string, a, b netip.AddrPort) {
	if a.IsValid() && a == b && a.Port() != 0 {
		s.Reject(name, fmt.Sprintf("%v is used by another listener", a), "give each listener a port of its own")
	}
}

func readAdvertised(s *yaml.Section, listeners Listeners) Listeners {
	for _, field := range []struct {
		name   string
		target *netip.AddrPort
	}{
		{"caller", &listeners.caller},
		{"peer", &listeners.peer},
		{"operator", &listeners.operator},
	} {
		if address := s.Address(field.name); address.IsValid() {
			*field.target = address
		}
	}
	return listeners
}

func readTLS(s *yaml.Section) TLS {
	if !s.Has("tls") {
		return TLS{}
	}
	section := s.Section("tls")
	section.Require("certificate", "peer.crt")
	section.Require("key", "peer.key")
	section.Require("authority", "peers.crt")
	return TLS{
		certificate: section.Text("certificate", ""),
		key:         section.Text("key", ""),
		authority:   section.Text("authority", ""),
	}
}

func readHTTPS(s *yaml.Section) TLS {
	if !s.Has("https") {
		return TLS{}
	}
	section := s.Section("https")
	section.Require("certificate", "operators.crt")
	section.Require("key", "operators.key")
	return TLS{certificate: section.Text("certificate", ""), key: section.Text("key", "")}
}

func readToken(s *yaml.Section) Token {
	s.Require("hash", string(operator.NewHash("secret")))
	token := Token{
		name: s.Name("name", "maria"),
		team: s.Name("team", "my-team"),
		hash: operator.Hash(s.Text("hash", "")),
	}
	if token.hash != "" && !token.hash.Valid() {
		s.Reject("hash", "is no SHA-256 in hexadecimal", `write the hash that "azurepond token" prints, never the token`)
	}
	return token
}

func readWeightStore(s *yaml.Section) WeightStore {
	return WeightStore{
		maxTotalRate:    s.Int("rate", defaultTotalRate, 1, maxRate),
		maxInstanceRate: s.Int("pull", defaultInstanceRate, 1, maxRate),
	}
}

func readTimings(s *yaml.Section) Timings {
	return Timings{
		tickInterval:      s.Duration("tick", defaultTickInterval, minTiming, maxTiming),
		heartbeatInterval: s.Duration("heartbeat", defaultHeartbeatInterval, minTiming, maxTiming),
		probeInterval:     s.Duration("probe", defaultProbeInterval, minTiming, maxTiming),
		listInterval:      s.Duration("list", defaultListInterval, minTiming, maxTiming),
		requestTimeout:    s.Duration("request", defaultRequestTimeout, minTiming, maxTiming),
		gracePeriod:       s.Duration("grace", defaultGracePeriod, minTiming, maxTiming),
	}
}
