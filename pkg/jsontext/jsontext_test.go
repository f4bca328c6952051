package jsontext

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for _, test := range []struct {
		text     string
		elements []string
	}{
		{"[]", nil},
		{" [ ] ", nil},
		{`[1, "a,]\"", {"b": [2]} ,null]`, []string{"1", `"a,]\""`, `{"b": [2]}`, "null"}},
		{`[1e400,` + deep + `,[}, "x"]`, []string{"1e400", deep, "[}", `"x"`}},
	} {
		Convey(fmt.Sprintf("An array of %d elements in %d bytes", len(test.elements), len(test.text)), t, func() {
			elements, err := Elements([]byte(test.text))
			So(err, ShouldBeNil)
			So(len(elements), ShouldEqual, len(test.elements))
			for i, element := range elements {
				So(string(element) == test.elements[i], ShouldBeTrue)
			}
		})
	}
	for text, failure := range map[string]error{
		"": ErrNoArray, "{}": ErrNoArray, "5": ErrNoArray, "[1 2]": ErrNoArray, "[,]": ErrNoArray, "[1,]": ErrNoArray, "[1]2": ErrNoArray,
		"[": ErrTruncated, "[1": ErrTruncated, "[1,": ErrTruncated, `["a`: ErrTruncated, "[[1]": ErrTruncated, `["\`: ErrTruncated,
	} {
		Convey(fmt.Sprintf("%q is an error", text), t, func() {
			_, err := Elements([]byte(text))
			So(err, ShouldEqual, failure)
		})
	}
}

func TestFields(t *testing.T) {
	Convey("The fields of an object are found beside one that can't be parsed", t, func() {
		deep := strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000)
		fields, err := Fields([]byte(`{"meta" : {"name":"x"},"spec":` + deep + `,"n\u0061me":1e400 , "spec2":"}", "meta":5}`))
		So(err, ShouldBeNil)
		So(len(fields), ShouldEqual, 4)
		So(string(fields["meta"]), ShouldEqual, "5")
		So(string(fields["name"]), ShouldEqual, "1e400")
		So(string(fields["spec2"]), ShouldEqual, `"}"`)
		So(len(fields["spec"]), ShouldEqual, len(deep))
	})
	for text, failure := range map[string]error{
		"": ErrNoObject, "[]": ErrNoObject, `{"a" 1}`: ErrNoObject, `{a:1}`: ErrNoObject, `{"a":1 "b":2}`: ErrNoObject, `{"a":}`: ErrNoObject, `{}x`: ErrNoObject,
		"{": ErrTruncated, `{"a`: ErrTruncated, `{"a":`: ErrTruncated, `{"a":[1}`: ErrTruncated,
	} {
		Convey(fmt.Sprintf("%q is an error", text), t, func() {
			_, err := Fields([]byte(text))
			So(err, ShouldEqual, failure)
		})
	}
}

// FuzzElements checks that arrays and objects are split as encoding/json splits them, as far as that can parse them.
func FuzzElements(f *testing.F) {
	for _, text := range []string{`[1,"a",{"b":[]}]`, `{"a":1,"b":[{}],"a":"\u00e9"}`, `[]x`, `{"a":"\\"}`, `[-1.5e3,true]`, `{"":null}`, "[\"\\"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var wantElements []json.RawMessage
		elements, err := Elements(data)
		if json.Unmarshal(data, &wantElements) == nil && wantElements != nil && (err != nil || fmt.Sprintf("%s", elements) != fmt.Sprintf("%s", wantElements)) {
			t.Fatalf("%q: elements %q, want %q: %v", data, elements, wantElements, err)
		}
		var wantFields map[string]json.RawMessage
		fields, err := Fields(data)
		if json.Unmarshal(data, &wantFields) == nil && wantFields != nil && (err != nil || fmt.Sprintf("%s", fields) != fmt.Sprintf("%s", wantFields)) {
			t.Fatalf("%q: fields %q, want %q: %v", data, fields, wantFields, err)
		}
	})
}
