package gateway

import (
	"bytes"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/peer"
	"github.com/azurepond/azurepond/pkg/replica"
)

// The topics of messages about the probes of watchers.
const (
	suspicionTopic = "suspicion" // a replica or an instance that a watcher shall probe
	findingTopic   = "finding"   // what a watcher found
	aliveTopic     = "alive"     // a fact: an instance that was dead for all answers the leader again
)

// The lengths of the encoded arrays.
const (
	suspicionFields = 2
	findingFields   = 3
)

// finding is what a watcher tells a daemon that suspects a replica.
type finding uint8

const (
	findingBegun    finding = iota // it probes the members
	findingAnswered                // all members answered
	findingSilent                  // a member missed two probes
	findingDead                    // a member is dead
)

// sendSuspicion has a watcher probe the members of a replica, or one instance only.
func (s *State) sendSuspicion(now time.Time, to string, key replica.ID, isSingle bool) {
	s.sendWatchMessage(now, to, suspicionTopic, string(key), isSingle)
}

func (s *State) sendFinding(now time.Time, to string, f finding, key, id replica.ID) {
	s.sendWatchMessage(now, to, findingTopic, uint8(f), string(key), string(id))
}

func (s *State) sendWatchMessage(now time.Time, to, topic string, values ...any) {
	data, err := encodeValues(values)
	if err != nil {
		s.emit(Problem{topic + " not encoded", err.Error()})
		return
	}
	s.reducePeer(now, peer.NewDirectMessageRequested(to, topic, data))
}

// receiveWatchMessage handles a suspicion of another daemon, or what a watcher found.
func (s *State) receiveWatchMessage(now time.Time, topic, from string, data []byte) {
	f := decodedFields{decoder: msgpack.NewDecoder(bytes.NewReader(data))}
	if topic == suspicionTopic {
		var key replica.ID
		var isSingle bool
		f.record(suspicionFields, func() { key, isSingle = replica.ID(f.text()), f.flag() })
		if s.isDecoded(topic, from, f.err) {
			s.watch(now, key, from, isSingle)
		}
		return
	}
	var kind uint64
	var key, id replica.ID
	f.record(findingFields, func() { kind, key, id = f.number(), replica.ID(f.text()), replica.ID(f.text()) })
	if kind > uint64(findingDead) {
		f.setError(trace.BadParameter("finding %d", kind))
	}
	if s.isDecoded(topic, from, f.err) {
		s.applyFinding(now, from, finding(kind), key, id)
	}
}

func (s *State) isDecoded(topic, from string, err error) bool {
	if err != nil {
		s.emit(Problem{topic + " from " + from + " not decoded", err.Error()})
	}
	return err == nil
}

func (s *State) applyFinding(now time.Time, from string, f finding, key, id replica.ID) {
	asked := s.watcher.asked[key]
	if asked != nil && asked.watcher != from {
		asked = nil // a late reply of another watcher
	}
	switch f {
	case findingBegun:
		if asked != nil {
			asked.begunAt = now
		}
	case findingAnswered:
		if asked != nil {
			delete(s.watcher.asked, key)
			s.reduceDispatch(now, dispatch.NewReplicaResumed(string(key)))
		}
	case findingSilent:
		if asked != nil && asked.silent.IsZero() {
			asked.silent = now
			s.reduceReplica(now, replica.NewSilenceReported(id, now.Add(watchDeathTimeout)))
			s.reduceDispatch(now, dispatch.NewReplicaSilent(string(key)))
		}
	case findingDead:
		if asked != nil {
			delete(s.watcher.asked, key)
		}
		s.receiveVerdict(now, from, id)
	}
}
