package caller

import (
	"fmt"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/golden"
)

// benchState returns a daemon that has received the usage of all organisations at all other daemons.
func benchState(daemons, organisations int) *State {
	var s State
	settings := NewSettings("d", "d:1", "a").WithTargets(NewTarget("m", Model, 10_000))
	var configured []Organisation
	var usages []Usage
	for i := range organisations {
		name := fmt.Sprintf("o%03d", i)
		configured = append(configured, NewOrganisation(name, 1))
		usages = append(usages, NewUsage("m", name, 3))
	}
	s.Reduce(golden.Epoch, NewConfigured(settings.WithOrganisations(configured...)))
	var peers []Peer
	for i := range daemons - 1 {
		name := fmt.Sprintf("d%03d", i)
		peers = append(peers, NewPeer(name, name, "a", false, 0))
		s.Reduce(golden.Epoch, NewUsageReported(name, []Allocation{NewAllocation("m", 30)}, usages))
	}
	s.Reduce(golden.Epoch, NewPeersChanged(peers))
	return &s
}

// BenchmarkCall measures a call from Arrived to Finished.
func BenchmarkCall(b *testing.B) {
	for _, organisations := range []int{10, 100} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			s := benchState(8, organisations)
			b.ReportAllocs()
			for i := range b.N {
				id := ID(i + 1)
				s.Reduce(golden.Epoch, NewArrived(NewCall(id, Model, "m", "o001", golden.Epoch.Add(time.Minute))))
				s.Reduce(golden.Epoch, NewFinished(id, Answered{}))
			}
		})
	}
}

// BenchmarkAllocate measures one allocation of the capacity, which runs once in an allocation interval.
func BenchmarkAllocate(b *testing.B) {
	for _, daemons := range []int{8, 64, 330} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			s := benchState(daemons, 10)
			b.ReportAllocs()
			for i := range b.N {
				s.Reduce(golden.Epoch.Add(time.Duration(i+1)*DefaultAllocationInterval), NewTicked())
			}
		})
	}
}

// BenchmarkAddresses measures one list of addresses.
func BenchmarkAddresses(b *testing.B) {
	for _, daemons := range []int{8, 330} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			s := benchState(daemons, 10)
			b.ReportAllocs()
			for i := range b.N {
				s.Addresses(golden.Epoch.Add(time.Duration(i)), "a")
			}
		})
	}
}
