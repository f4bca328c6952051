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
	caching = instance.ReplicaID("a")
	other   = instance.ReplicaID("b")
)

// The cost that the decisions reckon with, for an answer and for each event in it, in bytes.
const (
	answerBytes = 512
	eventBytes  = 64
)

// cacheRig is two stand-in engines, a replica each, with the decisions over them under a fake clock. The second engine
// reports two calls more, but all prompts are such that their hash prefers it, so that they go to the first only for what
// it caches.
type cacheRig struct {
	t       *testing.T
	engines []*standin.Engine
	seen    []engine.Upstream
	state   engine.State
	now     time.Time
	client  *upstream.Client
	cache   *cache
	fed     chan engine.Event
	resyncs int
	failing int
	told    int
	bytes   int
	calls   caller.ID
}

func (r *cacheRig) Len(string) int { return len(r.seen) }

func (r *cacheRig) At(_ string, i int) engine.Upstream { return r.seen[i] }

func (r *cacheRig) Find(replica instance.ReplicaID) (engine.Upstream, bool) {
	for _, seen := range r.seen {
		if seen.Replica() == replica {
			return seen, true
		}
	}
	return engine.Upstream{}, false
}

// countedWriter counts the bytes of a body.
type countedWriter struct {
	http.ResponseWriter
	bytes *int
}

func (w countedWriter) Write(data []byte) (int, error) {
	*w.bytes += len(data)
	return w.ResponseWriter.Write(data)
}

func newCacheRig(t *testing.T) *cacheRig {
	var fabric standin.Fabric
	r := &cacheRig{t: t, now: time.Unix(1000, 0), client: upstream.New(), fed: make(chan engine.Event, 1000)}
	r.cache = newCache(r.read, func(e engine.Event) error {
		r.fed <- e
		return nil
	})
	for i, name := range []string{"a", "b"} {
		served := fabric.Engine(instance.ID(name))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			served.ServeHTTP(countedWriter{w, &r.bytes}, request)
		}))
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		seen := engine.NewUpstream(instance.ReplicaID(name), address, "dc").
			WithLoad(instance.NewLoad(2*i, 0, 0), r.now)
		r.engines, r.seen = append(r.engines, served), append(r.seen, seen)
		r.load(i)
	}
	r.reduce(engine.NewConfigured(engine.NewSettings("d", "dc")))
	r.route(nil)
	return r
}

// read reads cache events, unless it is a whole list and such a read shall fail.
func (r *cacheRig) read(ctx context.Context, address string, after uint64) (instance.BootID, []upstream.CacheEvent, error) {
	if after == 0 && r.failing > 0 {
		r.failing--
		return "", nil, errors.New("the list is cut short")
	}
	return r.client.Cache(ctx, address, after)
}

// load makes an engine hold its replica.
func (r *cacheRig) load(i int) {
	order := fmt.Sprintf(`{"verb":"load","replica":"%s","fence":1,"model":"m","members":["%[1]s"]}`, r.seen[i].Replica())
	answer := httptest.NewRecorder()
	r.engines[i].ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/order", strings.NewReader(order)))
	if answer.Code/100 != 2 {
		r.t.Fatal(answer.Code, answer.Body)
	}
}

