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

// The defaults of a daemon's timings.
const (
	defaultTick      = 100 * time.Millisecond
	defaultHeartbeat = 250 * time.Millisecond
	defaultProbe     = 500 * time.Millisecond
	defaultList      = time.Second
	defaultRequest   = 2 * time.Second
	defaultGrace     = time.Minute
)

// The defaults and the largest value of the weight store's rates, in bytes a second.
const (
	defaultRate = 10 << 30
	defaultPull = 1 << 30
	maxRate     = 1 << 50
)

// The bounds of a daemon's timings.
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

// Parse reads the settings of one daemon from data (YAML); the error is yaml.Mistakes with all that is wrong.
func Parse(path string, data []byte) (Settings, error) {
	document, root := yaml.Parse(path, data)
	s := readSettings(root)
	if err := document.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// ReadFile returns the content of the file at path, and tells what to do when it can't be read.
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
		centre:      s.Name("centre", "athens"),
		region:      s.Name("region", "attica"),
		listeners:   listeners,
		advertised:  readAdvertised(s.Section("advertised"), listeners),
		seeds:       s.Addresses("seeds"),
		platform:    s.Address("platform"),
		tls:         readTLS(s),
		https:       readHTTPS(s),
		verbosity:   int(s.Int("verbosity", 0, 0, maxVerbosity)),
		timings:     readTimings(s.Section("timings")),
		weightStore: readWeights(s.Section("weights")),
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
	rejectEqual(s, "peer", l.peer, l.caller)
	rejectEqual(s, "operator", l.operator, l.caller)
	rejectEqual(s, "operator", l.operator, l.peer)
	return l
}

func rejectEqual(s *yaml.Section, name string, a, b netip.AddrPort) {
	if a.IsValid() && a == b && a.Port() != 0 {
		s.Reject(name, fmt.Sprintf("%v is used by another listener", a), "give each listener a port of its own")
	}
}

func readAdvertised(s *yaml.Section, listeners Listeners) Listeners {
	for _, one := range []struct {
		name   string
		target *netip.AddrPort
	}{
		{"caller", &listeners.caller},
		{"peer", &listeners.peer},
		{"operator", &listeners.operator},
	} {
		if address := s.Address(one.name); address.IsValid() {
			*one.target = address
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

func readWeights(s *yaml.Section) WeightStore {
	return WeightStore{maxTotalRate: s.Int("rate", defaultRate, 1, maxRate), maxInstanceRate: s.Int("pull", defaultPull, 1, maxRate)}
}

func readTimings(s *yaml.Section) Timings {
	return Timings{
		tickInterval:      s.Duration("tick", defaultTick, minTiming, maxTiming),
		heartbeatInterval: s.Duration("heartbeat", defaultHeartbeat, minTiming, maxTiming),
		probeInterval:     s.Duration("probe", defaultProbe, minTiming, maxTiming),
		listInterval:      s.Duration("list", defaultList, minTiming, maxTiming),
		requestTimeout:    s.Duration("request", defaultRequest, minTiming, maxTiming),
		gracePeriod:       s.Duration("grace", defaultGrace, minTiming, maxTiming),
	}
}
