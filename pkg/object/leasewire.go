package object

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// leaseSpec is the content of a lease object.
type leaseSpec struct {
	holder      string
	duration    time.Duration
	renewTime   time.Time
	transitions int
}

// leaseWire is the JSON form of a Lease of coordination.k8s.io/v1.
type leaseWire struct {
	APIVersion string        `json:"apiVersion"`
	Kind       string        `json:"kind"`
	Spec       leaseSpecWire `json:"spec"`
}

type leaseSpecWire struct {
	HolderIdentity       string `json:"holderIdentity"`
	LeaseDurationSeconds int    `json:"leaseDurationSeconds"`
	RenewTime            string `json:"renewTime"`
	LeaseTransitions     int    `json:"leaseTransitions"`
}

// renewLayout is the layout of the platform's MicroTime.
const renewLayout = "2006-01-02T15:04:05.000000Z07:00"

func encodeLease(s leaseSpec) []byte {
	data, err := json.Marshal(leaseWire{
		APIVersion: "coordination.k8s.io/v1",
		Kind:       "Lease",
		Spec: leaseSpecWire{
			HolderIdentity:       s.holder,
			LeaseDurationSeconds: int(s.duration / time.Second),
			RenewTime:            s.renewTime.UTC().Format(renewLayout),
			LeaseTransitions:     s.transitions,
		},
	})
	if err != nil {
		panic(trace.Wrap(err))
	}
	return data
}

func decodeLease(data []byte) (leaseSpec, error) {
	var wire leaseWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return leaseSpec{}, trace.Wrap(err)
	}
	spec := leaseSpec{
		holder:      wire.Spec.HolderIdentity,
		duration:    time.Duration(wire.Spec.LeaseDurationSeconds) * time.Second,
		transitions: wire.Spec.LeaseTransitions,
	}
	if wire.Spec.RenewTime == "" {
		return spec, nil
	}
	renewed, err := time.Parse(renewLayout, wire.Spec.RenewTime)
	if err != nil {
		return leaseSpec{}, trace.Wrap(err)
	}
	spec.renewTime = renewed
	return spec, nil
}
