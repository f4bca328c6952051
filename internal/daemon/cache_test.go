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

// The replica whose engine runs the prompts, and the one that the hash of their prefix selects.
const (
	cachingReplica = instance.ReplicaID("a")
	hashReplica    = instance.ReplicaID("b")
)

// The assumed size of an answer, as in pkg/engine: a fixed part and a part for each event.
const (
	cacheReadBytes  = 512
	cacheEventBytes = 64
)

// cacheHarness runs pkg/engine under a fake clock with two stand-in engines, one for each replica. The second engine
// reports two more calls, but the hash of every prompt selects it, so a call goes to the first only for its cache.
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
	failingSnapshots int // number of next reads of the complete list that fail
	eventCount       int // cache events of the first engine
	bytes            int // of all answers
	calls            caller.ID
}

func (h *cacheHarness) Len(string) int { return len(h.upstreams) }

func (h *cacheHarness) At(_ string, i int) engine.Upstream { return h.upstreams[i] }

func (h *cacheHarness) Find(replica instance.ReplicaID) (engine.Upstream, bool) {
	for _, upstream := range h.upstreams {
		if upstream.Replica() == replica {
			return upstream, true
		}
	}
	return engine.Upstream{}, false
}

// countingWriter counts the bytes of a body.
type countingWriter struct {
	http.ResponseWriter
	bytes *int
}

func (w countingWriter) Write(data []byte) (int, error) {
	*w.bytes += len(data)
	return w.ResponseWriter.Write(data)
}

func newCacheHarness(t *testing.T) *cacheHarness {
	var cluster standin.Cluster
	h := &cacheHarness{t: t, now: time.Unix(1000, 0), client: upstream.New(), events: make(chan engine.Event, 1000)}
	h.cache = newCacheReader(h.read, func(e engine.Event) error {
		h.events <- e
		return nil
	})
	for i, name := range []string{"a", "b"} {
		standIn := cluster.Engine(instance.ID(name))
		httpServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			standIn.ServeHTTP(countingWriter{w, &h.bytes}, request)
		}))
		t.Cleanup(httpServer.Close)
		address := strings.TrimPrefix(httpServer.URL, "http://")
		replica := engine.NewUpstream(instance.ReplicaID(name), address, "dc").
			WithLoad(instance.NewLoad(2*i, 0, 0), h.now)
		h.engines, h.upstreams = append(h.engines, standIn), append(h.upstreams, replica)
		h.loadReplica(i)
	}
	h.reduce(engine.NewConfigured(engine.NewSettings("d", "dc")))
	h.route(nil)
	return h
}

// read reads cache events. It fails if it is a read of the complete list and failingSnapshots is not 0.
func (h *cacheHarness) read(
	ctx context.Context, address string, after uint64,
) (instance.BootID, []upstream.CacheEvent, error) {
	if after == 0 && h.failingSnapshots > 0 {
		h.failingSnapshots--
		return "", nil, errors.New("list truncated")
	}
	return h.client.CacheEvents(ctx, address, after)
}

// loadReplica orders an engine to load its replica.
func (h *cacheHarness) loadReplica(i int) {
	order := fmt.Sprintf(`{"verb":"load","replica":"%s","fence":1,"model":"m","members":["%[1]s"]}`, h.upstreams[i].Replica())
	answer := httptest.NewRecorder()
	h.engines[i].ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/order", strings.NewReader(order)))
	if answer.Code/100 != 2 {
		h.t.Fatal(answer.Code, answer.Body)
	}
}

// reduce applies an event and executes the effects, including reads. It returns the attempt that was sent, if any.
func (h *cacheHarness) reduce(e engine.Event) (sent *engine.Send) {
	for _, effect := range h.state.Reduce(h.now, h, e) {
		switch effect := effect.(type) {
		case engine.Send:
			sent = &effect
		case engine.ReadCacheEvents:
			h.cache.read(context.Background(), effect)
		case engine.ResyncCache:
			h.resyncs++
			h.cache.resync(context.Background(), effect)
		}
	}
	return sent
}

// readAll advances the time until each replica has been read once, and applies the results.
func (h *cacheHarness) readAll() {
	for range 2 * len(h.engines) {
		h.now = h.now.Add(2 * time.Second)
		h.reduce(engine.NewTicked())
		h.reduceReads()
	}
}

// reduceReads applies the results of the running reads and of the reads that follow from them.
func (h *cacheHarness) reduceReads() {
	for {
		h.waitForReads()
		select {
		case e := <-h.events:
			h.reduce(e)
		default:
			return
		}
	}
}

// waitForReads waits until no read runs.
func (h *cacheHarness) waitForReads() {
	for range maxCacheReads {
		h.cache.slots <- struct{}{}
	}
	for range maxCacheReads {
		<-h.cache.slots
	}
}

// route returns the replica that a call with prefix is sent to; the call completes at once.
func (h *cacheHarness) route(prefix []uint64) instance.ReplicaID {
	h.calls++
	call := caller.NewCall(h.calls, caller.Model, "m", "o", h.now.Add(time.Minute)).
		WithHashes(uint64(h.calls), prefix)
	sent := h.reduce(engine.NewSubmitted(call))
	h.reduce(engine.NewCompleted(sent.Attempt()))
	return sent.Replica()
}

// runPromptHashedToOther runs prompts made of text at the first engine until the hash of one selects the other engine. It
// returns the prefix blocks of that prompt.
func (h *cacheHarness) runPromptHashedToOther(text string) []uint64 {
	for {
		blocks := h.runPrompt(text)
		var fresh engine.State
		call := caller.NewCall(1, caller.Model, "m", "o", h.now.Add(time.Minute)).WithHashes(1, blocks)
		for _, effect := range fresh.Reduce(h.now, h, engine.NewSubmitted(call)) {
			if sent, isSend := effect.(engine.Send); isSend && sent.Replica() == hashReplica {
				return blocks
			}
		}
		text += "s"
	}
}

