package commands

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/azurepond/azurepond/internal/admin"
	"github.com/azurepond/azurepond/internal/daemon"
	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
)

// The sizes of the demo.
const (
	demoEngines = 4
	demoEntries = 2
)

// The secrets of the demo, which never leave the process.
const (
	demoToken = "demo-token"
	demoKey   = "demo-key"
)

// demoFleet is all that the demo runs.
type demoFleet struct {
	standIns standIns
	sockets  *sockets
	service  string
	callers  []string
	client   *admin.Client
	ends     []context.CancelFunc
	ended    []chan error
	ticket   string
	answer   string
}

// sockets are listeners that were opened before their addresses became settings.
type sockets struct{ listeners map[string]net.Listener }

// open opens a listener on a free port and returns its address.
func (s *sockets) open() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	address := listener.Addr().String()
	s.listeners[address] = listener
	return address, nil
}

// take returns the open listener on address.
func (s *sockets) take(address string) (net.Listener, error) {
	listener := s.listeners[address]
	if listener == nil {
		return nil, trace.NotFound("no listener on %s", address)
	}
	delete(s.listeners, address)
	return listener, nil
}

// openAll opens count listeners and returns their addresses.
func (s *sockets) openAll(count int) ([]string, error) {
	var addresses []string
	for range count {
		address, err := s.open()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// startDemo starts the stand-ins and the daemons as parts of group.
func startDemo(ctx context.Context, group *errgroup.Group) (*demoFleet, error) {
	f := &demoFleet{sockets: &sockets{map[string]net.Listener{}}}
	backing, err := f.sockets.openAll(1 + demoEngines + 1)
	if err != nil {
		return nil, err
	}
	stand, err := settings.ParseStandIns("demo", demoStand(backing))
	if err != nil {
		return nil, err
	}
	f.service = backing[len(backing)-1]
	if f.standIns, err = startStand(ctx, group, stand, f.sockets.take); err != nil {
		return nil, err
	}
	return f, f.startEntries(ctx, backing[0])
}

func demoStand(addresses []string) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "platform: %s\nengines:\n", addresses[0])
	for i := range demoEngines {
		fmt.Fprintf(&text, "  - {name: worker-%d, address: %s, pool: demo, domain: rack, centre: here, accelerators: 8}\n",
			i+1, addresses[1+i])
	}
	fmt.Fprintf(&text, "services:\n  - {name: tickets, address: %s, centre: here}\n", addresses[1+demoEngines])
	return []byte(text.String())
}

// startEntries starts the daemons, each of which knows the others as seeds.
func (f *demoFleet) startEntries(ctx context.Context, platform string) error {
	addresses, err := f.sockets.openAll(3 * demoEntries)
	if err != nil {
		return err
	}
	var operators []string
	for i := range demoEntries {
		own := addresses[3*i : 3*i+3]
		loaded, err := settings.Parse("demo", demoEntry(i+1, own, []string{addresses[1], addresses[4]}, platform))
		if err != nil {
			return err
		}
		d, err := daemon.New(loaded, f.sockets.take)
		if err != nil {
			return err
		}
		f.run(ctx, d)
		f.callers = append(f.callers, own[0])
		operators = append(operators, own[2])
	}
	f.client = admin.NewClient(operators, demoToken)
	return nil
}

func (f *demoFleet) run(ctx context.Context, d *daemon.Daemon) {
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	f.ends = append(f.ends, stop)
	f.ended = append(f.ended, ended)
	go func() { ended <- d.Run(ctx) }()
}

// stop asks all daemons to stop and waits until they have.
func (f *demoFleet) stop(ctx context.Context) error {
	for _, end := range f.ends {
		end()
	}
	var problems []error
	for _, ended := range f.ended {
		select {
		case err := <-ended:
			problems = append(problems, err)
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
	return errors.Join(problems...)
}

func demoEntry(number int, own, seeds []string, platform string) []byte {
	return fmt.Appendf(nil, `name: entry-%d
centre: here
region: demo
listeners: {caller: %s, peer: %s, operator: %s}
seeds: [%s]
platform: %s
tokens:
  - {name: demo, team: demo, hash: %s}
  - {name: root, team: fleet, hash: %s}
`, number, own[0], own[1], own[2], strings.Join(seeds, ", "), platform, operator.NewHash(demoToken),
		operator.NewHash("root-"+demoToken))
}

func demoConfiguration(service string) []byte {
	return fmt.Appendf(nil, `team: demo
models:
  - {name: drafts, pool: demo, span: 2, accelerators: 8, bytes: 1000000000, replicas: 2, fencing: true}
services:
  - name: tickets
    upstreams: [{address: %s, centre: here}]
    once: [POST /tickets]
    outage: refuse
organisations:
  - {name: cloakroom, share: 1, targets: [drafts, tickets], key: %s, priority: 1, flight: 100}
weights: {downtime: 10, stranding: 1}
deadlines: {first: 10s, whole: 30s}
limits: {queue: 64, body: 1048576}
`, service, operator.NewHash(demoKey))
}
