package peer

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/azurepond/azurepond/pkg/instance"
)

// newField is the value of a field that this build does not know.
var newField = []any{map[string]any{"list": []any{1, []any{}}}, nil, "text"}

// fromNewerBuild returns an encoded message with a further field in each record and an unknown section before and after the others.
func fromNewerBuild(data []byte) []byte {
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	decoder.SetMapDecoder(func(d *msgpack.Decoder) (any, error) { return d.DecodeUntypedMap() })
	decoder.UseLooseInterfaceDecoding(true)
	decoded, err := decoder.DecodeInterface()
	if err != nil {
		panic(err)
	}
	message := decoded.([]any)
	sections := map[int64]any{100: newField, 101: newField}
	for key, section := range message[6].(map[any]any) {
		sections[toInt(key)] = extend(toInt(key), section)
	}
	var buffer bytes.Buffer
	e := msgpack.NewEncoder(&buffer)
	e.UseCompactInts(true)
	must(e.EncodeArrayLen(len(message) + 1))
	for _, field := range message[:6] {
		must(e.Encode(field))
	}
	must(e.EncodeMapLen(len(sections)))
	for _, key := range slices.Sorted(maps.Keys(sections)) {
		must(e.EncodeInt(key))
		must(e.Encode(sections[key]))
	}
	must(e.Encode(newField))
	return buffer.Bytes()
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func toInt(key any) int64 {
	switch key := key.(type) {
	case int64:
		return key
	case uint64:
		return int64(key)
	}
	panic("key is no integer")
}

// extend returns a section with a further field in each of its records.
func extend(key int64, section any) any {
	if key == sectionHeartbeats {
		return section // packed heartbeats have no further fields
	}
	records := section.([]any)
	if key == sectionRequest {
		return append(records, newField)
	}
	for i := range records {
		record := records[i].([]any)
		switch key {
		case sectionReportChanges:
			record[3] = append(record[3].([]any), newField)
		case sectionReports:
			entries := record[3].([]any)
			for n := range entries {
				entries[n] = append(entries[n].([]any), newField)
			}
		}
		records[i] = append(record, newField)
	}
	return records
}

func TestMessagesOfNewerBuildAreRead(t *testing.T) {
	convey.Convey("Fields and sections of a newer build are skipped, and the others are read", t, func() {
		kinds := map[string]bool{}
		for _, m := range captureMessages() {
			data, err := Encode(m)
			convey.So(err, convey.ShouldBeNil)
			want, err := Decode(data)
			convey.So(err, convey.ShouldBeNil)
			got, err := Decode(fromNewerBuild(data))
			convey.So(err, convey.ShouldBeNil)
			convey.So(got, convey.ShouldResemble, want)
			for kind, isIncluded := range map[string]bool{
				"members": len(m.members) > 0, "changes": len(m.reportChanges) > 0, "reports": len(m.reports) > 0,
				"facts": len(m.facts) > 0, "revisions": len(m.revisions) > 0, "documents": len(m.documents) > 0,
				"request": !m.request.isEmpty(),
			} {
				kinds[kind] = kinds[kind] || isIncluded
			}
		}
		for kind, isIncluded := range kinds {
			convey.So(kind+" "+map[bool]string{true: "read"}[isIncluded], convey.ShouldEqual, kind+" read")
		}
	})

	convey.Convey("Direct messages of an unknown topic with further fields are read", t, func() {
		m := Message{from: "a", directMessages: []directMessage{{"new", []byte{1}}}}
		data, err := Encode(m)
		convey.So(err, convey.ShouldBeNil)
		got, err := Decode(fromNewerBuild(data))
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldResemble, m)
	})

	convey.Convey("An unknown phase counts as stopping", t, func() {
		entry := reportEntry{upstream: "i-1", alive: true, phase: instance.PhaseStopping + 1}
		data, err := Encode(Message{from: "a", reports: []report{{entries: []reportEntry{entry}}}})
		convey.So(err, convey.ShouldBeNil)
		m, err := Decode(data)
		convey.So(err, convey.ShouldBeNil)
		convey.So(m.reports[0].entries[0].phase, convey.ShouldEqual, instance.PhaseStopping)
	})

	convey.Convey("A further field that is truncated or nested without end is refused", t, func() {
		data, err := Encode(Message{from: "a"})
		convey.So(err, convey.ShouldBeNil)
		newer := fromNewerBuild(data)
		for end := range newer {
			_, err := Decode(newer[:end])
			convey.So(err, convey.ShouldNotBeNil)
		}
		deep := append(bytes.Clone(newer[:len(newer)-1]), strings.Repeat("\x91", MaxMessageBytes-len(newer))...)
		_, err = Decode(deep)
		convey.So(err, convey.ShouldNotBeNil)
	})
}
