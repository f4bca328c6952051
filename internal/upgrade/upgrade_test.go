package upgrade

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurepond/azurepond/platform/standin"
)

var (
	oldPath = flag.String("upgrade.old", "", "path of the azurepond binary of the earlier build; the test binary if empty")
	seed    = flag.Uint64("upgrade.seed", 1, "seed of the test")
	dwell   = flag.Duration("upgrade.dwell", 4*time.Second, "how long the deployment stays half replaced")
	logDir  = flag.String("upgrade.logs", "", "directory to which the logs of all daemons are copied")
)

const (
	daemonCount = 6
	engineCount = 8
)

// Bounds of the deployment.
const (
	stopTimeout    = 6 * time.Second // the grace period of the settings is 4 s
	readyTimeout   = 10 * time.Second
	configBound    = 2 * time.Second // config-apply-ms in the settings
	servedInterval = 2 * time.Second // in each, requests of each kind are served
)

// deployment is the daemons, the platform and the callers.
type deployment struct {
	t          *testing.T
	results    *results
	fleet      *standin.Fleet
	engines    []*standin.Upstream
	nextEngine int
	daemons    []*daemon
	random     *rand.Rand

	mutex        sync.Mutex
	version      int       // of the configuration in the store
	writtenAt    time.Time // when it was written
	recordEpoch  uint64    // the highest epoch of the replica record seen
	recordedOnce bool      // the record had replicas
}

func newDeployment(t *testing.T, old build) *deployment {
	d := &deployment{
		t: t, fleet: &standin.Fleet{Store: &standin.Store{}}, random: rand.New(rand.NewPCG(*seed, 11)),
		results: &results{served: map[string]int{}, statuses: map[int]int{}},
	}
	for range engineCount {
		d.addEngine()
	}
	for i := range 2 {
		if _, err := d.fleet.NewService(fmt.Sprintf("desk-%d", i), "desk"); err != nil {
			t.Fatal(err)
		}
	}
	d.configure()
	for i := range daemonCount {
		first := ""
		if i > 0 {
			first = d.daemons[0].control
		}
		d.daemons = append(d.daemons, newDaemon(t, i, first, d.fleet.Store))
	}
	for _, daemon := range d.daemons {
		daemon.start(old)
	}
	return d
}

func (d *deployment) addEngine() {
	e, err := d.fleet.NewEngine(fmt.Sprintf("i-%d", d.nextEngine), "engines", "d1")
	if err != nil {
		d.t.Fatal(err)
	}
	d.nextEngine++
	d.engines = append(d.engines, e)
}

// replaceEngine has a random engine announce in its answers that it leaves, adds another one, and stops the first one later.
func (d *deployment) replaceEngine(ctx context.Context) {
	i := d.random.IntN(len(d.engines))
	e := d.engines[i]
	d.engines = slices.Delete(d.engines, i, i+1)
	d.addEngine()
	e.AnnounceLeaving()
	sleep(ctx, 2*time.Second)
	e.Kill(300 * time.Millisecond)
}

