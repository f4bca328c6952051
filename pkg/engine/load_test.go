package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/azurepond/azurepond/pkg/caller"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	measuredEngines    = 50
	measuredDaemons    = 8
	measuredMeanTokens = 100 // per call
	measuredWarmUp     = 15 * time.Second
	measuredDuration   = 45 * time.Second
	measuredTimeout    = 15 * time.Second
	measuredMaxPrompts = 200 // distinct prompts
)

// loadRun configures one measured run of the fake fleet.
type loadRun struct {
	load            float64 // fraction of maxCallRate
	seed            uint64
	newRouter       func(int) router
	staticAdmission bool
	floodLoad       float64 // additional calls of organisation o0, as a fraction of maxCallRate
	prepare         func(*fleet)
}

// measurements are the results of a run.
type measurements struct {
	firstTokens    *hdrhistogram.Histogram
	answeredInTime map[string]int
	submitted      map[string]int
	overcommit     float64
	sends          int
	fleet          *fleet
	totalInTime    int
}

func newState(int) router { return &State{} }

func newRandomRouter(i int) router { return newNaiveRouter(uint64(i)) }

// measuredOrganisations returns ten organisations, three of them with a large weight.
func measuredOrganisations() []caller.Organisation {
	var result []caller.Organisation
	for i := range 10 {
		weight := 1
		if i < 3 {
			weight = 3
		}
		result = append(result, caller.NewOrganisation(fmt.Sprintf("o%d", i), weight))
	}
	return result
}

// maxCallRate returns how many calls per second all slots can run.
func maxCallRate() float64 {
	callTime := fakePrefillTime/2 + measuredMeanTokens*fakeTokenInterval
	return measuredEngines * fakeSlots / callTime.Seconds()
}

func (r loadRun) run() measurements {
	f := newFleet(r.seed, measuredEngines)
	f.startDaemons(fleetConfig{measuredDaemons, measuredOrganisations(), r.newRouter, r.staticAdmission})
	if r.prepare != nil {
		r.prepare(f)
	}
	begin := f.now.Add(measuredWarmUp)
	end := begin.Add(measuredDuration)
	weights := []int{3, 3, 3, 1, 1, 1, 1, 1, 1, 1}
	rate := r.load * maxCallRate()
	for organisation, weight := range weights {
		f.scheduleCalls(fmt.Sprintf("o%d", organisation), rate*float64(weight)/16, end)
	}
	if r.floodLoad > 0 {
		f.scheduleCalls("o0", r.floodLoad*maxCallRate(), end)
	}
	overcommit := f.trackOvercommit(begin, end)
	f.runUntil(end.Add(measuredTimeout))
	return f.measure(begin, end, overcommit)
}

// scheduleCalls schedules the calls of one organisation at rate per second. All calls are drawn before the run starts,
// so that runs with the same seed are comparable.
func (f *fleet) scheduleCalls(organisation string, rate float64, end time.Time) {
	for at := f.now; ; {
		at = at.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		if at.After(end) {
			return
		}
		wantTokens := 1 + int(f.random.ExpFloat64()*measuredMeanTokens)
		d := f.daemons[f.random.IntN(len(f.daemons))]
		f.lastOrder++
		id := caller.ID(f.lastOrder)
		prompt := uint64(min(f.random.ExpFloat64()*measuredMaxPrompts/4, measuredMaxPrompts)) + 1
		f.after(at.Sub(f.now), func() {
			call := caller.NewCall(id, caller.Model, fakeModel, organisation, f.now.Add(measuredTimeout)).WithIdempotent()
			d.arrive(call.WithHashes(uint64(id)<<8, []uint64{prompt}), wantTokens)
		})
	}
}

// trackOvercommit samples the ratio by which the running calls exceed the capacity, every 100 ms. After the run, the
// returned variable holds the largest one.
func (f *fleet) trackOvercommit(begin, end time.Time) *float64 {
	worst := new(float64)
	f.every(100*time.Millisecond, func() {
		if f.now.Before(begin) || f.now.After(end) {
			return
		}
		running, slots := 0, 0
		for _, d := range f.daemons {
			running += len(d.jobs)
		}
		for _, e := range f.engines {
			if !e.crashed {
				slots += fakeSlots * fakeCallsPerTenSlots
			}
		}
		*worst = max(*worst, float64(running*10)/float64(slots)-1)
	})
	return worst
}

func (f *fleet) measure(begin, end time.Time, overcommit *float64) measurements {
	m := measurements{
		hdrhistogram.New(1, 1_000_000, 3),
		map[string]int{},
		map[string]int{},
		*overcommit,
		f.invariants.sends,
		f,
		0,
	}
	for _, r := range f.results {
		if r.arrived.Before(begin) || r.arrived.After(end) {
			continue
		}
		m.submitted[r.call.Organisation()]++
		if !r.firstToken.IsZero() {
			_ = m.firstTokens.RecordValue(r.firstToken.Sub(r.arrived).Milliseconds())
		}
		if _, isAnswered := r.outcome.(caller.Answered); isAnswered && !r.ended.After(r.call.Deadline()) {
			m.answeredInTime[r.call.Organisation()]++
			m.totalInTime++
		}
	}
	return m
}

// worstShare returns the smallest share of its calls that an organisation got answered in time.
func (m measurements) worstShare() float64 {
	worst := 1.0
	for organisation, submitted := range m.submitted {
		worst = min(worst, float64(m.answeredInTime[organisation])/float64(submitted))
	}
	return worst
}

