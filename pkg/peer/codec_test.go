package peer

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/pkg/object"
)

// captureMessages returns one in a hundred of the messages that a small fleet sends, and all of the rare kinds.
func captureMessages() []Message {
	f := newFleet(6, 12, 3, 1)
	var messages []Message
	count := 0
	f.inspect = func(_ *node, _ Event, effects []Effect) {
		for _, effect := range effects {
			send, ok := effect.(Send)
			if !ok {
				continue
			}
			m := send.message
			rare := len(m.reports)+len(m.documents)+len(m.facts) > 0 || m.request.join
			if count++; rare || count%100 == 0 {
				messages = append(messages, m)
			}
		}
	}
	f.run(5*time.Second, nil)
	f.writeConfig(2, 5000)
	f.deliver(1, NewFactShared("usage", "org", []byte("17"), f.now.Add(time.Minute)))
	f.restart(2)
	f.run(5*time.Second, nil)
	return messages
}

func TestCodec(t *testing.T) {
	messages := captureMessages()

	convey.Convey("A decoded message encodes to the same bytes", t, func() {
		for _, m := range messages {
			data, err := Encode(m)
			convey.So(err, convey.ShouldBeNil)
			decoded, err := Decode(data)
			convey.So(err, convey.ShouldBeNil)
			reencoded, err := Encode(decoded)
			convey.So(err, convey.ShouldBeNil)
			convey.So(bytes.Equal(reencoded, data), convey.ShouldBeTrue)
		}
	})

	convey.Convey("A truncated message or one with trailing bytes is refused, and a corrupted one causes no panic", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		for _, m := range messages {
			data, _ := Encode(m)
			for range 50 {
				_, err := Decode(data[:random.IntN(len(data))])
				convey.So(err, convey.ShouldNotBeNil)
				corrupted := bytes.Clone(data)
				corrupted[random.IntN(len(data))] ^= byte(1 + random.IntN(255))
				_, _ = Decode(corrupted)
			}
			_, err := Decode(append(data, 0))
			convey.So(err, convey.ShouldNotBeNil)
		}
	})

	convey.Convey("Encoding never decreases an age, however large", t, func() {
		for _, age := range []time.Duration{0, 1, ageUnit, ageUnit + 1, time.Hour, 1<<63 - 1} {
			data, err := Encode(Message{reports: []report{{age: age}}, members: []memberInfo{{age: age}}})
			convey.So(err, convey.ShouldBeNil)
			m, err := Decode(data)
			convey.So(err, convey.ShouldBeNil)
			convey.So(m.reports[0].age, convey.ShouldBeGreaterThanOrEqualTo, min(age, maxDuration-time.Hour))
			convey.So(m.members[0].age, convey.ShouldBeGreaterThanOrEqualTo, min(age, maxDuration-time.Hour))
		}
	})

	convey.Convey("Messages and documents over the size limits are refused on both sides", t, func() {
		large := make([]byte, object.MaxValueBytes+1)
		data, err := Encode(Message{documents: []Document{NewDocument("config", 1, large)}})
		convey.So(err, convey.ShouldBeNil)
		_, err = Decode(data)
		convey.So(err, convey.ShouldNotBeNil)
		_, err = Decode(make([]byte, MaxMessageBytes+1))
		convey.So(err, convey.ShouldNotBeNil)
		for i := range large {
			large[i] = byte(rand.New(rand.NewPCG(1, uint64(i))).Uint32())
		}
		facts := make([]fact, 300)
		for i := range facts {
			facts[i].value = large[i*maxFactBytes%1000 : i*maxFactBytes%1000+maxFactBytes]
		}
		_, err = Encode(Message{facts: facts})
		convey.So(err, convey.ShouldNotBeNil)
	})
}

func TestRefusals(t *testing.T) {
	convey.Convey("Replayed messages and messages of a wrong sender are refused and counted, and change nothing", t, func() {
		var s State
		s.Reduce(epoch, NewConfigured(NewSettings("a", "a:1", "a:2", "c1", 1)))
		m := Message{from: "b", incarnation: 2, number: 9, members: []memberInfo{{
			name: "b", address: "b:1", centre: "c1", incarnation: 2, infoVersion: 1, sequence: 1,
		}}}
		s.Reduce(epoch, NewReceived("b", m, 0))
		convey.So(s.Counters().WrongSender(), convey.ShouldEqual, 1)

		s.Reduce(epoch, NewLinkOpened("b", "b:1"))
		s.Reduce(epoch, NewReceived("b", m, 0))
		convey.So(len(s.Members(epoch)), convey.ShouldEqual, 2)
		convey.So(s.Reduce(epoch, NewReceived("b", m, 0)), convey.ShouldBeEmpty)
		earlier := m
		earlier.incarnation = 1
		convey.So(s.Reduce(epoch, NewReceived("b", earlier, 0)), convey.ShouldBeEmpty)
		convey.So(s.Counters().Replayed(), convey.ShouldEqual, 2)

		m.from, m.number = "c", 10
		convey.So(s.Reduce(epoch, NewReceived("b", m, 0)), convey.ShouldBeEmpty)
		convey.So(s.Counters().WrongSender(), convey.ShouldEqual, 2)
	})

	convey.Convey("The transit delay of a message is added to the ages in it", t, func() {
		var s State
		s.Reduce(epoch, NewConfigured(NewSettings("a", "a:1", "a:2", "c1", 1)))
		s.Reduce(epoch, NewLinkOpened("b", "b:1"))
		deliver := func(d time.Duration, number uint64, info memberInfo) {
			info.name, info.address, info.centre, info.incarnation, info.infoVersion = "b", "b:1", "c1", 2, 1
			m := Message{from: "b", incarnation: 2, number: number, members: []memberInfo{info}}
			s.Reduce(epoch.Add(d), NewReceived("b", m, 0))
		}
		deliver(0, 1, memberInfo{sequence: 1})
		deliver(2*time.Second, 2, memberInfo{sequence: 2})
		convey.So(s.members[handleOf("b", 2)].heartbeatAt, convey.ShouldEqual, epoch.Add(maxClockDrift*2))
		convey.So(s.Counters().Late(), convey.ShouldEqual, 1)
	})
}
