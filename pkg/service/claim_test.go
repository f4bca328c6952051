package service

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/azurepond/azurepond/internal/golden"
	"github.com/azurepond/azurepond/pkg/object"
)

func sampleClaims(count, answer int) claims {
	var sample claims
	for i := range count {
		sample = append(sample, claim{
			key:          keyAt(golden.Epoch, fmt.Sprintf("%08d", i)),
			holder:       holderID{"a", uint64(i)},
			fingerprint:  1<<63 + uint64(i),
			sendDeadline: time.UnixMilli(golden.Epoch.UnixMilli()),
			phase:        phaseDone,
			answer:       NewAnswer(201, "text/plain", bytes.Repeat([]byte("x"), answer)),
		})
	}
	return sample
}

func TestClaimsCodec(t *testing.T) {
	Convey("Decoding returns the encoded claims", t, func() {
		sample := sampleClaims(3, 10)
		sample[1].phase, sample[1].answer = phaseClaimed, Answer{}
		sample[2].phase, sample[2].answer = phaseUnclear, Answer{}
		data, fits := encodeClaims(sample)
		So(fits, ShouldBeTrue)
		decoded, err := decodeClaims(data)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, sample)
	})

	Convey("A full object drops its answers first, and rejects claims that still do not fit", t, func() {
		data, fits := encodeClaims(sampleClaims(1000, MaxStoredAnswerBytes))
		So(fits, ShouldBeTrue)
		So(len(data), ShouldBeLessThanOrEqualTo, maxObjectBytes)
		decoded, err := decodeClaims(data)
		So(err, ShouldBeNil)
		So(len(decoded), ShouldEqual, 1000)
		So(decoded[0].answer.bodyStored, ShouldBeFalse)
		_, fits = encodeClaims(sampleClaims(10000, 0))
		So(fits, ShouldBeFalse)
	})

	Convey("A value that is not a sorted list of claims is an error", t, func() {
		for _, text := range []string{
			`[]`, `{"claims":[{"print":"x"}]}`, `{"claims":[{"print":"1","phase":"other"}]}`,
			`{"claims":[{"key":"b","print":"1","phase":"done"},{"key":"a","print":"1","phase":"done"}]}`,
		} {
			_, err := decodeClaims([]byte(text))
			So(err, ShouldNotBeNil)
		}
	})
}

func TestForeignObject(t *testing.T) {
	for _, text := range []string{`{"x":1}`, `{"writer":"a","sequence":1,"value":[1]}`} {
		Convey("An object that contains "+text+" is not overwritten, and its calls do not run", t, func() {
			sim := newSimulation(1, 1, false, nil)
			req := &clientRequest{key: keyAt(sim.now, "k")}
			parsed, _ := parseKey(req.key)
			name := parsed.objectKey("desk")
			sim.store.objects[name] = object.NewFound(0, "1", []byte(text))
			s := sim.submit(sim.daemons[0], req, "keyed", 10*time.Second)
			sim.run(time.Minute)
			So(s.outcome, ShouldEqual, "not run, store")
			So(string(sim.store.objects[name].Data()), ShouldEqual, text)
			So(sim.daemons[0].state.ClaimObjects(), ShouldEqual, 0)
			So(sim.violations, ShouldBeEmpty)
		})
	}
}
