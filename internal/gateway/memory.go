package gateway

import (
	"github.com/azurepond/azurepond/internal/memory"
)

// Shares of the memory of an instance that a daemon takes for bytes of others.
const (
	answerShare  = 0.12 // answers that are held before they are forwarded
	eventShare   = 0.05 // events that have not arrived completely
	requestShare = 0.18 // bodies of requests of callers and peers, which may need another attempt
	headShare    = 0.08 // heads of requests
)

// defaultMemoryBytes is the memory of an instance whose settings don't state it.
const defaultMemoryBytes = 512 << 20

// answerCeiling limits one answer that is held in bytes, however much memory there is.
const answerCeiling = 16 << 20

// answersHeld is how many answers of the largest size that is held fit into the memory for them.
const answersHeld = 4

// memoryPools are the pools of one daemon.
type memoryPools struct {
	answers, events, requests, heads memory.Pool
}

// setLimits divides the memory of the instance, 0 if it is unknown.
func (p *memoryPools) setLimits(instanceBytes int64) {
	if instanceBytes <= 0 {
		instanceBytes = defaultMemoryBytes
	}
	p.answers.SetLimit(int64(answerShare * float64(instanceBytes)))
	p.events.SetLimit(int64(eventShare * float64(instanceBytes)))
	p.requests.SetLimit(int64(requestShare * float64(instanceBytes)))
	p.heads.SetLimit(int64(headShare * float64(instanceBytes)))
}

// maxAnswerBytes returns the size of the largest answer that is held.
func (p *memoryPools) maxAnswerBytes() int {
	if limit := p.answers.Usage().Limit(); limit > 0 {
		return int(min(limit/answersHeld, answerCeiling))
	}
	return answerCeiling
}
