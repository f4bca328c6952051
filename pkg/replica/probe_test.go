package replica

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/object"
)

// prober is a daemon that lists one instance and has begun to probe it.
type prober struct {
	now   time.Time
	state State
	probe Probe    // the last one
	dead  bool     // the instance was announced dead
	again []string // the reasons of the log entries that it answers again
}

func newProber(lag time.Duration) *prober {
	p := &prober{now: simStart, state: New(NewSettings(object.NewKey("replicas", "main"), "a/1", 1))}
	p.feed(NewListed([]Instance{NewInstance("i", "10.0.0.1:1", "c", "d", 1)}))
	p.lag(lag)
	p.feed(NewSuspected("i"))
	return p
}

func (p *prober) feed(e Event) {
	for _, effect := range p.state.Reduce(p.now, e) {
		switch effect := effect.(type) {
		case Probe:
			p.probe = effect
		case AnnounceDead:
			p.dead = true
		case LogEntry:
			if effect.Message() == "instance answers again" {
				p.again = append(p.again, effect.Reason())
			}
		}
	}
}

func (p *prober) lag(lag time.Duration) {
	if lag > 0 {
		p.feed(NewDelayed(lag))
	}
}

// expire lets the probe expire, at a daemon that handles that with a lag.
func (p *prober) expire(lag time.Duration) {
	p.now = p.now.Add(p.probe.Timeout() + lag)
	p.lag(lag)
	p.feed(NewProbeExpired("i"))
}

// expireUntilDead lets all probes expire until the instance is dead, and returns the time since the present probe was sent.
func (p *prober) expireUntilDead(lag time.Duration) time.Duration {
	began := p.now
	for !p.dead && p.now.Sub(began) < 10*time.Second {
		if p.state.nodes["i"].probing {
			p.expire(lag)
		}
		p.now = p.now.Add(25 * time.Millisecond)
		p.feed(NewTicked())
	}
	return p.now.Sub(began)
}

func TestLateProber(t *testing.T) {
	Convey("A probe that expires while the daemon itself is late does not count", t, func() {
		p := newProber(0)
		So(p.probe.Timeout(), ShouldEqual, minProbeTimeout)
		for range 5 {
			p.expire(300 * time.Millisecond)
			So(p.dead, ShouldBeFalse)
			So(p.probe.Timeout(), ShouldEqual, maxProbeTimeout)
		}
		p.now = p.now.Add(5 * time.Second) // the daemon is on time again
		p.expireUntilDead(0)
		So(p.dead, ShouldBeTrue)
	})

	Convey("A daemon that is somewhat late allows more time, and then finds a dead instance", t, func() {
		const lag = 50 * time.Millisecond
		p := newProber(lag)
		So(p.probe.Timeout(), ShouldEqual, minProbeTimeout+probeWaits*lag)
		for range maxMissedProbes - 1 {
			p.expire(lag)
			So(p.dead, ShouldBeFalse)
		}
		p.expireUntilDead(lag)
		So(p.dead, ShouldBeTrue)
	})

	Convey("A refused connection counts, however late the daemon is", t, func() {
		p := newProber(time.Second)
		for range maxMissedProbes {
			So(p.dead, ShouldBeFalse)
			p.now = p.now.Add(minRefusedTime / (maxMissedProbes - 1))
			p.feed(NewProbeFailed("i"))
		}
		So(p.dead, ShouldBeTrue)
	})
}

