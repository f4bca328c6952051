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

// The topics of soft facts that daemons share.
const (
	usageTopic     = "usage"
	suspicionTopic = "suspicion"
)

// factLifetime is how long a soft fact counts unless a later one replaces it.
const factLifetime = time.Hour

// fingerprintBase is the base in which a fingerprint is the key of a fact.
const fingerprintBase = 36

type wireShare struct {
	_msgpack struct{} `msgpack:",as_array"`
	Holds    []wireHold
	Usages   []wireUsage
}

type wireHold struct {
	_msgpack struct{} `msgpack:",as_array"`
	Target   string
	Slots    int
}

type wireUsage struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Target       string
	Organisation string
	Wanted       int
}

type wireSuspicion struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Fingerprint uint64
	Verdict     uint8
	Crashes     []string
	Owner       string
}

// shareFact returns what this daemon holds and uses as a soft fact.
func shareFact(now time.Time, share caller.ReportUsage) peer.FactShared {
	var wire wireShare
	for _, hold := range share.Allocations() {
		wire.Holds = append(wire.Holds, wireHold{Target: hold.Target(), Slots: hold.Slots()})
	}
	for _, usage := range share.Usages() {
		wire.Usages = append(wire.Usages, wireUsage{
			Target: usage.Target(), Organisation: usage.Organisation(), Wanted: usage.Calls(),
		})
	}
	return peer.NewFactShared(usageTopic, "", encodeFact(&wire), now.Add(factLifetime))
}

// decodeShare returns the event that a learned fact about usage stands for.
func decodeShare(learn peer.LearnFact) (caller.UsageReported, error) {
	var wire wireShare
	if len(learn.Value()) > 0 {
		if err := decodeFact(learn.Value(), &wire); err != nil {
			return caller.UsageReported{}, err
		}
	}
	var holds []caller.Allocation
	for _, hold := range wire.Holds {
		holds = append(holds, caller.NewAllocation(hold.Target, hold.Slots))
	}
	var usages []caller.Usage
	for _, usage := range wire.Usages {
		usages = append(usages, caller.NewUsage(usage.Target, usage.Organisation, usage.Wanted))
	}
	return caller.NewUsageReported(learn.Origin(), holds, usages), nil
}

// suspicionFact returns what was found out about a call's content as a soft fact.
func suspicionFact(now time.Time, s engine.Suspicion) peer.FactShared {
	wire := wireSuspicion{Fingerprint: s.Fingerprint(), Verdict: uint8(s.Verdict()), Owner: s.Owner()}
	for _, replica := range s.CrashedReplicas() {
		wire.Crashes = append(wire.Crashes, string(replica))
	}
	key := strconv.FormatUint(s.Fingerprint(), fingerprintBase)
	return peer.NewFactShared(suspicionTopic, key, encodeFact(&wire), now.Add(factLifetime))
}

// decodeSuspicion returns the event that a learned fact about content stands for.
func decodeSuspicion(learn peer.LearnFact) (engine.SuspicionReceived, error) {
	var wire wireSuspicion
	if err := decodeFact(learn.Value(), &wire); err != nil {
		return engine.SuspicionReceived{}, err
	}
	var crashes []instance.ReplicaID
	for _, replica := range wire.Crashes {
		crashes = append(crashes, instance.ReplicaID(replica))
	}
	suspicion := engine.NewSuspicion(wire.Fingerprint, engine.Verdict(wire.Verdict), crashes, wire.Owner)
	return engine.NewSuspicionReceived(suspicion), nil
}

func encodeFact(wire any) []byte {
	data, err := msgpack.Marshal(wire)
	if err != nil {
		panic("reducer: a fact cannot be encoded: " + err.Error())
	}
	return data
}

func decodeFact(data []byte, wire any) error { return msgpack.Unmarshal(data, wire) }