// configure writes the next version of the configuration, which has a route of its own.
func (d *deployment) configure() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	type o = map[string]any
	calls := func(name, prefix string) o {
		return o{
			"name": name, "host": "p", "path-prefix": prefix, "type": "non_idempotent", "timeout-ms": 2000,
			"goal-ms": 500, "service": "desk", "attempts": 1, "public": true,
		}
	}
	err := d.fleet.Store.Write("config", "main", o{
		"version": d.version + 1,
		"routes": []any{
			o{
				"name": "draft", "host": "p", "path-prefix": "/draft/", "type": "stream", "timeout-ms": 4000, "goal-ms": 500,
				"service": "engines", "attempts": 2, "resumable": true, "public": true,
			},
			calls("issue", "/issue/"), calls("version", versionPath(d.version+1)),
		},
		"services": []any{
			o{"name": "engines", "runtime": o{
				"slots": 8, "stride": 5, "step_ms": 1, "per_seq_ms": 0.1, "read_per_s": 46000,
				"form-ms": 50, "loads-per-s": 100, "loads_at_once": 100, "far_x": 2,
				"models": []any{o{"name": "m", "size": 2, "share": 1, "pace": 1, "load-s": 0.1, "warm-s": 0.05}},
			}},
			o{"name": "desk"},
		},
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.version, d.writtenAt = d.version+1, time.Now()
}

func versionPath(version int) string { return fmt.Sprintf("/version-%d/", version) }

func (d *deployment) currentVersion() (version int, writtenAt time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.version, d.writtenAt
}

// checkVersions sends requests to the routes of the newest and the previous version at one daemon. It fails if a process applies a
// version later than the bound allows, or handles a request as only an older version allows once it has applied one.
func (d *deployment) checkVersions(ctx context.Context, at *daemon) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	applied, generation := 0, 0
	for n := 0; ctx.Err() == nil; n++ {
		version, writtenAt := d.currentVersion()
		isDue := time.Since(writtenAt) > configBound
		for _, asked := range []int{version, version - 1} {
			before, build := at.current()
			if before != generation {
				applied, generation = 0, before
			}
			a := send(client, at.callers, versionPath(asked)+"x", fmt.Sprintf("v-%s-%d-%d", at.name(), n, asked))
			now, _ := at.current()
			if next, _ := d.currentVersion(); now != generation || next != version {
				continue // the answer may be of the next process or version
			}
			switch {
			case a.status == http.StatusOK && asked < applied, a.status == http.StatusOK && asked < version && isDue:
				d.results.fail("%s (%s) serves version %d after %d", at.name(), build, asked, max(applied, version))
			case a.status == http.StatusOK:
				applied = max(applied, asked)
			case a.status == http.StatusNotFound && asked == version && (isDue || asked == applied):
				d.results.fail("%s (%s) has no route of version %d", at.name(), build, asked)
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// checkRecord reads the replica record. It fails if an instance is in two replicas, if the epoch decreases, or if the record loses
// all its replicas.
func (d *deployment) checkRecord(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		recorder := httptest.NewRecorder()
		d.fleet.Store.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/api/objects/azurepond-replicas/main", nil))
		if recorder.Code != http.StatusOK {
			continue
		}
		var record struct {
			Spec struct {
				Fence  uint64 `json:"fence"`
				Groups []struct {
					Members []struct {
						ID string `json:"id"`
					} `json:"members"`
				} `json:"groups"`
			} `json:"spec"`
		}
		if err := json.Unmarshal(recorder.Body.Bytes(), &record); err != nil {
			d.results.fail("replica record: %v", err)
			continue
		}
		seen := map[string]bool{}
		for _, g := range record.Spec.Groups {
			for _, m := range g.Members {
				if seen[m.ID] {
					d.results.fail("%s is in two replicas", m.ID)
				}
				seen[m.ID] = true
			}
		}
		if record.Spec.Fence < d.recordEpoch {
			d.results.fail("epoch of the replica record decreases from %d to %d", d.recordEpoch, record.Spec.Fence)
		}
		if d.recordedOnce && len(seen) == 0 {
			d.results.fail("replica record is empty")
		}
		d.recordEpoch, d.recordedOnce = record.Spec.Fence, d.recordedOnce || len(seen) > 0
	}
}

// checkServing fails if no request of a kind is served in an interval.
func (d *deployment) checkServing(ctx context.Context) {
	for _, path := range []string{draftPath, issuePath} {
		go func() {
			last := d.results.servedOn(path)
			for {
				sleep(ctx, servedInterval)
				if ctx.Err() != nil {
					return
				}
				served := d.results.servedOn(path)
				if served == last {
					d.results.fail("no request on %s served for %s", path, servedInterval)
				}
				last = served
			}
		}()
	}
}

// replace replaces some daemons one after the other by another build.
func (d *deployment) replace(to build, daemons ...*daemon) {
	for _, daemon := range daemons {
		if !daemon.stop(stopTimeout) {
			d.results.fail("%s (%s) did not exit after SIGTERM", daemon.name(), daemon.build.name)
			daemon.kill()
		}
		daemon.start(to)
		if !daemon.isReady(readyTimeout) {
			d.results.fail("%s (%s) is not ready", daemon.name(), to.name)
		}
	}
}

// replaceAll replaces all daemons by another build. While half of them are replaced, the configuration changes and an engine
// leaves.
func (d *deployment) replaceAll(ctx context.Context, to build) {
	order := d.random.Perm(daemonCount)
	daemons := make([]*daemon, 0, daemonCount)
	for _, i := range order {
		daemons = append(daemons, d.daemons[i])
	}
	d.configure()
	d.replace(to, daemons[:daemonCount/2]...)
	d.configure()
	d.replaceEngine(ctx)
	sleep(ctx, *dwell-2*time.Second)
	d.checkMixed()
	d.replace(to, daemons[daemonCount/2:]...)
}

// TestUpgrade replaces all daemons by another build under load, and back. It fails if the builds don't read each other's messages
// and documents, or if a rule is broken meanwhile.
func TestUpgrade(t *testing.T) {
	before, after := build{"old", *oldPath}, build{"new", ""}
	d := newDeployment(t, before)
	for _, daemon := range d.daemons {
		if !daemon.isReady(readyTimeout) {
			t.Fatalf("%s is not ready", daemon.name())
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	var resolvers []string
	for _, daemon := range d.daemons {
		resolvers = append(resolvers, daemon.directory)
		group.Go(func() { d.checkVersions(ctx, daemon) })
	}
	group.Go(func() { d.checkRecord(ctx) })
	for i := range callerCount {
		group.Go(func() { newCaller("draft", i, draftPath, resolvers).run(ctx, d.results, false) })
		group.Go(func() { newCaller("issue", i, issuePath, resolvers).run(ctx, d.results, true) })
	}
	for end := time.Now().Add(readyTimeout); d.results.servedOn(draftPath) < 100; sleep(ctx, 50*time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("fewer than 100 streams served after the start")
		}
	}
	d.checkServing(ctx)
	d.replaceAll(ctx, after)
	d.replaceAll(ctx, before)
	cancel()
	group.Wait()
	d.checkRuns()
	d.checkLogs()
	t.Logf("served %v, statuses %v, broken %d", d.results.served, d.results.statuses, len(d.results.broken))
	for _, failure := range d.results.failures {
		t.Error(failure)
	}
}

// checkRuns fails if a request that may run once ran twice, ran although it was refused, or was passed on or held and then lost.
func (d *deployment) checkRuns() {
	r := d.results
	for _, id := range r.once {
		if d.fleet.RunCount(id) > 1 {
			r.fail("%s ran %d times", id, d.fleet.RunCount(id))
		}
	}
	for _, id := range r.refused {
		if d.fleet.RunCount(id) > 0 {
			r.fail("%s was refused and ran", id)
		}
	}
	for _, b := range r.broken {
		if d.fleet.RunCount(b.id) > 0 || b.after > lossSlack {
			r.fail("%s at %s ended after %s without a complete answer, runs: %d: %v", b.id, b.daemon, b.after, d.fleet.RunCount(b.id), b.err)
		}
	}
}

// logText returns the logs of all processes of a daemon.
func (d *deployment) logText(at *daemon) string {
	var b strings.Builder
	for _, name := range at.logs {
		text, err := os.ReadFile(name)
		if err != nil {
			d.t.Fatal(err)
		}
		b.Write(text)
	}
	return b.String()
}