func TestInstanceSilentForASecond(t *testing.T) {
	Convey("An instance that misses all probes for 1.1 s is not dead, but its replica gets no calls meanwhile", t, func() {
		p := newProber(0)
		began := p.now
		for p.now.Sub(began) < 1100*time.Millisecond {
			if p.state.nodes["i"].probing {
				p.expire(0)
			}
			p.now = p.now.Add(25 * time.Millisecond)
			p.feed(NewTicked())
		}
		So(p.dead, ShouldBeFalse)
		So(p.state.nodes["i"].isSilent(), ShouldBeTrue)

		Convey("and if it goes on, it gets calls again", func() {
			p.feed(NewProbed(NewInstance("i", "10.0.0.1:1", "c", "d", 1)))
			So(p.state.nodes["i"].isSilent(), ShouldBeFalse)
		})

		Convey("and if it does not, it is dead within 0.4 s more", func() {
			So(p.expireUntilDead(0), ShouldBeLessThan, 400*time.Millisecond)
			So(p.dead, ShouldBeTrue)
		})
	})

	Convey("A silent instance whose further probes are inconclusive, or paused since it throttles the daemon, gets calls again", t, func() {
		for _, isPaused := range []bool{false, true} {
			p := newProber(0)
			p.expire(0)
			p.expire(0)
			So(p.state.nodes["i"].isSilent(), ShouldBeTrue)
			if isPaused {
				p.feed(NewProbesPaused("i", p.now.Add(time.Minute)))
				p.expire(0)
			}
			asked := map[int]bool{}
			for range 20 {
				asked[p.probe.Missed()] = true
				p.now = p.now.Add(200 * time.Millisecond)
				p.feed(NewProbeInconclusive("i"))
				p.feed(NewTicked())
			}
			So(p.dead, ShouldBeFalse)
			So(p.state.nodes["i"].isSilent(), ShouldBeFalse)
			So(isPaused || len(asked) > maxMissedProbes, ShouldBeTrue) // each by another daemon
		}
	})

	Convey("Probes that no daemon with a path carried out are no evidence", t, func() {
		p := newProber(0)
		for range 20 {
			p.now = p.now.Add(200 * time.Millisecond)
			p.feed(NewProbeInconclusive("i"))
			p.feed(NewTicked())
		}
		So(p.dead, ShouldBeFalse)
		So(p.state.nodes["i"].isSilent(), ShouldBeFalse)
		So(p.state.nodes["i"].probing, ShouldBeFalse)
	})
}

func TestPausedProbes(t *testing.T) {
	Convey("An instance that throttles the daemon is not probed before the end of that time", t, func() {
		p := newProber(0)
		p.feed(NewProbed(NewInstance("i", "10.0.0.1:1", "c", "d", 1)))
		p.probe = Probe{}
		p.feed(NewProbesPaused("i", p.now.Add(3*time.Second)))
		p.now = p.now.Add(2 * time.Second)
		p.feed(NewSuspected("i"))
		So(p.probe, ShouldResemble, Probe{})
		p.now = p.now.Add(time.Second)
		p.feed(NewSuspected("i"))
		So(p.probe.ID(), ShouldEqual, ID("i"))
	})

	Convey("It is probed again afterwards, also if it asked for that while its probe was queued", t, func() {
		p := newProber(0)
		p.feed(NewProbed(NewInstance("i", "10.0.0.1:1", "c", "d", 1)))
		p.state.probesInFlight = maxProbesInFlight
		p.now = p.now.Add(time.Second)
		p.feed(NewSuspected("i"))
		p.feed(NewProbesPaused("i", p.now.Add(time.Second)))
		p.feed(NewProbeFailed("another"))
		p.probe = Probe{}
		p.now = p.now.Add(2 * time.Second)
		p.feed(NewSuspected("i"))
		So(p.probe.ID(), ShouldEqual, ID("i"))
	})
}

func TestLogOfFalseDeath(t *testing.T) {
	Convey("The log shows whether an instance that was declared dead had lived or has restarted", t, func() {
		for incarnation, reason := range map[int64]string{1: "same start", 2: "restarted"} {
			p := newProber(0)
			p.expireUntilDead(0)
			So(p.dead, ShouldBeTrue)
			So(p.again, ShouldBeEmpty)
			p.feed(NewProbed(NewInstance("i", "10.0.0.1:1", "c", "d", incarnation)))
			So(p.again, ShouldResemble, []string{reason})
		}
	})
}
