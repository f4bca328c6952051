package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// ErrMalformed says that bytes which were read as an answer are none.
var ErrMalformed = errors.New("malformed answer")

// maxStatus is the largest status that HTTP defines a class for.
const maxStatus = 599

// checkHead reads the next head without consuming it, and returns an error if it is not the head of an answer in HTTP/1. net/http accepts
// more: any number of three characters as a status, blanks in the names of fields, and heads that state two ends of a body.
func (c *Conn) checkHead() error {
	head, err := c.peekHead()
	if err != nil {
		return err
	}
	line, fields := cutLine(head)
	isHTTP10, err := checkStatusLine(line)
	if err != nil {
		return err
	}
	return checkFields(fields, isHTTP10)
}

// peekHead returns the next head with its final empty line.
func (c *Conn) peekHead() ([]byte, error) {
	searched := 0
	for {
		_, err := c.reader.Peek(searched + 1)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			c.growReader()
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, err
		}
		if end := headEnd(buffered, searched); end > 0 {
			return buffered[:end], nil
		}
		searched = len(buffered)
	}
}

// emptyLineBytes is the most that the end of a line and an empty line take.
const emptyLineBytes = len("\n\r\n")

// headEnd returns the length of the head at the beginning of data, of which a part was searched before, 0 if it has not ended.
func headEnd(data []byte, searched int) int {
	from := max(searched-emptyLineBytes+1, 0)
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(data[from:], []byte(end)); i >= 0 {
			return from + i + len(end)
		}
	}
	return 0
}

// growReader doubles the buffer, for a head that exceeds it. The connection is not kept, since idle ones would keep these buffers.
func (c *Conn) growReader() {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c), 2*c.reader.Size())
	c.hasLargeHead = true
}

// cutLine returns the first line without its end, and the lines after it.
func cutLine(data []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(data, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkStatusLine returns an error unless the first line of an answer has a version and a status that an answer may have, and reports whether
// the version is 1.0.
func checkStatusLine(line []byte) (isHTTP10 bool, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, isHTTP1 := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !isHTTP1 || len(minor) != 1 || !isDigit(minor[0]) {
		return false, fmt.Errorf("%w: version %q is not HTTP/1", ErrMalformed, version)
	}
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(status) != 3 || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) {
		return false, fmt.Errorf("%w: status %q is not a number of three digits", ErrMalformed, status)
	}
	if !isFieldValue(reason) {
		return false, fmt.Errorf("%w: control byte in the status line", ErrMalformed)
	}
	code, _ := strconv.Atoi(string(status)) // three digits
	return minor[0] == '0', checkStatus(code)
}

// checkStatus returns an error if an answer can't have a status: it has no class, or it is that of another protocol, which no request asks for.
func checkStatus(code int) error {
	switch {
	case code < http.StatusContinue || code > maxStatus:
		return fmt.Errorf("%w: status %03d is outside %d to %d", ErrMalformed, code, http.StatusContinue, maxStatus)
	case code == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %d to a request without an upgrade", ErrMalformed, code)
	}
	return nil
}

// checkFields returns an error if a line after the status line is neither a field nor continues one, or if the fields state two ends of the
// body, or an end that HTTP/1.0 does not know.
func checkFields(lines []byte, isHTTP10 bool) error {
	hasLength, hasEncoding := false, false
	for isFirst := true; ; isFirst = false {
		line, rest := cutLine(lines)
		lines = rest
		if len(line) == 0 {
			break
		}
		name, value, hasColon := bytes.Cut(line, []byte(":"))
		isFolded := line[0] == ' ' || line[0] == '\t'
		switch {
		case isFolded && isFirst, !isFolded && (!hasColon || !isFieldName(name)):
			return fmt.Errorf("%w: line %.64q is no field", ErrMalformed, line)
		case isFolded && !isFieldValue(line), !isFolded && !isFieldValue(value):
			return fmt.Errorf("%w: control byte in field %.64q", ErrMalformed, name)
		}
		hasLength = hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		hasEncoding = hasEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	switch {
	case hasLength && hasEncoding:
		return fmt.Errorf("%w: both a length and a transfer encoding", ErrMalformed)
	case hasEncoding && isHTTP10:
		return fmt.Errorf("%w: transfer encoding in HTTP/1.0", ErrMalformed)
	}
	return nil
}

// checkResponse returns an error if net/http accepted as an answer what is none.
func checkResponse(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q is not HTTP/1", ErrMalformed, r.Proto)
	}
	if err := checkStatus(r.StatusCode); err != nil {
		return err
	}
	if !isFieldValue([]byte(r.Status)) {
		return fmt.Errorf("%w: control byte in the status line", ErrMalformed)
	}
	for name, values := range r.Header {
		if !isFieldName([]byte(name)) {
			return fmt.Errorf("%w: field name %.64q", ErrMalformed, name)
		}
		for _, value := range values {
			if !isFieldValue([]byte(value)) {
				return fmt.Errorf("%w: control byte in field %.64q", ErrMalformed, name)
			}
		}
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isFieldName reports whether name is a token.
func isFieldName(name []byte) bool {
	for _, c := range name {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isLetter && !isDigit(c) && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// isFieldValue reports whether value has no control bytes except tabs.
func isFieldValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
