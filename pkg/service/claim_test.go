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
			key:    keyAt(golden.Epoch, fmt.Sprintf("%08d", i)),
			holder: stamp{"a", uint64(i)},
			print:  1<<63 + uint64(i),
			until:  time.UnixMilli(golden.Epoch.UnixMilli()),
			phase:  done,
			answer: NewAnswer(201, "text/plain", bytes.Repeat([]byte("x"), answer)),
		})
	}
	return sample
}

func TestClaimsCodec(t *testing.T) {
	Convey("Claims come back as they were written", t, func() {
		sample := sampleClaims(3, 10)
		sample[1].phase, sample[1].answer = claimed, Answer{}
		sample[2].phase, sample[2].answer = unclear, Answer{}
		data, fits := encodeClaims(sample)
		So(fits, ShouldBeTrue)
		decoded, err := decodeClaims(data)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, sample)
	})

	Convey("Answers go before claims when an object is full, and then it takes no more", t, func() {
		data, fits := encodeClaims(sampleClaims(1000, MaxStoredAnswerBytes))
		So(fits, ShouldBeTrue)
		So(len(data), ShouldBeLessThanOrEqualTo, maxValue)
		decoded, err := decodeClaims(data)
		So(err, ShouldBeNil)
		So(len(decoded), ShouldEqual, 1000)
		So(decoded[0].answer.bodyStored, ShouldBeFalse)
		_, fits = encodeClaims(sampleClaims(10000, 0))
		So(fits, ShouldBeFalse)
	})

	Convey("What is no list of claims in order is an error", t, func() {
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
		Convey("An object that holds "+text+" is not overwritten, and its calls do not run", t, func() {
			w := newWorld(1, 1, false, nil)
			b := &booking{key: keyAt(w.now, "k")}
			parsed, _ := parseKey(b.key)
			name := parsed.object("desk")
			w.store.objects[name] = object.NewFound(0, "1", []byte(text))
			s := w.submit(w.daemons[0], b, "keyed", 10*time.Second)
			w.run(time.Minute)
			So(s.ended, ShouldEqual, "not run, store")
			So(string(w.store.objects[name].Data()), ShouldEqual, text)
			So(w.daemons[0].state.ClaimObjects(), ShouldEqual, 0)
			So(w.problems, ShouldBeEmpty)
		})
	}
}
