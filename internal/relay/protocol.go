package relay

import (
	"errors"
	"io"
	"net/http"
	"strings"
)

// The headers of a request or an answer between daemons. They are removed from what goes to upstreams and callers.
const (
	headerPrefix    = "Azurepond-"
	upstreamHeader  = "Azurepond-Upstream" // the name of the upstream
	kindHeader      = "Azurepond-Kind"     // a Kind
	outcomeHeader   = "Azurepond-Outcome"
	unframedHeader  = "Azurepond-Unframed" // 1 if only the end of its connection ended the upstream's answer
	failureTrailer  = "Azurepond-Failure"  // why the upstream's answer is incomplete
	setValue        = "1"
	transferTrailer = "Trailer"
)

// Kind is the kind of a request that is passed on.
type Kind string

// The kinds of requests.
const (
	Call    Kind = "call"
	Once    Kind = "once"    // a call that must not run twice or has no id, so that it is sent over a new connection
	Control Kind = "control" // an order or a probe, which has no id
)

// Outcome is what became of a request at the daemon that passes it on.
type Outcome string

// The outcomes of a request.
const (
	Answered    Outcome = "answered"    // the answer is the upstream's
	Busy        Outcome = "busy"        // the daemon passes nothing on now
	Unfit       Outcome = "unfit"       // the daemon has no path to the upstream, or must not send to it
	Refused     Outcome = "refused"     // the connection to the upstream was refused
	Unreachable Outcome = "unreachable" // the connection to the upstream was not established in time
	Interrupted Outcome = "interrupted" // the request was sent, but the connection closed without an answer
	// Unidentified means that the request was sent, but the answer names no request and may belong to an earlier one.
	Unidentified Outcome = "unidentified"
)

// IsSent reports whether the request may have reached the upstream. That is assumed of outcomes of newer builds, which are unknown.
func (o Outcome) IsSent() bool {
	return o != Busy && o != Unfit && o != Refused && o != Unreachable
}

// Prepare adds the headers of a hop to a request to an upstream.
func Prepare(header http.Header, upstream string, kind Kind) {
	header.Set(upstreamHeader, upstream)
	header.Set(kindHeader, string(kind))
}

// OutcomeOf returns the outcome that an answer of the other daemon reports, empty if it reports none.
func OutcomeOf(header http.Header) Outcome { return Outcome(header.Get(outcomeHeader)) }

var (
	errIncomplete = errors.New("answer of the upstream broke off")
	errLost       = errors.New("answer of the other daemon broke off")
)

// IsLost reports whether err says that the other daemon's answer broke off before it said what became of the upstream's.
func IsLost(err error) bool { return errors.Is(err, errLost) }

// OutcomeError is the error of a request without an answer of the upstream.
type OutcomeError struct{ Outcome Outcome }

// Error returns the outcome.
func (e OutcomeError) Error() string {
	return "no answer through the other daemon: " + string(e.Outcome)
}

// Unwrap turns the other daemon's answer into the one that the upstream gave.
func Unwrap(answer *http.Response) {
	if answer.Header.Get(unframedHeader) == setValue {
		answer.ContentLength, answer.TransferEncoding = -1, nil
	}
	removeHeaders(answer.Header)
	answer.Header.Del(transferTrailer)
	answer.Body = &checkedBody{ReadCloser: answer.Body, answer: answer}
}

// checkedBody is the body of an answer, which is incomplete if its trailer says so or does not arrive.
type checkedBody struct {
	io.ReadCloser
	answer *http.Response
	err    error // which ended the body
}

// Read reads from the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF) && b.answer.Trailer.Get(failureTrailer) != "":
		err = errors.Join(io.ErrUnexpectedEOF, errIncomplete)
	case err != nil && !errors.Is(err, io.EOF):
		err = errors.Join(err, errLost)
	}
	b.err = err
	return n, err
}

// removeHeaders removes the headers of a hop.
func removeHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			header.Del(name)
		}
	}
}
