package engine

import "github.com/azurepond/azurepond/pkg/instance"

// Verdict tells what is thought of a call's content.
type Verdict uint8

// The verdicts, each overriding those before it.
const (
	// Suspicious says that a replica crashed while it ran the content, maybe because of it.
	Suspicious Verdict = iota
	// Passed says that the content, tried alone, ran beyond the point at which the replica crashed.
	Passed
	// Cleared says that the content ran to its end.
	Cleared
	// Poisonous says that the content crashes engines and is run nowhere any more.
	Poisonous
)

// Suspicion is what one daemon tells the others about a call's content.
type Suspicion struct {
	fingerprint     uint64
	verdict         Verdict
	crashedReplicas []instance.ReplicaID
	owner           string
}

// NewSuspicion returns the suspicion of the content with that fingerprint: the verdict, the replicas that crashed
// while they ran it, and the daemon that tries it alone, if any.
func NewSuspicion(fingerprint uint64, verdict Verdict, crashes []instance.ReplicaID, owner string) Suspicion {
	return Suspicion{fingerprint, verdict, crashes, owner}
}

// Fingerprint returns the hash of the content.
func (s Suspicion) Fingerprint() uint64 { return s.fingerprint }

// Verdict returns what is thought of the content.
func (s Suspicion) Verdict() Verdict { return s.verdict }

// CrashedReplicas returns the replicas that crashed while they ran the content, in order.
func (s Suspicion) CrashedReplicas() []instance.ReplicaID { return s.crashedReplicas }

// Owner returns the daemon that tries the content alone, empty for none.
func (s Suspicion) Owner() string { return s.owner }
