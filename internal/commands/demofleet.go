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

// The secrets of the demo. Only its own process uses them.
const (
	demoToken = "demo-token"
	demoKey   = "demo-key"
)

// demoFleet holds the daemons and stand-ins of the demo, and the state shared by its steps.
type demoFleet struct {
	standIns        standIns
	listeners       *listenerSet
	serviceAddress  string
	callerAddresses []string
	client          *admin.Client
	daemonCancels   []context.CancelFunc
	daemonResults   []chan error
	ticketKey       string
	streamedText    string
}

// listenerSet holds open listeners by address. The demo opens them first, as the settings need their addresses.
type listenerSet struct{ listeners map[string]net.Listener }

// open opens a listener on a free port and returns its address.
func (s *listenerSet) open() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	address := listener.Addr().String()
	s.listeners[address] = listener
	return address, nil
}

// take removes the open listener on address from the set and returns it.
func (s *listenerSet) take(address string) (net.Listener, error) {
	listener := s.listeners[address]
	if listener == nil {
		return nil, trace.NotFound("no listener on %s", address)
	}
	delete(s.listeners, address)
	return listener, nil
}

// openMany opens count listeners and returns their addresses.
func (s *listenerSet) openMany(count int) ([]string, error) {
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

// startDemo starts the stand-ins, as parts of group, and the daemons.
func startDemo(ctx context.Context, group *errgroup.Group) (*demoFleet, error) {
	f := &demoFleet{listeners: &listenerSet{map[string]net.Listener{}}}
	// The addresses of the platform, the engines and the service, in this order.
	addresses, err := f.listeners.openMany(1 + demoEngines + 1)
	if err != nil {
		return nil, err
	}
	config, err := settings.ParseStandIns("demo", demoStandInSettings(addresses))
	if err != nil {
		return nil, err
	}
	f.serviceAddress = addresses[len(addresses)-1]
	if f.standIns, err = startStandIns(ctx, group, config, f.listeners.take); err != nil {
		return nil, err
	}
	return f, f.startEntries(ctx, addresses[0])
}

func demoStandInSettings(addresses []string) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "platform: %s\nengines:\n", addresses[0])
	for i := range demoEngines {
		fmt.Fprintf(&text, "  - {name: worker-%d, address: %s, pool: demo, domain: rack, centre: here, accelerators: 8}\n",
			i+1, addresses[1+i])
	}
	fmt.Fprintf(&text, "services:\n  - {name: tickets, address: %s, centre: here}\n", addresses[1+demoEngines])
	return []byte(text.String())
}

// startEntries starts the daemons. Each has the peer addresses of all daemons as seeds.
func (f *demoFleet) startEntries(ctx context.Context, platform string) error {
	// Each entry has three listeners, in this order: caller, peer and operator.
	addresses, err := f.listeners.openMany(3 * demoEntries)
	if err != nil {
		return err
	}
	var operatorAddresses []string
	for i := range demoEntries {
		own := addresses[3*i : 3*i+3]
		loaded, err := settings.Parse("demo", demoEntrySettings(i+1, own, []string{addresses[1], addresses[4]}, platform))
		if err != nil {
			return err
		}
		d, err := daemon.New(loaded, f.listeners.take)
		if err != nil {
			return err
		}
		f.startDaemon(ctx, d)
		f.callerAddresses = append(f.callerAddresses, own[0])
		operatorAddresses = append(operatorAddresses, own[2])
	}
	f.client = admin.NewClient(operatorAddresses, demoToken)
	return nil
}

// startDaemon runs d in the background until ctx ends or stop is called.
func (f *demoFleet) startDaemon(ctx context.Context, d *daemon.Daemon) {
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan error, 1)
	f.daemonCancels = append(f.daemonCancels, cancel)
	f.daemonResults = append(f.daemonResults, result)
	go func() { result <- d.Run(ctx) }()
}

// stop stops all daemons and waits until they have ended.
func (f *demoFleet) stop(ctx context.Context) error {
	for _, cancel := range f.daemonCancels {
		cancel()
	}
	var errs []error
	for _, result := range f.daemonResults {
		select {
		case err := <-result:
			errs = append(errs, err)
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
	return errors.Join(errs...)
}

// demoEntrySettings returns the settings of one entry. own contains its caller, peer and operator addresses.
func demoEntrySettings(number int, own, seeds []string, platform string) []byte {
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