// runPrompt runs a prompt made of text at the first engine and returns its prefix blocks.
func (h *cacheHarness) runPrompt(text string) []uint64 {
	ctx, address := context.Background(), h.upstreams[0].Address()
	_, before, _ := h.client.CacheEvents(ctx, address, 0)
	body := fmt.Sprintf(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":"%s"}]}`,
		strings.Repeat(text+" ", 300))
	completion, err := upstream.NewCompletion(address, text, 0, []byte(body))
	if err != nil {
		h.t.Fatal(err)
	}
	if !h.client.Stream(ctx, completion, func(upstream.Chunk) error { return nil }).Complete() {
		h.t.Fatal("the stream is incomplete")
	}
	_, after, _ := h.client.CacheEvents(ctx, address, 0)
	var blocks []uint64
	for _, event := range after[len(before):] {
		blocks = append(blocks, event.Block())
	}
	h.eventCount += len(blocks)
	return blocks
}

func TestCacheReads(t *testing.T) {
	Convey("With two replicas, where the first has run prompts whose hash selects the second", t, func() {
		h := newCacheHarness(t)
		h.readAll()
		first := h.runPromptHashedToOther("first")
		So(len(first), ShouldBeGreaterThan, 2)
		h.readAll()

		Convey("A call goes to the replica that caches its prefix, other calls do not", func() {
			So(h.route(first), ShouldEqual, cachingReplica)
			So(h.route(h.runPromptHashedToOther("unread")), ShouldEqual, hashReplica)
			So(h.resyncs, ShouldEqual, 0)
		})

		Convey("After a gap in the events the complete list is read again", func() {
			second := h.runPromptHashedToOther("second")
			h.engines[0].DropEvents(h.eventCount)
			third := h.runPromptHashedToOther("third")
			h.readAll()
			So(h.resyncs, ShouldEqual, 1)
			So(h.route(third), ShouldEqual, cachingReplica)
			So(h.route(first), ShouldEqual, hashReplica)
			So(h.route(second), ShouldEqual, hashReplica)
		})

		Convey("After a restart the cached blocks are discarded, and reading starts from the beginning", func() {
			h.engines[0].Crash()
			h.engines[0].Start()
			h.loadReplica(0)
			h.readAll()
			So(h.resyncs, ShouldEqual, 1)
			So(h.route(first), ShouldEqual, hashReplica)
			second := h.runPromptHashedToOther("second")
			h.readAll()
			So(h.route(second), ShouldEqual, cachingReplica)
			So(h.resyncs, ShouldEqual, 1)
		})

		Convey("A restart is detected even if the new process has sent more events than the old one", func() {
			h.engines[0].Crash()
			h.engines[0].Start()
			h.loadReplica(0)
			second := append(h.runPromptHashedToOther("second"), h.runPromptHashedToOther("third")...)
			h.readAll()
			So(h.resyncs, ShouldEqual, 1)
			So(h.route(first), ShouldEqual, hashReplica)
			So(h.route(second[:len(second)/2]), ShouldEqual, cachingReplica)
		})

		Convey("A failed read of the complete list is repeated", func() {
			h.engines[0].Crash()
			h.engines[0].Start()
			h.loadReplica(0)
			second := h.runPromptHashedToOther("second")
			h.failingSnapshots = 1
			h.readAll()
			So(h.failingSnapshots, ShouldEqual, 0)
			So(h.resyncs, ShouldEqual, 2)
			So(h.route(second), ShouldEqual, cachingReplica)
		})

		Convey("Reads cost at most the assumed number of bytes", func() {
			for i := range 40 {
				h.runPromptHashedToOther(fmt.Sprintf("word%d", i))
			}
			h.bytes = 0
			_, events, err := h.client.CacheEvents(context.Background(), h.upstreams[0].Address(), 0)
			So(err, ShouldBeNil)
			t.Logf("%d bytes for %d cache events", h.bytes, len(events))
			So(len(events), ShouldBeGreaterThan, 200)
			So(h.bytes, ShouldBeLessThanOrEqualTo, cacheReadBytes+cacheEventBytes*len(events))
		})
	})
}

func TestCacheIgnoresUnreadEvents(t *testing.T) {
	Convey("Until the events are read, a call does not go to the replica that caches its prefix", t, func() {
		h := newCacheHarness(t)
		h.readAll()
		So(h.route(h.runPromptHashedToOther("first")), ShouldEqual, hashReplica)
	})
}

func TestCacheReadsAreLimited(t *testing.T) {
	Convey("Reads beyond the limit are skipped, and the loop does not wait for the others", t, func() {
		started, release := make(chan struct{}, 2*maxCacheReads), make(chan struct{})
		slow := func(context.Context, string, uint64) (instance.BootID, []upstream.CacheEvent, error) {
			started <- struct{}{}
			<-release
			return "boot", nil, nil
		}
		events := make(chan engine.Event, 2*maxCacheReads)
		c := newCacheReader(slow, func(e engine.Event) error {
			events <- e
			return nil
		})
		for range 2 * maxCacheReads {
			c.read(context.Background(), engine.ReadCacheEvents{})
		}
		for range maxCacheReads {
			<-started
		}
		close(release)
		for range maxCacheReads {
			<-events
		}
		So(len(started), ShouldEqual, 0)
		So(len(events), ShouldEqual, 0)
	})
}
