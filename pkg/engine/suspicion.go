package engine

import "github.com/azurepond/azurepond/pkg/instance"

// Verdict is the judgement of a call's content.
type Verdict uint8

// The verdicts, each overriding those before it.
const (
	// Suspicious says that a replica crashed while it ran the content, possibly because of it.
	Suspicious Verdict = iota
	// Passed says that the content ran past the point of the crash in a trial, alone among the suspects on its replica.
	Passed
	// Cleared says that the content ran to completion.
	Cleared
	// Poisonous says that the content crashes engines and is rejected by all daemons.
	Poisonous
)

// Suspicion is the message about a call's content that a daemon sends to the others.
type Suspicion struct {
	fingerprint     uint64
	verdict         Verdict
	crashedReplicas []instance.ReplicaID
	owner           string
}

// NewSuspicion returns the suspicion of the content with that fingerprint: its verdict, the replicas that crashed while
// they ran it, and the daemon that runs its trial, if any.
func NewSuspicion(fingerprint uint64, verdict Verdict, crashes []instance.ReplicaID, owner string) Suspicion {
	return Suspicion{fingerprint, verdict, crashes, owner}
}

// Fingerprint returns the hash of the content.
func (s Suspicion) Fingerprint() uint64 { return s.fingerprint }

// Verdict returns the verdict on the content.
func (s Suspicion) Verdict() Verdict { return s.verdict }

// CrashedReplicas returns the replicas that crashed while they ran the content, sorted by name.
func (s Suspicion) CrashedReplicas() []instance.ReplicaID { return s.crashedReplicas }

// Owner returns the daemon that runs the trial of the content, empty for none.
func (s Suspicion) Owner() string { return s.owner }
