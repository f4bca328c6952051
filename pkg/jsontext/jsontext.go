package jsontext

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// The errors of values that are not arrays or objects as a whole.
var (
	ErrTruncated = errors.New("JSON text ends within a value")
	ErrNoArray   = errors.New("JSON text is no array")
	ErrNoObject  = errors.New("JSON text is no object")
)

// Elements returns the elements of an array, which may be malformed themselves. It returns ErrNoArray or ErrTruncated if data is not an array
// up to its end.
func Elements(data []byte) ([]json.RawMessage, error) {
	s := scanner{data: data}
	if !s.skip('[') {
		return nil, ErrNoArray
	}
	var elements []json.RawMessage
	for !s.skip(']') {
		if len(elements) > 0 && !s.skip(',') {
			return elements, s.failure(ErrNoArray)
		}
		element := s.value()
		if len(element) == 0 {
			return elements, s.failure(ErrNoArray)
		}
		elements = append(elements, element)
	}
	return elements, s.end(ErrNoArray)
}

// Fields returns the values of an object by their names, which may be malformed themselves; of two values with the same name, it returns the
// last. It returns ErrNoObject or ErrTruncated if data is not an object up to its end.
func Fields(data []byte) (map[string]json.RawMessage, error) {
	s := scanner{data: data}
	if !s.skip('{') {
		return nil, ErrNoObject
	}
	fields := map[string]json.RawMessage{}
	for isFirst := true; !s.skip('}'); isFirst = false {
		if !isFirst && !s.skip(',') {
			return fields, s.failure(ErrNoObject)
		}
		var name string
		if err := json.Unmarshal(s.value(), &name); err != nil || !s.skip(':') {
			return fields, s.failure(ErrNoObject)
		}
		value := s.value()
		if len(value) == 0 {
			return fields, s.failure(ErrNoObject)
		}
		fields[name] = value
	}
	return fields, s.end(ErrNoObject)
}

// HasValue reports whether an object has a field that is not null.
func HasValue(fields map[string]json.RawMessage, name string) bool {
	raw := fields[name]
	return raw != nil && string(raw) != "null"
}

// ElementsOf returns the elements of an array among the fields of an object, none if it is missing or null. Its errors are those of Elements.
func ElementsOf(fields map[string]json.RawMessage, name string) ([]json.RawMessage, error) {
	if !HasValue(fields, name) {
		return nil, nil
	}
	elements, err := Elements(fields[name])
	if err != nil {
		return nil, fmt.Errorf("field %q: %w", name, err)
	}
	return elements, nil
}

// scanner reads values from JSON text without recursion, so that no nesting is too deep for it.
type scanner struct {
	data []byte
	at   int
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

func (s *scanner) skipSpace() {
	for s.at < len(s.data) && isSpace(s.data[s.at]) {
		s.at++
	}
}

// skip skips c and the space before it, and reports whether c was there.
func (s *scanner) skip(c byte) bool {
	s.skipSpace()
	if s.at == len(s.data) || s.data[s.at] != c {
		return false
	}
	s.at++
	return true
}

// failure returns ErrTruncated at the end of the text, else err.
func (s *scanner) failure(err error) error {
	if s.skipSpace(); s.at == len(s.data) {
		return ErrTruncated
	}
	return err
}

// end returns err unless the rest of the text is space.
func (s *scanner) end(err error) error {
	if s.skipSpace(); s.at < len(s.data) {
		return err
	}
	return nil
}

// value returns the next value: a string, a literal, or what is between brackets that match by their number. It returns nil if there is none, or
// it does not end.
func (s *scanner) value() json.RawMessage {
	s.skipSpace()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch c := s.data[s.at]; c {
		case '"':
			if !s.skipString() {
				return nil
			}
		case '[', '{':
			depth++
			s.at++
		case ',', ':':
			if depth == 0 {
				return nil
			}
			s.at++
		case ']', '}':
			if depth == 0 {
				return nil
			}
			depth--
			s.at++
		default:
			s.skipLiteral()
		}
		if depth == 0 {
			return s.data[start:s.at]
		}
	}
	return nil
}

// skipString skips a string, and reports whether it ends.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	s.at = len(s.data)
	return false
}

// skipLiteral skips a number, a constant, or space within a value.
func (s *scanner) skipLiteral() {
	for s.at++; s.at < len(s.data); s.at++ {
		if c := s.data[s.at]; isSpace(c) || strings.IndexByte(`,:"[]{}`, c) >= 0 {
			return
		}
	}
}
