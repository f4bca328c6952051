package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/replica"
)

// The evacuations of the simulation.
const (
	fleetEvacuateBound = 5 * time.Second
	fleetGrace         = fleetEvacuateBound / 4 // as in platform
	evacuationPrefix   = "evacuations/"
)

// fleetPhase is a phase of an evacuation at a daemon.
type fleetPhase struct {
	EvacuationChanged
	at time.Time
}

// evacuated returns the data centres whose objects are in the store.
func (f *fleet) evacuated() []string {
	var centres []string
	for key, data := range f.objects {
		if centre, isEvacuation := strings.CutPrefix(key, evacuationPrefix); isEvacuation && data != nil {
			centres = append(centres, centre)
		}
	}
	slices.Sort(centres)
	return centres
}

// setEvacuated creates or deletes the object of a data centre, and answers the watches of the set.
func (f *fleet) setEvacuated(centre string, isEvacuated bool) {
	var data []byte
	if isEvacuated {
		data = []byte("{}")
	}
	f.write(evacuationPrefix+centre, data)
	f.after(fleetStoreDelay, func() {
		for _, d := range f.daemons {
			if d.watching && !d.listSilent && !d.rejected {
				f.answerEvacuations(d)
			}
		}
	})
}

// answerEvacuations answers the watch of the set at a daemon.
func (f *fleet) answerEvacuations(d *fleetDaemon) {
	if f.size.grace > 0 {
		f.feed(d, NewEvacuationsCurrent(f.evacuated(), uint64(f.revision), f.era))
	}
}

// listEvacuated delivers the set to a daemon that begins to watch the list.
func (f *fleet) listEvacuated(d *fleetDaemon) {
	if f.size.grace > 0 {
		f.feed(d, NewEvacuationsListed(f.evacuated(), uint64(f.revision), f.era))
	}
}

// phaseAt returns when a daemon entered the latest phase of an evacuation, zero if it is another phase.
func (d *fleetDaemon) phaseAt(centre string, phase EvacuationPhase) time.Time {
	for _, p := range slices.Backward(d.phases) {
		if p.centre == centre {
			if p.phase == phase {
				return p.at
			}
			return time.Time{}
		}
	}
	return time.Time{}
}

// lastPhase returns how long after since the last daemon of those that run entered a phase, and the number of daemons that did not.
func (f *fleet) lastPhase(since time.Time, centre string, phase EvacuationPhase) (last time.Duration, missing int) {
	for _, d := range f.daemons {
		at := d.phaseAt(centre, phase)
		switch {
		case d.down:
		case at.IsZero():
			missing++
		default:
			last = max(last, at.Sub(since))
		}
	}
	return last, missing
}

// isIn reports whether an engine or a member of its replica is in a data centre.
func (f *fleet) isIn(e *fleetEngine, centre string) bool {
	return e.centre == centre || slices.ContainsFunc(e.members, func(id replica.ID) bool { return f.byID[id].centre == centre })
}

// targetsIn returns how many replicas and processes in a data centre a daemon sends to.
func (f *fleet) targetsIn(d *fleetDaemon, centre string) int {
	count := 0
	for _, model := range []string{"small", "large"} {
		for _, t := range d.Replicas(model) {
			if f.isIn(f.byID[replica.ID(t.Name())], centre) {
				count++
			}
		}
	}
	return count + len(slices.DeleteFunc(d.Processes("desk"), func(t dispatch.Target) bool { return !strings.HasSuffix(t.Name(), centre) }))
}
