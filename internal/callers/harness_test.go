package callers

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurepond/azurepond/internal/standin"
	"github.com/azurepond/azurepond/internal/upstream"
	"github.com/azurepond/azurepond/pkg/caller"
	"github.com/azurepond/azurepond/pkg/engine"
	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/reducer"
)

// startTime is the start of the fake clock of each harness.
var startTime = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

const testKey = "test-key"

// harness is the server of one daemon with the real reducer and two replicas of two stand-in engines each.
type harness struct {
	mutex     sync.Mutex
	state     reducer.State
	now       time.Time
	fleet     operator.Fleet
	server    *Server
	engines   []*standin.Engine
	addresses [4]string
	url       string
	sendCount int
}

func newHarness(t testing.TB) *harness {
	h := &harness{now: startTime}
	h.server = New("entry-1", h, upstream.New())
	h.server.clock = func() time.Time { return startTime }
	h.startEngines(t)
	h.feed(reducer.NewStarted(reducer.NewSettings("entry-1", "1", "here", 1)))
	config, err := operator.ParseConfig("test", testConfiguration())
	if err != nil {
		t.Fatal(err)
	}
	fleet := operator.NewFleet(1, config.WithRevision(1))
	h.feed(reducer.NewOperatorEvent(operator.NewConfigReceived(fleet.JSON())))
	h.feed(reducer.NewListed(1, h.instances()))
	h.feed(reducer.NewInstanceEvent(instance.NewRecordReceived("demo", 1, []byte(testRecord))))
	for range startupTicks {
		h.tick()
	}
	server := httptest.NewServer(h.server)
	t.Cleanup(server.Close)
	h.url = server.URL
	return h
}

func testConfiguration() []byte {
	return fmt.Appendf(nil, `team: demo
models:
  - {name: drafts, pool: demo, span: 2, accelerators: 8, bytes: 1000, replicas: 2, fencing: true}
organisations:
  - {name: cloakroom, share: 1, targets: [drafts], key: %s, priority: 1, flight: 100}
weights: {downtime: 10, stranding: 1}
deadlines: {first: 10s, whole: 30s}
limits: {queue: 64, body: 4096}
`, operator.NewHash(testKey))
}

const testRecord = `{"pool":"demo","fence":1,"replicas":[
{"name":"r1","model":"drafts","fence":1,"members":[{"id":"w0","boot":"b"},{"id":"w1","boot":"b"}]},
{"name":"r2","model":"drafts","fence":1,"members":[{"id":"w2","boot":"b"},{"id":"w3","boot":"b"}]}]}`

// startEngines starts four stand-in engines and orders them to form two replicas.
func (h *harness) startEngines(t testing.TB) {
	cluster := &standin.Cluster{}
	for i := range 4 {
		engine := cluster.Engine(instance.ID(fmt.Sprintf("w%d", i)))
		h.engines = append(h.engines, engine)
		lead := i - i%2
		order := fmt.Sprintf(`{"verb":"load","replica":"r%d","fence":1,"model":"drafts","rank":%d,"members":["w%d","w%d"]}`,
			i/2+1, i%2, lead, lead+1)
		request := httptest.NewRequest("POST", "/order", strings.NewReader(order))
		engine.ServeHTTP(httptest.NewRecorder(), request)
	}
	for i := range 4 {
		server := httptest.NewServer(h.engines[i])
		t.Cleanup(server.Close)
		h.addresses[i] = strings.TrimPrefix(server.URL, "http://")
	}
}

func (h *harness) instances() []instance.Instance {
	var instances []instance.Instance
	for i, address := range h.addresses {
		instances = append(instances, instance.NewInstance(instance.ID(fmt.Sprintf("w%d", i)), address, "rack", "here", 8))
	}
	return instances
}

// probeAll feeds a probe result for each engine, which says that it is ready.
func (h *harness) probeAll() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for i := range 4 {
		assignment := instance.NewAssignment(instance.ReplicaID(fmt.Sprintf("r%d", i/2+1)), 1)
		id := instance.ID(fmt.Sprintf("w%d", i))
		result := instance.NewProbeResult(id, "b", assignment, instance.PhaseReady, instance.Load{}, "entry-1", h.now)
		h.reduce(reducer.NewInstanceEvent(instance.NewProbed(result)))
	}
}

func (h *harness) feed(e reducer.Event) { _ = h.Feed(e) }

// Feed applies an event. It advances the clock while a call is held because its content is suspected of crashing
// engines.
func (h *harness) Feed(e reducer.Event) error {
	h.mutex.Lock()
	h.reduce(e)
	h.mutex.Unlock()
	for range maxVerdictTicks {
		if !h.hasHeldCalls() {
			break
		}
		h.tick()
	}
	return nil
}

// tick probes all engines and advances the clock by one tick.
func (h *harness) tick() {
	h.probeAll()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.now = h.now.Add(tickInterval)
	h.reduce(reducer.NewTicked())
}

// The interval between ticks, the number of ticks until the daemon has its slots, and the number after which a verdict
// on held content must have been reached.
const (
	tickInterval    = 100 * time.Millisecond
	startupTicks    = 50
	maxVerdictTicks = 100
)

func (h *harness) hasHeldCalls() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.state.EngineView().Held() > 0
}

// reduce applies an event and executes the effects on calls.
func (h *harness) reduce(e reducer.Event) {
	for _, effect := range h.state.Reduce(h.now, e) {
		switch effect := effect.(type) {
		case reducer.Reconfigured:
			h.fleet = effect.Fleet()
		case reducer.CallerEffect:
			if reject, isReject := effect.Effect().(caller.Reject); isReject {
				h.server.Reject(reject)
			}
		case reducer.EndCalls:
			h.server.EndCalls()
		case reducer.EngineEffect:
			if _, isSend := effect.Effect().(engine.Send); isSend {
				h.sendCount++
			}
			h.server.ExecuteEngine(effect.Effect())
		}
	}
}

func (h *harness) Fleet() operator.Fleet {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.fleet
}

func (h *harness) Addresses(_ context.Context, dataCentre string) (caller.Addresses, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.state.Addresses(dataCentre), nil
}
