package commands_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/azurepond/azurepond/internal/admin"
	named "github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/pkg/object"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
)

// fakeDaemon runs the reducer of pkg/operator on an in-memory store. Its clock advances only while a request waits.
type fakeDaemon struct {
	mutex            sync.Mutex
	state            operator.State
	now              time.Time
	version          int
	data             []byte
	lostReplies      int
	storeUnavailable bool
	failAfterWrite   bool
	statuses         []admin.Status
	registry         metrics.Registry
	outcomes         map[operator.RequestID]operator.Outcome
}

func newFakeDaemon() *fakeDaemon {
	d := &fakeDaemon{
		now:      time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC),
		registry: metrics.NewRegistry(),
		outcomes: map[operator.RequestID]operator.Outcome{},
	}
	metrics.GetOrRegisterCounter(named.RegistryName("azurepond_calls_total", named.NewLabel("organisation", "odeon"),
		named.NewLabel("outcome", "answered")), d.registry).Inc(12)
	metrics.GetOrRegisterCounter(named.RegistryName("azurepond_calls_total", named.NewLabel("organisation", "liceo"),
		named.NewLabel("outcome", "answered")), d.registry).Inc(7)
	metrics.GetOrRegisterGauge("azurepond_revision", d.registry).Update(1)
	d.reduce(operator.NewConfigured("entry-1", 1))
	return d
}

// runDirective runs a line of a script that is not a command.
func (d *fakeDaemon) runDirective(arguments []string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch arguments[0] {
	case "lose-reply": // the reply to the next write is lost
		d.lostReplies++
	case "fail-after-write": // the next write succeeds, its reply is lost, and the store is unavailable afterwards
		d.failAfterWrite = true
	case "store-down":
		d.storeUnavailable = true
	case "store-up":
		d.storeUnavailable = false
	case "status": // serves the statuses in the files in turn, then the last one
		d.statuses = nil
		for _, path := range arguments[1:] {
			data, err := os.ReadFile(path)
			if err != nil {
				return trace.Wrap(err)
			}
			status, err := admin.ParseStatus(data)
			if err != nil {
				return trace.Wrap(err)
			}
			d.statuses = append(d.statuses, status)
		}
	default:
		return trace.BadParameter("no such directive: %s", arguments[0])
	}
	return nil
}

func (d *fakeDaemon) reduce(e operator.Event) {
	for _, effect := range d.state.Reduce(d.now, fakeResolver{}, e) {
		switch effect := effect.(type) {
		case operator.Answer:
			d.outcomes[effect.Request()] = effect.Outcome()
		case operator.Store:
			d.reduce(operator.NewStoreCompleted(d.store(effect.Request())))
		}
	}
}

func (d *fakeDaemon) store(request object.Request) object.Result {
	if d.storeUnavailable {
		return object.NewRefused(request.Ref(), "unavailable")
	}
	put, isPut := request.(object.Put)
	current := object.Version(fmt.Sprint(d.version))
	switch {
	case !isPut && d.version == 0:
		return object.NewAbsent(request.Ref())
	case !isPut:
		return object.NewFound(request.Ref(), current, d.data)
	case d.version > 0 && put.ExpectedVersion() != current, d.version == 0 && put.ExpectedVersion() != "":
		return object.NewConflict(request.Ref())
	}
	d.version++
	d.data = put.Data()
	if d.lostReplies > 0 || d.failAfterWrite {
		d.lostReplies = max(0, d.lostReplies-1)
		d.storeUnavailable, d.failAfterWrite = d.failAfterWrite, false
		return object.NewLost(request.Ref())
	}
	return object.NewStored(request.Ref(), object.Version(fmt.Sprint(d.version)))
}

func (d *fakeDaemon) Submit(_ context.Context, e operator.Event) (operator.Outcome, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clear(d.outcomes)
	d.reduce(e)
	for len(d.outcomes) == 0 {
		d.now = d.now.Add(time.Second)
		d.reduce(operator.Ticked{})
	}
	for _, outcome := range d.outcomes {
		return outcome, nil
	}
	return nil, trace.NotFound("no answer")
}

func (d *fakeDaemon) Fleet() operator.Fleet {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.state.Fleet()
}

func (d *fakeDaemon) Status() admin.Status {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.statuses) == 0 {
		return admin.NewStatus("entry-1", d.state.Fleet().Revision(), nil, nil,
			[]admin.Entry{admin.NewEntry("entry-1", "athens", admin.StateAlive, d.state.Fleet().Revision(), 0)}, nil)
	}
	status := d.statuses[0]
	if len(d.statuses) > 1 {
		d.statuses = d.statuses[1:]
	}
	return status
}

func (d *fakeDaemon) Dump(part string) (any, error) {
	if part != "" && part != "operator" {
		return nil, trace.NotFound("there is no part %q", part)
	}
	return map[string]any{"operator": map[string]any{"revision": d.Fleet().Revision()}}, nil
}

// fakeResolver resolves a few targets to the model or service that owns them. An entry has no owner.
type fakeResolver struct{}

func (fakeResolver) ResolveTarget(_ operator.Kind, target string) (owner string, known bool) {
	switch target {
	case "notices-1", "worker-1":
		return "notices", true
	case "recipes-1":
		return "recipes", true
	case "127.0.0.1:9301":
		return "tickets", true
	case "entry-2":
		return "", true
	}
	return "", false
}
