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

// begin is when every rig's clock starts; it moves only when a test says so.
var begin = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

const testKey = "test-key"

// rig is the callers' listener of one daemon with the real decisions, before two replicas of two stand-in engines.
type rig struct {
	mutex    sync.Mutex
	state    reducer.State
	now      time.Time
	fleet    operator.Fleet
	server   *Server
	engines  []*standin.Engine
	listen   [4]string
	url      string
	attempts int
}

func newRig(t testing.TB) *rig {
	r := &rig{now: begin}
	r.server = New("entry-1", r, upstream.New())
	r.server.clock = func() time.Time { return begin }
	r.startEngines(t)
	r.feed(reducer.NewStarted(reducer.NewSettings("entry-1", "1", "here", 1)))
	config, err := operator.ParseConfig("test", testConfiguration())
	if err != nil {
		t.Fatal(err)
	}
	fleet := operator.NewFleet(1, config.WithRevision(1))
	r.feed(reducer.NewOperatorEvent(operator.NewConfigReceived(fleet.JSON())))
	r.feed(reducer.NewListed(1, r.listed()))
	r.feed(reducer.NewInstanceEvent(instance.NewRecordReceived("demo", 1, []byte(testRecord))))
	for range settleTicks {
		r.pass()
	}
	server := httptest.NewServer(r.server)
	t.Cleanup(server.Close)
	r.url = server.URL
	return r
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

// startEngines starts four stand-in engines and orders them into two replicas.
func (r *rig) startEngines(t testing.TB) {
	fabric := &standin.Cluster{}
	for i := range 4 {
		engine := fabric.Engine(instance.ID(fmt.Sprintf("w%d", i)))
		r.engines = append(r.engines, engine)
		lead := i - i%2
		order := fmt.Sprintf(`{"verb":"load","replica":"r%d","fence":1,"model":"drafts","rank":%d,"members":["w%d","w%d"]}`,
			i/2+1, i%2, lead, lead+1)
		request := httptest.NewRequest("POST", "/order", strings.NewReader(order))
		engine.ServeHTTP(httptest.NewRecorder(), request)
	}
	for i := range 4 {
		server := httptest.NewServer(r.engines[i])
		t.Cleanup(server.Close)
		r.listen[i] = strings.TrimPrefix(server.URL, "http://")
	}
}

func (r *rig) listed() []instance.Instance {
	var instances []instance.Instance
	for i, address := range r.listen {
		instances = append(instances, instance.NewInstance(instance.ID(fmt.Sprintf("w%d", i)), address, "rack", "here", 8))
	}
	return instances
}

// sight brings fresh evidence that all engines are ready.
func (r *rig) sight() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := range 4 {
		place := instance.NewAssignment(instance.ReplicaID(fmt.Sprintf("r%d", i/2+1)), 1)
		id := instance.ID(fmt.Sprintf("w%d", i))
		sighting := instance.NewProbeResult(id, "b", place, instance.PhaseReady, instance.Load{}, "entry-1", r.now)
		r.reduce(reducer.NewInstanceEvent(instance.NewProbed(sighting)))
	}
}

func (r *rig) feed(e reducer.Event) { _ = r.Feed(e) }

// Feed applies an event; while a call waits for a verdict about its content, time passes.
func (r *rig) Feed(e reducer.Event) error {
	r.mutex.Lock()
	r.reduce(e)
	r.mutex.Unlock()
	for range maxTicks {
		if !r.holds() {
			break
		}
		r.pass()
	}
	return nil
}

// pass lets one tick pass, with fresh evidence.
func (r *rig) pass() {
	r.sight()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.now = r.now.Add(tick)
	r.reduce(reducer.NewTicked())
}

// tick is the time between two ticks; settleTicks is how many of them bring the daemon its slots, and maxTicks how many
// a verdict takes at most.
const (
	tick        = 100 * time.Millisecond
	settleTicks = 50
	maxTicks    = 100
)

func (r *rig) holds() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.EngineView().Held() > 0
}

// reduce applies an event and carries out those effects that concern calls.
func (r *rig) reduce(e reducer.Event) {
	for _, effect := range r.state.Reduce(r.now, e) {
		switch effect := effect.(type) {
		case reducer.Reconfigured:
			r.fleet = effect.Fleet()
		case reducer.CallerEffect:
			if reject, isReject := effect.Effect().(caller.Reject); isReject {
				r.server.Reject(reject)
			}
		case reducer.EngineEffect:
			if _, isSend := effect.Effect().(engine.Send); isSend {
				r.attempts++
			}
			r.server.ExecuteEngine(effect.Effect())
		}
	}
}

func (r *rig) Fleet() operator.Fleet {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.fleet
}

func (r *rig) Addresses(_ context.Context, dataCentre string) (caller.Addresses, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.Addresses(dataCentre), nil
}
