package gateway

import (
	"bytes"
	"flag"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"k8s.io/klog/v2"

	"github.com/azurepond/azurepond/internal/metrics"
	"github.com/azurepond/azurepond/pkg/dispatch"
	"github.com/azurepond/azurepond/pkg/relay"
	"github.com/azurepond/azurepond/pkg/route"

	gometrics "github.com/rcrowley/go-metrics"
)

// fakeTargets are the targets that dispatch can send requests to.
type fakeTargets struct{ all []dispatch.Target }

func (f fakeTargets) Replicas(string) []dispatch.Target             { return f.all }
func (f fakeTargets) Processes(string) []dispatch.Target            { return f.all }
func (fakeTargets) Centre() string                                  { return "" }
func (f fakeTargets) NextOpening(now time.Time, _ string) time.Time { return now }
func (f fakeTargets) Owner(dispatch.Shard) string                   { return "" }

func (f fakeTargets) Way(time.Time, string, route.Regions) relay.Route { return relay.Route{} }

// IsWithin reports true: all upstreams are in all regions.
func (fakeTargets) IsWithin(string, route.Regions) bool { return true }

// logSession runs the dispatch state machine and captures its log lines.
type logSession struct {
	daemon  *Daemon
	state   dispatch.State
	targets fakeTargets
	now     time.Time
	sends   map[dispatch.ID]dispatch.Send
	log     bytes.Buffer
}

func newLogSession(upstreams ...string) *logSession {
	s := &logSession{now: time.Unix(1_700_000_000, 0).UTC(), sends: map[dispatch.ID]dispatch.Send{}}
	s.daemon = &Daemon{log: &logger{}, recorder: metrics.NewRecorder(gometrics.NewRegistry())}
	for _, name := range upstreams {
		s.targets.all = append(s.targets.all, dispatch.NewTarget(name, "10.0.0.1:1", true, 2))
	}
	engine := route.NewEngine(2, route.NewModel("m", 2, 1, 1)).WithStepTimes(6*time.Millisecond, 240*time.Microsecond, 5, 46000, 2048)
	s.state = dispatch.New(dispatch.NewSettings(1, dispatch.NewRetryLimits(0.2, 100, 10*time.Second)))
	s.feed(dispatch.NewConfigured(route.New(1).
		WithServices(route.NewService("engines", "/h", 100).WithEngine(engine), route.NewService("desk", "/h", 100)).
		WithOrganisation(route.NewOrganisation("one", 0, false), "one").
		WithRoutes(
			route.NewRoute("draft", "pond", "/draft/", route.Stream).WithTimes(6*time.Second, 300*time.Millisecond, 200*time.Millisecond).
				WithMaxAttempts(2).WithResumable(true).WithSplit(route.NewWeightedService("engines", 1)),
			route.NewRoute("issue", "pond", "/issue/", route.Once).WithTimes(time.Second, 300*time.Millisecond, 0).
				WithSplit(route.NewWeightedService("desk", 1)),
		)))
	return s
}

func (s *logSession) feed(e dispatch.Event) {
	for _, effect := range s.state.Reduce(s.now, s.targets, e) {
		switch effect := effect.(type) {
		case dispatch.Send:
			s.sends[effect.ID()] = effect
		case dispatch.Note:
			s.daemon.recordDecision(effect)
		}
	}
}

func (s *logSession) request(id dispatch.ID, name, path string) {
	s.feed(dispatch.NewArrived(dispatch.NewRequest(id, name, "pond", path, "one").WithModel("m", 500, 100).
		WithTimeout(6 * time.Second).WithContentHash(uint64(id))))
}

func (s *logSession) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(25 * time.Millisecond)
		s.feed(dispatch.NewTicked())
	}
}

// linesOf returns the log lines of one request.
func (s *logSession) linesOf(id string) []logLine {
	klog.Flush()
	var found []logLine
	for _, text := range strings.Split(s.log.String(), "\n") {
		if strings.Contains(text, `id="`+id+`"`) {
			found = append(found, logLine(text))
		}
	}
	return found
}

