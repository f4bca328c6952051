package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/standin"
	"github.com/azurepond/azurepond/internal/upstream"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
)

// The replica of the engine that runs the prompts, and the one that is preferred for them by hash.
const (
	cachingReplica = instance.ReplicaID("a")
	hashReplica    = instance.ReplicaID("b")
)

// The cost that the decisions reckon with, for an answer and for each event in it, in bytes.
const (
	maxAnswerBytes = 512
	maxEventBytes  = 64
)

// cacheRig is two stand-in engines, a replica each, with the decisions over them under a fake clock. The second engine
// reports two calls more, but all prompts are such that their hash prefers it, so that they go to the first only for what
// it caches.
type cacheHarness struct {
	t                *testing.T
	engines          []*standin.Engine
	upstreams        []engine.Upstream
	state            engine.State
	now              time.Time
	client           *upstream.Client
	cache            *cacheReader
	events           chan engine.Event
	resyncs          int
	failingSnapshots int
	eventCount       int
	bytes            int
	calls            caller.ID
}

func (r *cacheHarness) Len(string) int { return len(r.upstreams) }

func (r *cacheHarness) At(_ string, i int) engine.Upstream { return r.upstreams[i] }

func (r *cacheHarness) Find(replica instance.ReplicaID) (engine.Upstream, bool) {
	for _, seen := range r.upstreams {
		if seen.Replica() == replica {
			return seen, true
		}
	}
	return engine.Upstream{}, false
}

// countedWriter counts the bytes of a body.
type countingWriter struct {
	http.ResponseWriter
	bytes *int
}

func (w countingWriter) Write(data []byte) (int, error) {
	*w.bytes += len(data)
	return w.ResponseWriter.Write(data)
}

func newCacheHarness(t *testing.T) *cacheHarness {
	var fabric standin.Fabric
	r := &cacheHarness{t: t, now: time.Unix(1000, 0), client: upstream.New(), events: make(chan engine.Event, 1000)}
	r.cache = newCacheReader(r.read, func(e engine.Event) error {
		r.events <- e
		return nil
	})
	for i, name := range []string{"a", "b"} {
		served := fabric.Engine(instance.ID(name))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			served.ServeHTTP(countingWriter{w, &r.bytes}, request)
		}))
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		seen := engine.NewUpstream(instance.ReplicaID(name), address, "dc").
			WithLoad(instance.NewLoad(2*i, 0, 0), r.now)
		r.engines, r.upstreams = append(r.engines, served), append(r.upstreams, seen)
		r.loadReplica(i)
	}
	r.reduce(engine.NewConfigured(engine.NewSettings("d", "dc")))
	r.route(nil)
	return r
}

// read reads cache events, unless it is a whole list and such a read shall fail.
func (r *cacheHarness) read(ctx context.Context, address string, after uint64) (instance.BootID, []upstream.CacheEvent, error) {
	if after == 0 && r.failingSnapshots > 0 {
		r.failingSnapshots--
		return "", nil, errors.New("the list is cut short")
	}
	return r.client.Cache(ctx, address, after)
}

// load makes an engine hold its replica.
func (r *cacheHarness) loadReplica(i int) {
	order := fmt.Sprintf(`{"verb":"load","replica":"%s","fence":1,"model":"m","members":["%[1]s"]}`, r.upstreams[i].Replica())
	answer := httptest.NewRecorder()
	r.engines[i].ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/order", strings.NewReader(order)))
	if answer.Code/100 != 2 {
		r.t.Fatal(answer.Code, answer.Body)
	}
}

// reduce takes in an event and carries out what follows, reads included; it returns where a call was sent.
func (r *cacheHarness) reduce(e engine.Event) (sent *engine.Send) {
	for _, effect := range r.state.Reduce(r.now, r, e) {
		switch effect := effect.(type) {
		case engine.Send:
			sent = &effect
		case engine.ReadCacheEvents:
			r.cache.read(context.Background(), effect)
		case engine.ResyncCache:
			r.resyncs++
			r.cache.resync(context.Background(), effect)
		}
	}
	return sent
}

// look lets the time for one read of each replica pass and takes in what they tell.
func (r *cacheHarness) readAll() {
	for range 2 * len(r.engines) {
		r.now = r.now.Add(2 * time.Second)
		r.reduce(engine.NewTicked())
		r.reduceReads()
	}
}

// take takes in what the reads that run tell, and what follows.
func (r *cacheHarness) reduceReads() {
	for {
		r.waitForReads()
		select {
		case e := <-r.events:
			r.reduce(e)
		default:
			return
		}
	}
}

// settle waits until no read runs.
func (r *cacheHarness) waitForReads() {
	for range maxCacheReads {
		r.cache.slots <- struct{}{}
	}
	for range maxCacheReads {
		<-r.cache.slots
	}
}

// route returns where a call with prefix goes, which ends at once.
func (r *cacheHarness) route(prefix []uint64) instance.ReplicaID {
	r.calls++
	call := caller.NewCall(r.calls, caller.Model, "m", "o", r.now.Add(time.Minute)).
		WithHashes(uint64(r.calls), prefix)
	sent := r.reduce(engine.NewSubmitted(call))
	r.reduce(engine.NewCompleted(sent.Attempt()))
	return sent.Replica()
}

// ask runs prompts of word at the first engine until the hash of one prefers the other; it returns its prefix blocks.
func (r *cacheHarness) runPromptHashedToOther(word string) []uint64 {
	for {
		blocks := r.runPrompt(word)
		var fresh engine.State
		call := caller.NewCall(1, caller.Model, "m", "o", r.now.Add(time.Minute)).WithHashes(1, blocks)
		for _, effect := range fresh.Reduce(r.now, r, engine.NewSubmitted(call)) {
			if sent, isSend := effect.(engine.Send); isSend && sent.Replica() == hashReplica {
				return blocks
			}
		}
		word += "s"
	}
}

