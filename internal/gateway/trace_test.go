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
	"github.com/azurepond/azurepond/pkg/route"

	gometrics "github.com/rcrowley/go-metrics"
)

// fleet is what the dispatch of a session can send to.
type fleet struct{ targets []dispatch.Target }

func (f fleet) Replicas(string) []dispatch.Target  { return f.targets }
func (f fleet) Processes(string) []dispatch.Target { return f.targets }
func (f fleet) Owner(dispatch.Shard) string        { return "" }

// session is a run of the dispatch of which the log lines alone are kept.
type session struct {
	daemon *Daemon
	state  dispatch.State
	fleet  fleet
	now    time.Time
	sends  map[dispatch.ID]dispatch.Send
	log    bytes.Buffer
}

func newSession(upstreams ...string) *session {
	s := &session{now: time.Unix(1_700_000_000, 0).UTC(), sends: map[dispatch.ID]dispatch.Send{}}
	s.daemon = &Daemon{log: &journal{}, recorder: metrics.NewRecorder(gometrics.NewRegistry())}
	for _, name := range upstreams {
		s.fleet.targets = append(s.fleet.targets, dispatch.NewTarget(name, "10.0.0.1:1", true, 2))
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

func (s *session) feed(e dispatch.Event) {
	for _, effect := range s.state.Reduce(s.now, s.fleet, e) {
		switch effect := effect.(type) {
		case dispatch.Send:
			s.sends[effect.ID()] = effect
		case dispatch.Note:
			s.daemon.note(effect)
		}
	}
}

func (s *session) ask(id dispatch.ID, name, path string) {
	s.feed(dispatch.NewArrived(dispatch.NewRequest(id, name, "pond", path, "one").WithModel("m", 500, 100).
		WithTimeout(6 * time.Second).WithContentHash(uint64(id))))
}

func (s *session) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(25 * time.Millisecond)
		s.feed(dispatch.NewTicked())
	}
}

// lines returns the lines of one request, each as what was decided and a function that returns the value of a key.
func (s *session) lines(id string) []line {
	klog.Flush()
	var found []line
	for _, text := range strings.Split(s.log.String(), "\n") {
		if strings.Contains(text, `id="`+id+`"`) {
			found = append(found, line(text))
		}
	}
	return found
}

type line string

var decided = regexp.MustCompile(`"dispatch: ([^"]+)"`)

func (l line) what() string { return decided.FindStringSubmatch(string(l))[1] }

func (l line) value(key string) string {
	match := regexp.MustCompile(` ` + key + `="?([^" ]+)`).FindStringSubmatch(string(l))
	if match == nil {
		return ""
	}
	return match[1]
}

// record makes klog write to the session until the test ends.
func (s *session) record(t *testing.T) {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		if err := flags.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	klog.SetOutput(&s.log)
}

func TestTraceFromLines(t *testing.T) {
	Convey("The lines of a request that was refused under load name the share without a place, and what was ahead", t, func() {
		s := newSession("h1")
		s.record(t)
		for id := range dispatch.ID(40) {
			s.ask(id+1, "other", "/draft/x")
		}
		s.ask(99, "complained", "/draft/x")
		s.pass(7 * time.Second)
		lines := s.lines("complained")
		So(len(lines), ShouldBeGreaterThan, 0)
		last := lines[len(lines)-1]
		So(last.what(), ShouldEqual, "refused")
		So(last.value("reason"), ShouldEqual, "overload")
		So(lines[0].what(), ShouldEqual, "queued")
		So(lines[0].value("reason"), ShouldStartWith, "m/")
		So(lines[0].value("waiting"), ShouldEqual, "39") // with itself; two run
	})

	Convey("The lines of a stream that broke midway name both replicas, and how each was lost", t, func() {
		s := newSession("h1", "h2")
		s.record(t)
		s.ask(1, "complained", "/draft/x")
		first := s.sends[1]
		s.feed(dispatch.NewStarted(first.Attempt(), dispatch.Load{}))
		s.feed(dispatch.NewFirstEventReceived(first.Attempt()))
		s.pass(100 * time.Millisecond)
		s.feed(dispatch.NewFailed(first.Attempt(), dispatch.Interrupted).WithProgress("7"))
		second := s.sends[1]
		So(second.Upstream(), ShouldNotEqual, first.Upstream())
		s.pass(100 * time.Millisecond)
		s.feed(dispatch.NewFailed(second.Attempt(), dispatch.Garbled).WithProgress("9"))
		var trail []string
		for _, l := range s.lines("complained") {
			trail = append(trail, l.what()+" "+l.value("upstream")+" "+l.value("reason"))
		}
		So(trail, ShouldResemble, []string{
			"sent " + first.Upstream() + " ", "attempt failed " + first.Upstream() + " interrupted",
			"sent " + second.Upstream() + " ", "attempt failed " + second.Upstream() + " garbled", "failed  attempts",
		})
	})

	Convey("The lines of a call of unknown outcome name the upstream that may have run it", t, func() {
		s := newSession("d1")
		s.record(t)
		s.ask(1, "complained", "/issue/x")
		s.pass(100 * time.Millisecond)
		s.feed(dispatch.NewFailed(s.sends[1].Attempt(), dispatch.Interrupted))
		lines := s.lines("complained")
		So(lines[1].what(), ShouldEqual, "attempt failed")
		So(lines[1].value("upstream"), ShouldEqual, "d1")
		So(lines[1].value("reason"), ShouldEqual, "interrupted")
		So(lines[2].what(), ShouldEqual, "failed")
	})
}