func (m measurements) String() string {
	submitted := 0
	for _, count := range m.submitted {
		submitted += count
	}
	return fmt.Sprintf("first token ms p50 %4d p95 %5d p99 %5d, in time %5.1f/s of %5.1f/s, worst organisation %.3f, overcommit %.3f, sends %d",
		m.firstTokens.ValueAtQuantile(50), m.firstTokens.ValueAtQuantile(95), m.firstTokens.ValueAtQuantile(99),
		float64(m.totalInTime)/measuredDuration.Seconds(), float64(submitted)/measuredDuration.Seconds(),
		m.worstShare(), m.overcommit, m.sends)
}

// slowEngine makes one engine four times as slow.
func slowEngine(f *fleet) { f.engines[7].slowdown = 4 }

// loseDataCentre crashes all engines of one data centre during the run.
func loseDataCentre(f *fleet) {
	f.after(measuredWarmUp+measuredDuration/3, func() {
		for i, e := range f.engines {
			if i%3 == 1 {
				e.crash()
			}
		}
	})
}

func TestLoad(t *testing.T) {
	Convey("Under load, overcommit, first-token latency and throughput stay within their limits", t, func() {
		at := map[float64]measurements{}
		for _, load := range []float64{0.6, 0.95, 1, 1.5} {
			m := loadRun{load: load, seed: 1, newRouter: newState}.run()
			So(m.fleet.invariants.violations, ShouldBeEmpty)
			So(m.overcommit, ShouldBeLessThanOrEqualTo, 0.05)
			at[load] = m
			t.Logf("%.2f state  %v", load, m)
		}
		naive := loadRun{load: 0.95, seed: 1, newRouter: newRandomRouter}.run()
		t.Logf("0.95 random %v", naive)
		t.Logf("0.95 static %v", loadRun{load: 0.95, seed: 1, newRouter: newRandomRouter, staticAdmission: true}.run())
		t.Logf("1.50 static %v", loadRun{load: 1.5, seed: 1, newRouter: newRandomRouter, staticAdmission: true}.run())
		So(at[0.95].firstTokens.ValueAtQuantile(99), ShouldBeLessThanOrEqualTo, naive.firstTokens.ValueAtQuantile(99)*6/10)
		So(at[1.5].totalInTime, ShouldBeGreaterThanOrEqualTo, at[1].totalInTime*9/10)
	})
}

func TestFloodingOrganisation(t *testing.T) {
	Convey("A flooding organisation costs the others at most 5% of their share", t, func() {
		baseline := loadRun{load: 0.8, seed: 2, newRouter: newState}.run()
		flooded := loadRun{load: 0.8, seed: 2, newRouter: newState, floodLoad: 1}.run()
		t.Logf("base  %v", baseline)
		t.Logf("flood %v", flooded)
		t.Logf("naive %v", loadRun{load: 0.8, seed: 2, newRouter: newRandomRouter, staticAdmission: true, floodLoad: 1}.run())
		for organisation := range baseline.answeredInTime {
			if organisation != "o0" {
				t.Logf("%s %d of %d, %d of %d", organisation, baseline.answeredInTime[organisation], baseline.submitted[organisation], flooded.answeredInTime[organisation], flooded.submitted[organisation])
				So(flooded.answeredInTime[organisation], ShouldBeGreaterThanOrEqualTo, baseline.answeredInTime[organisation]*95/100)
			}
		}
		So(flooded.overcommit, ShouldBeLessThanOrEqualTo, 0.05)
	})
}

// brownout makes all engines four times as slow and limits their queues to one call.
func brownout(f *fleet) {
	f.maxQueue = 1
	for _, e := range f.engines {
		e.slowdown = 4
	}
}

func TestBrownoutRetryBudget(t *testing.T) {
	Convey("Retries stay within their budget in a brownout", t, func() {
		extra := func(m measurements) (sends, allowed float64) {
			submitted := float64(m.fleet.invariants.calls)
			return float64(m.sends) - submitted, submitted*DefaultRetryRatio + measuredDaemons*DefaultRetryBurst
		}
		m := loadRun{load: 0.95, seed: 4, newRouter: newState, prepare: brownout}.run()
		sends, allowed := extra(m)
		t.Logf("state  %v, retries %.0f of %.0f allowed", m, sends, allowed)
		So(m.fleet.invariants.violations, ShouldBeEmpty)
		So(sends, ShouldBeLessThanOrEqualTo, allowed)

		m = loadRun{load: 0.95, seed: 4, newRouter: newRandomRouter, prepare: brownout}.run()
		sends, allowed = extra(m)
		t.Logf("random %v, retries %.0f of %.0f allowed", m, sends, allowed)
		So(sends, ShouldBeGreaterThan, allowed)
	})
}

func TestFaults(t *testing.T) {
	Convey("With a slow engine or a lost data centre, no invariant is violated", t, func() {
		for _, prepare := range []func(*fleet){slowEngine, loseDataCentre} {
			m := loadRun{load: 0.6, seed: 3, newRouter: newState, prepare: prepare}.run()
			t.Logf("state  %v", m)
			t.Logf("random %v", loadRun{load: 0.6, seed: 3, newRouter: newRandomRouter, prepare: prepare}.run())
			So(m.fleet.invariants.violations, ShouldBeEmpty)
		}
	})
}
