package peer

import (
	"fmt"
	"testing"
	"time"
)

// stateWithMembers returns a daemon with count-1 peers, and a function that returns the next message with a heartbeat of
// each.
func stateWithMembers(count int) (*State, func(now time.Time) Message) {
	s := &State{}
	s.Reduce(epoch, NewConfigured(NewSettings("self", "self:1", "self:2", "c0", 1)))
	s.Reduce(epoch, NewLinkOpened("p0", "p0:1"))
	m := Message{from: "p0", incarnation: 1}
	for i := range count - 1 {
		name := fmt.Sprint("p", i)
		m.members = append(m.members, memberInfo{
			name: name, address: name + ":1", callerAddress: name + ":2", centre: fmt.Sprint("c", i%5),
			incarnation: 1, infoVersion: 1, sequence: 1,
		})
	}
	sequence := 0
	next := func(now time.Time) Message {
		sequence++
		message := Message{from: "p0", incarnation: 1, number: uint64(sequence + 1), senderUptime: now.Sub(epoch)}
		for _, info := range m.members {
			message.heartbeats = append(message.heartbeats, heartbeat{member: handleOf(info.name, 1), sequence: uint8(sequence + 1)})
		}
		return message
	}
	m.number = 1
	s.Reduce(epoch, NewReceived("p0", m, 0))
	return s, next
}

// BenchmarkReceive receives a message with a new heartbeat of every daemon, including decoding.
func BenchmarkReceive(b *testing.B) {
	for _, daemons := range []int{8, 64, 330, 1000} {
		b.Run(fmt.Sprint("daemons=", daemons), func(b *testing.B) {
			s, next := stateWithMembers(daemons)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				now = now.Add(100 * time.Millisecond)
				data, err := Encode(next(now))
				if err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				m, err := Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				s.Reduce(now, NewReceived("p0", m, len(data)))
			}
		})
	}
}

// BenchmarkTick ticks a daemon that has a heartbeat of every daemon to forward, including encoding.
func BenchmarkTick(b *testing.B) {
	for _, daemons := range []int{8, 64, 330, 1000} {
		b.Run(fmt.Sprint("daemons=", daemons), func(b *testing.B) {
			s, next := stateWithMembers(daemons)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				now = now.Add(defaultGossipInterval)
				s.Reduce(now, NewReceived("p0", next(now), 0))
				b.StartTimer()
				for _, effect := range s.Reduce(now, NewTicked()) {
					if send, ok := effect.(Send); ok {
						if _, err := Encode(send.message); err != nil {
							b.Fatal(err)
						}
					}
				}
			}
		})
	}
}