type logLine string

var messagePattern = regexp.MustCompile(`"dispatch: ([^"]+)"`)

func (l logLine) message() string { return messagePattern.FindStringSubmatch(string(l))[1] }

func (l logLine) value(key string) string {
	match := regexp.MustCompile(` ` + key + `="?([^" ]+)`).FindStringSubmatch(string(l))
	if match == nil {
		return ""
	}
	return match[1]
}

// captureLog redirects klog to the session.
func (s *logSession) captureLog(t *testing.T) {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		if err := flags.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	klog.SetOutput(&s.log)
}

func TestRequestLogLines(t *testing.T) {
	Convey("The log lines of a request refused under load show the shard without a free slot, and the queue length", t, func() {
		s := newLogSession("h1")
		s.captureLog(t)
		for id := range dispatch.ID(40) {
			s.request(id+1, "other", "/draft/x")
		}
		s.request(99, "traced", "/draft/x")
		s.advance(7 * time.Second)
		lines := s.linesOf("traced")
		So(len(lines), ShouldBeGreaterThan, 0)
		last := lines[len(lines)-1]
		So(last.message(), ShouldEqual, "refused")
		So(last.value("reason"), ShouldEqual, "overload")
		So(lines[0].message(), ShouldEqual, "queued")
		So(lines[0].value("reason"), ShouldStartWith, "m/")
		So(lines[0].value("waiting"), ShouldEqual, "39") // itself included; two run
	})

	Convey("The log lines of a stream that fails twice show both replicas and both reasons", t, func() {
		s := newLogSession("h1", "h2")
		s.captureLog(t)
		s.request(1, "traced", "/draft/x")
		first := s.sends[1]
		s.feed(dispatch.NewStarted(first.Attempt(), dispatch.Load{}))
		s.feed(dispatch.NewFirstEventReceived(first.Attempt()))
		s.advance(100 * time.Millisecond)
		s.feed(dispatch.NewFailed(first.Attempt(), dispatch.Interrupted).WithProgress("7"))
		second := s.sends[1]
		So(second.Upstream(), ShouldNotEqual, first.Upstream())
		s.advance(100 * time.Millisecond)
		s.feed(dispatch.NewFailed(second.Attempt(), dispatch.Garbled).WithProgress("9"))
		var got []string
		for _, l := range s.linesOf("traced") {
			got = append(got, l.message()+" "+l.value("upstream")+" "+l.value("reason"))
		}
		So(got, ShouldResemble, []string{
			"sent " + first.Upstream() + " ", "attempt failed " + first.Upstream() + " interrupted",
			"sent " + second.Upstream() + " ", "attempt failed " + second.Upstream() + " garbled", "failed  attempts",
		})
	})

	Convey("The log line of a request that is sent to a granted slot has the number of candidates and the calls", t, func() {
		s := newLogSession("h1", "h2", "h3")
		s.captureLog(t)
		s.request(1, "granted", "/draft/x")
		lines := s.linesOf("granted")
		So(lines[0].message(), ShouldEqual, "sent")
		So(lines[0].value("upstreams"), ShouldEqual, "3")
		So(lines[0].value("calls"), ShouldEqual, "1") // the request itself
	})

	Convey("The log lines of a request with an unknown outcome show the upstream that may have run it", t, func() {
		s := newLogSession("d1")
		s.captureLog(t)
		s.request(1, "traced", "/issue/x")
		s.advance(100 * time.Millisecond)
		s.feed(dispatch.NewFailed(s.sends[1].Attempt(), dispatch.Interrupted))
		lines := s.linesOf("traced")
		So(lines[1].message(), ShouldEqual, "attempt failed")
		So(lines[1].value("upstream"), ShouldEqual, "d1")
		So(lines[1].value("reason"), ShouldEqual, "interrupted")
		So(lines[2].message(), ShouldEqual, "failed")
	})
}
