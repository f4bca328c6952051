package upstream

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventLineBytes limits one line of an event stream.
const maxEventLineBytes = 1 << 20

// event is one server-sent event.
type event struct {
	id   string
	data []byte
}

// eventReader reads server-sent events one by one.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(body io.Reader) eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLineBytes)
	return eventReader{lines}
}

// next returns the next event with data. It returns io.EOF at the end of the stream.
func (e eventReader) next() (event, error) {
	var next event
	for e.lines.Scan() {
		line := e.lines.Bytes()
		if len(line) == 0 && next.data != nil {
			return next, nil
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			next.id = string(value)
		case "data":
			if next.data != nil {
				next.data = append(next.data, '\n')
			}
			next.data = append(next.data, value...)
		}
	}
	if err := e.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.EOF
}