// run runs a prompt of word at the first engine and returns its prefix blocks.
func (r *cacheHarness) runPrompt(word string) []uint64 {
	ctx, address := context.Background(), r.upstreams[0].Address()
	_, before, _ := r.client.Cache(ctx, address, 0)
	body := fmt.Sprintf(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"%s"}]}`,
		strings.Repeat(word+" ", 300))
	completion, err := upstream.NewCompletion(address, word, 0, []byte(body))
	if err != nil {
		r.t.Fatal(err)
	}
	if !r.client.Stream(ctx, completion, func(upstream.Chunk) error { return nil }).Whole() {
		r.t.Fatal("the stream is not whole")
	}
	_, after, _ := r.client.Cache(ctx, address, 0)
	var blocks []uint64
	for _, event := range after[len(before):] {
		blocks = append(blocks, event.Block())
	}
	r.eventCount += len(blocks)
	return blocks
}

func TestCacheReads(t *testing.T) {
	Convey("Given two replicas of which the first runs prompts that are preferred at the second", t, func() {
		r := newCacheHarness(t)
		r.readAll()
		first := r.runPromptHashedToOther("first")
		So(len(first), ShouldBeGreaterThan, 2)
		r.readAll()

		Convey("A call goes to the one that caches its prefix, others do not", func() {
			So(r.route(first), ShouldEqual, cachingReplica)
			So(r.route(r.runPromptHashedToOther("unread")), ShouldEqual, hashReplica)
			So(r.resyncs, ShouldEqual, 0)
		})

		Convey("After a gap the whole list is read again", func() {
			second := r.runPromptHashedToOther("second")
			r.engines[0].DropEvents(r.eventCount)
			third := r.runPromptHashedToOther("third")
			r.readAll()
			So(r.resyncs, ShouldEqual, 1)
			So(r.route(third), ShouldEqual, cachingReplica)
			So(r.route(first), ShouldEqual, hashReplica)
			So(r.route(second), ShouldEqual, hashReplica)
		})

		Convey("After a restart nothing counts as cached, and reading begins anew", func() {
			r.engines[0].Crash()
			r.engines[0].Start()
			r.loadReplica(0)
			r.readAll()
			So(r.resyncs, ShouldEqual, 1)
			So(r.route(first), ShouldEqual, hashReplica)
			second := r.runPromptHashedToOther("second")
			r.readAll()
			So(r.route(second), ShouldEqual, cachingReplica)
			So(r.resyncs, ShouldEqual, 1)
		})

		Convey("A restart shows also when the new process has told more than the old one", func() {
			r.engines[0].Crash()
			r.engines[0].Start()
			r.loadReplica(0)
			second := append(r.runPromptHashedToOther("second"), r.runPromptHashedToOther("third")...)
			r.readAll()
			So(r.resyncs, ShouldEqual, 1)
			So(r.route(first), ShouldEqual, hashReplica)
			So(r.route(second[:len(second)/2]), ShouldEqual, cachingReplica)
		})

		Convey("A whole list that could not be read is asked for again", func() {
			r.engines[0].Crash()
			r.engines[0].Start()
			r.loadReplica(0)
			second := r.runPromptHashedToOther("second")
			r.failingSnapshots = 1
			r.readAll()
			So(r.failingSnapshots, ShouldEqual, 0)
			So(r.resyncs, ShouldEqual, 2)
			So(r.route(second), ShouldEqual, cachingReplica)
		})

		Convey("Reading costs no more than the decisions reckon with", func() {
			for i := range 40 {
				r.runPromptHashedToOther(fmt.Sprintf("word%d", i))
			}
			r.bytes = 0
			_, events, err := r.client.Cache(context.Background(), r.upstreams[0].Address(), 0)
			So(err, ShouldBeNil)
			t.Logf("%d bytes for %d cache events", r.bytes, len(events))
			So(len(events), ShouldBeGreaterThan, 200)
			So(r.bytes, ShouldBeLessThanOrEqualTo, maxAnswerBytes+maxEventBytes*len(events))
		})
	})
}

func TestCacheIgnoresUnreadEvents(t *testing.T) {
	Convey("Until the events are read, a call does not go where its prefix is cached", t, func() {
		r := newCacheHarness(t)
		r.readAll()
		So(r.route(r.runPromptHashedToOther("first")), ShouldEqual, hashReplica)
	})
}

func TestCacheReadsAreLimited(t *testing.T) {
	Convey("Reads beyond the bound are left out, and the loop does not wait for them", t, func() {
		started, gate := make(chan struct{}, 2*maxCacheReads), make(chan struct{})
		slow := func(context.Context, string, uint64) (instance.BootID, []upstream.CacheEvent, error) {
			started <- struct{}{}
			<-gate
			return "boot", nil, nil
		}
		fed := make(chan engine.Event, 2*maxCacheReads)
		c := newCacheReader(slow, func(e engine.Event) error {
			fed <- e
			return nil
		})
		for range 2 * maxCacheReads {
			c.read(context.Background(), engine.ReadCacheEvents{})
		}
		for range maxCacheReads {
			<-started
		}
		close(gate)
		for range maxCacheReads {
			<-fed
		}
		So(len(started), ShouldEqual, 0)
		So(len(fed), ShouldEqual, 0)
	})
}
