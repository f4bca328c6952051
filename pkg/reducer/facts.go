package reducer

import (
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/peer"
)

// The topics of the facts that daemons exchange.
const (
	usageTopic     = "usage"
	suspicionTopic = "suspicion"
)

// factTTL is how long a fact is valid unless a later one replaces it.
const factTTL = time.Hour

// fingerprintBase is the base of a fingerprint as the key of a fact.
const fingerprintBase = 36

type wireUsageReport struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Allocations []wireAllocation
	Usages      []wireUsage
}

type wireAllocation struct {
	_msgpack struct{} `msgpack:",as_array"`
	Target   string
	Slots    int
}

type wireUsage struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Target       string
	Organisation string
	Calls        int
}

type wireSuspicion struct {
	_msgpack        struct{} `msgpack:",as_array"`
	Fingerprint     uint64
	Verdict         uint8
	CrashedReplicas []string
	Owner           string
}

// usageFact returns the allocations and the usage of this daemon as a fact.
func usageFact(now time.Time, report caller.ReportUsage) peer.FactShared {
	var wire wireUsageReport
	for _, allocation := range report.Allocations() {
		wire.Allocations = append(wire.Allocations, wireAllocation{Target: allocation.Target(), Slots: allocation.Slots()})
	}
	for _, usage := range report.Usages() {
		wire.Usages = append(wire.Usages, wireUsage{
			Target: usage.Target(), Organisation: usage.Organisation(), Calls: usage.Calls(),
		})
	}
	return peer.NewFactShared(usageTopic, "", encodeFact(&wire), now.Add(factTTL))
}

// decodeUsage returns the event for a fact about usage; an empty one reports no usage.
func decodeUsage(fact peer.LearnFact) (caller.UsageReported, error) {
	var wire wireUsageReport
	if len(fact.Value()) > 0 {
		if err := decodeFact(fact.Value(), &wire); err != nil {
			return caller.UsageReported{}, err
		}
	}
	var allocations []caller.Allocation
	for _, allocation := range wire.Allocations {
		allocations = append(allocations, caller.NewAllocation(allocation.Target, allocation.Slots))
	}
	var usages []caller.Usage
	for _, usage := range wire.Usages {
		usages = append(usages, caller.NewUsage(usage.Target, usage.Organisation, usage.Calls))
	}
	return caller.NewUsageReported(fact.Origin(), allocations, usages), nil
}

// suspicionFact returns a suspicion about the content of calls as a fact.
func suspicionFact(now time.Time, s engine.Suspicion) peer.FactShared {
	wire := wireSuspicion{Fingerprint: s.Fingerprint(), Verdict: uint8(s.Verdict()), Owner: s.Owner()}
	for _, replica := range s.CrashedReplicas() {
		wire.CrashedReplicas = append(wire.CrashedReplicas, string(replica))
	}
	key := strconv.FormatUint(s.Fingerprint(), fingerprintBase)
	return peer.NewFactShared(suspicionTopic, key, encodeFact(&wire), now.Add(factTTL))
}

// decodeSuspicion returns the event for a fact about a suspicion.
func decodeSuspicion(fact peer.LearnFact) (engine.SuspicionReceived, error) {
	var wire wireSuspicion
	if err := decodeFact(fact.Value(), &wire); err != nil {
		return engine.SuspicionReceived{}, err
	}
	var crashed []instance.ReplicaID
	for _, replica := range wire.CrashedReplicas {
		crashed = append(crashed, instance.ReplicaID(replica))
	}
	suspicion := engine.NewSuspicion(wire.Fingerprint, engine.Verdict(wire.Verdict), crashed, wire.Owner)
	return engine.NewSuspicionReceived(suspicion), nil
}

func encodeFact(wire any) []byte {
	data, err := msgpack.Marshal(wire)
	if err != nil {
		panic("reducer: can't encode a fact: " + err.Error())
	}
	return data
}

func decodeFact(data []byte, wire any) error { return msgpack.Unmarshal(data, wire) }
