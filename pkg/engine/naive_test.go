package engine

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// naiveRouter routes to a random replica and retries on another one without a retry budget.
type naiveRouter struct {
	random   *rand.Rand
	last     AttemptID
	attempts map[AttemptID]*naiveCall
}

type naiveCall struct {
	call   caller.Call
	tokens int
	count  int
}

func newNaiveRouter(seed uint64) *naiveRouter {
	return &naiveRouter{random: rand.New(rand.NewPCG(seed, 2)), attempts: map[AttemptID]*naiveCall{}}
}

func (n *naiveRouter) sortedIDs() []AttemptID {
	var result []AttemptID
	for id := range n.attempts {
		result = append(result, id)
	}
	sort.Slice(result, func(i, j int) bool { return result[i] < result[j] })
	return result
}

// Reduce sends a call to a random replica, up to maxNaiveAttempts times.
func (n *naiveRouter) Reduce(_ time.Time, r Replicas, e Event) []Effect {
	switch e := e.(type) {
	case Submitted:
		return n.send(r, &naiveCall{call: e.call})
	case Completed:
		c := n.attempts[e.attempt]
		delete(n.attempts, e.attempt)
		return []Effect{Finish{c.call.ID(), caller.Answered{}}}
	case Failed:
		c := n.attempts[e.attempt]
		delete(n.attempts, e.attempt)
		c.tokens = e.tokens
		return n.send(r, c)
	}
	return nil
}

func (n *naiveRouter) send(r Replicas, c *naiveCall) []Effect {
	c.count++
	if c.count > maxNaiveAttempts {
		return []Effect{Finish{c.call.ID(), caller.NewUnknown(caller.UpstreamFailed)}}
	}
	upstream := r.At(c.call.Target(), n.random.IntN(r.Len(c.call.Target())))
	n.last++
	n.attempts[n.last] = c
	return []Effect{Send{n.last, c.call, upstream.replica, upstream.address, c.tokens}}
}

// maxNaiveAttempts limits the attempts of one call.
const maxNaiveAttempts = 10