// reduce takes in an event and carries out what follows, reads included; it returns where a call was sent.
func (r *cacheRig) reduce(e engine.Event) (sent *engine.Send) {
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
func (r *cacheRig) look() {
	for range 2 * len(r.engines) {
		r.now = r.now.Add(2 * time.Second)
		r.reduce(engine.NewTicked())
		r.take()
	}
}

// take takes in what the reads that run tell, and what follows.
func (r *cacheRig) take() {
	for {
		r.settle()
		select {
		case e := <-r.fed:
			r.reduce(e)
		default:
			return
		}
	}
}

// settle waits until no read runs.
func (r *cacheRig) settle() {
	for range cacheReads {
		r.cache.slots <- struct{}{}
	}
	for range cacheReads {
		<-r.cache.slots
	}
}

// route returns where a call with prefix goes, which ends at once.
func (r *cacheRig) route(prefix []uint64) instance.ReplicaID {
	r.calls++
	call := caller.NewCall(r.calls, caller.Model, "m", "o", r.now.Add(time.Minute)).
		WithHashes(uint64(r.calls), prefix)
	sent := r.reduce(engine.NewSubmitted(call))
	r.reduce(engine.NewCompleted(sent.Attempt()))
	return sent.Replica()
}

// ask runs prompts of word at the first engine until the hash of one prefers the other; it returns its prefix blocks.
func (r *cacheRig) ask(word string) []uint64 {
	for {
		blocks := r.run(word)
		var fresh engine.State
		call := caller.NewCall(1, caller.Model, "m", "o", r.now.Add(time.Minute)).WithHashes(1, blocks)
		for _, effect := range fresh.Reduce(r.now, r, engine.NewSubmitted(call)) {
			if sent, isSend := effect.(engine.Send); isSend && sent.Replica() == other {
				return blocks
			}
		}
		word += "s"
	}
}

// run runs a prompt of word at the first engine and returns its prefix blocks.
func (r *cacheRig) run(word string) []uint64 {
	ctx, address := context.Background(), r.seen[0].Address()
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
	r.told += len(blocks)
	return blocks
}

func TestCacheReads(t *testing.T) {
	Convey("Given two replicas of which the first runs prompts that are preferred at the second", t, func() {
		r := newCacheRig(t)
		r.look()
		first := r.ask("first")
		So(len(first), ShouldBeGreaterThan, 2)
		r.look()

		Convey("A call goes to the one that caches its prefix, others do not", func() {
			So(r.route(first), ShouldEqual, caching)
			So(r.route(r.ask("unread")), ShouldEqual, other)
			So(r.resyncs, ShouldEqual, 0)
		})

		Convey("After a gap the whole list is read again", func() {
			second := r.ask("second")
			r.engines[0].DropEvents(r.told)
			third := r.ask("third")
			r.look()
			So(r.resyncs, ShouldEqual, 1)
			So(r.route(third), ShouldEqual, caching)
			So(r.route(first), ShouldEqual, other)
			So(r.route(second), ShouldEqual, other)
		})

		Convey("After a restart nothing counts as cached, and reading begins anew", func() {
			r.engines[0].Crash()
			r.engines[0].Start()
			r.load(0)
			r.look()
			So(r.resyncs, ShouldEqual, 1)
			So(r.route(first), ShouldEqual, other)
			second := r.ask("second")
			r.look()
			So(r.route(second), ShouldEqual, caching)
			So(r.resyncs, ShouldEqual, 1)
		})

		Convey("A restart shows also when the new process has told more than the old one", func() {
			r.engines[0].Crash()
			r.engines[0].Start()
			r.load(0)
			second := append(r.ask("second"), r.ask("third")...)
			r.look()
			So(r.resyncs, ShouldEqual, 1)
			So(r.route(first), ShouldEqual, other)
			So(r.route(second[:len(second)/2]), ShouldEqual, caching)
		})

		Convey("A whole list that could not be read is asked for again", func() {
			r.engines[0].Crash()
			r.engines[0].Start()
			r.load(0)
			second := r.ask("second")
			r.failing = 1
			r.look()
			So(r.failing, ShouldEqual, 0)
			So(r.resyncs, ShouldEqual, 2)
			So(r.route(second), ShouldEqual, caching)
		})

		Convey("Reading costs no more than the decisions reckon with", func() {
			for i := range 40 {
				r.ask(fmt.Sprintf("word%d", i))
			}
			r.bytes = 0
			_, events, err := r.client.Cache(context.Background(), r.seen[0].Address(), 0)
			So(err, ShouldBeNil)
			t.Logf("%d bytes for %d cache events", r.bytes, len(events))
			So(len(events), ShouldBeGreaterThan, 200)
			So(r.bytes, ShouldBeLessThanOrEqualTo, answerBytes+eventBytes*len(events))
		})
	})
}

func TestCacheUnread(t *testing.T) {
	Convey("Until the events are read, a call does not go where its prefix is cached", t, func() {
		r := newCacheRig(t)
		r.look()
		So(r.route(r.ask("first")), ShouldEqual, other)
	})
}

func TestCacheBounds(t *testing.T) {
	Convey("Reads beyond the bound are left out, and the loop does not wait for them", t, func() {
		started, gate := make(chan struct{}, 2*cacheReads), make(chan struct{})
		slow := func(context.Context, string, uint64) (instance.BootID, []upstream.CacheEvent, error) {
			started <- struct{}{}
			<-gate
			return "boot", nil, nil
		}
		fed := make(chan engine.Event, 2*cacheReads)
		c := newCache(slow, func(e engine.Event) error {
			fed <- e
			return nil
		})
		for range 2 * cacheReads {
			c.read(context.Background(), engine.ReadCacheEvents{})
		}
		for range cacheReads {
			<-started
		}
		close(gate)
		for range cacheReads {
			<-fed
		}
		So(len(started), ShouldEqual, 0)
		So(len(fed), ShouldEqual, 0)
	})
}
