package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/dispatch"
)

// eventTiming measures the delays between the events of a stream.
type eventTiming struct {
	last       time.Time
	firstDelay time.Duration // until the first event
	longestGap time.Duration // between two events
}

func (t *eventTiming) start(now time.Time) { t.last = now }

func (t *eventTiming) record(now time.Time, isFirst bool) {
	if passed := now.Sub(t.last); isFirst {
		t.firstDelay = passed
	} else {
		t.longestGap = max(t.longestGap, passed)
	}
	t.last = now
}

var (
	errEventOrder      = errors.New("event id does not follow the previous one")
	errEmptyStream     = errors.New("stream ended without an event")
	errEventsWithoutID = errors.New("too many events without an id")
	errNotContinuation = errors.New("answer does not continue the stream")
)

// forwardStream forwards the events of an answer as they arrive, and reports whether the caller received all of them.
func (e *exchange) forwardStream(
	ctx context.Context, send dispatch.Send, answer *transport.Exchange, class Classification,
) bool {
	if err := e.checkContinuation(answer.Response); err != nil {
		answer.Abort()
		e.reportNoAnswer(ctx, send, dispatch.Garbled, err)
		return false
	}
	e.daemon.enqueueDispatch(dispatch.NewStarted(send.Attempt(), class.Load))
	ticker := time.NewTicker(send.StallTimeout())
	defer ticker.Stop()
	stop := context.AfterFunc(ctx, ticker.Stop)
	defer stop()
	ended := make(chan struct{})
	defer close(ended)
	var timing eventTiming
	timing.start(time.Now())
	e.stalls.begin(time.Now(), send.StallTimeout())
	go e.reportStalls(send.Attempt(), ticker, ended)
	err := e.relay(answer, func(first bool) {
		ticker.Reset(send.StallTimeout())
		timing.record(time.Now(), first)
		if first {
			e.daemon.enqueueDispatch(dispatch.NewFirstEventReceived(send.Attempt()))
		}
	}, func(isKnown bool) { e.daemon.enqueueDispatch(dispatch.NewPositionChanged(send.Attempt(), isKnown)) })
	if timing.firstDelay > 0 {
		e.daemon.recorder.StreamAttemptEnded(send.Route(), timing.firstDelay, timing.longestGap)
	}
	if err != nil {
		answer.Abort()
		e.daemon.log.Info("upstream", "stream failed",
			"id", e.name, "upstream", send.Upstream(), "relay", e.via.Name(), "last", e.lastEventID, "err", err.Error())
		e.reportBroken(ctx, send, err)
		return false
	}
	answer.Close()
	e.endUnframed()
	e.daemon.enqueueDispatch(dispatch.NewCompleted(send.Attempt()))
	return true
}

// relay copies events to the caller. It calls onEvent after each one that has an id or data, and onPosition when the position of the stream
// becomes known or unknown.
func (e *exchange) relay(answer *transport.Exchange, onEvent, onPosition func(bool)) error {
	reader := newEventReader(answer.Response.Body, &e.daemon.memory.events)
	defer reader.free()
	caller := newCallerWriter(e.writer)
	first, withoutID := true, 0
	isContinued := e.lastEventID == "" // the next event with an id tells whether the answer continues the stream
	for {
		event, id, err := reader.next()
		if errors.Is(err, io.EOF) {
			if first && !(e.headSent && isFramed(answer.Response)) {
				return errEmptyStream
			}
			return nil
		}
		if err != nil {
			return err
		}
		if !isNextEventID(e.lastEventID, id) {
			return errEventOrder
		}
		if isContinued = isContinued || id != ""; !isContinued && hasContent(event) {
			return errNotContinuation
		}
		e.writeHead(answer.Response)
		if isUnknown := id == "" && (e.isPositionUnknown || hasContent(event)); isUnknown != e.isPositionUnknown {
			e.isPositionUnknown = isUnknown
			onPosition(!isUnknown)
		}
		hasData := bytes.Contains(event, []byte("data:"))
		e.stalls.beginWrite(time.Now())
		err = caller.writeEvent(event)
		e.stalls.endWrite(time.Now(), id != "" || hasData)
		if err != nil {
			return err
		}
		if id != "" {
			e.lastEventID, withoutID = id, 0
		} else if e.lastEventID != "" || !hasData {
			if withoutID++; withoutID > maxEventsWithoutID {
				return errEventsWithoutID
			}
		}
		if id != "" || hasData {
			onEvent(first)
			first = false
		}
	}
}

// checkContinuation returns an error if an answer can't continue the stream that has begun, judged by its head: a success with another
// status or media type may be a report of an error, whose end is not the end of the stream.
func (e *exchange) checkContinuation(response *http.Response) error {
	if !e.headSent {
		return nil
	}
	if got := mediaType(response); response.StatusCode != e.status || got != e.mediaType {
		return fmt.Errorf("%w: status %d and media type %q after %d and %q", errNotContinuation, response.StatusCode, got, e.status, e.mediaType)
	}
	return nil
}

// mediaType returns the media type of an answer without its parameters, empty for none.
func mediaType(response *http.Response) string {
	text, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(text))
}

// hasContent reports whether an event has a line other than comments, its type and the reconnection time, which mean nothing without data.
func hasContent(event []byte) bool {
	for line := range bytes.Lines(event) {
		isComment := len(bytes.TrimRight(line, "\r\n")) == 0 || line[0] == ':'
		if !isComment && !bytes.HasPrefix(line, []byte("retry:")) && !bytes.HasPrefix(line, []byte("event:")) {
			return true
		}
	}
	return false
}

// isFramed reports whether the headers of an answer define its end. If only the end of the connection does, an empty
// answer to a resumed stream can't be distinguished from a lost connection.
func isFramed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// writeHead writes the head of an answer, once for all attempts.
func (e *exchange) writeHead(response *http.Response) {
	if e.headSent {
		return
	}
	e.headSent, e.status, e.mediaType = true, response.StatusCode, mediaType(response)
	e.beginUnframed()
	header := response.Header.Clone()
	e.daemon.adapter.Headers.RemoveHopHeaders(header)
	header.Del("Content-Length")
	copyHeader(e.writer.Header(), header)
	e.writer.WriteHeader(response.StatusCode)
}

// isEventLine reports whether a line is empty, a comment or a field. The names of fields are in lower case, unlike those in the head of an
// answer, which a faulty upstream may write after a part of a stream.
func isEventLine(line []byte) bool {
	name, _, hasValue := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
	isName := !bytes.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_'
	})
	switch string(name) {
	case "", "data", "event", "id", "retry":
		return true
	}
	return hasValue && isName
}

// isNextEventID reports whether an event with this id, empty for none, may follow last: if last is a number, id must be last plus one.
func isNextEventID(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil || id == "" {
		return true
	}
	now, err := strconv.ParseInt(id, 10, 64)
	return err == nil && before < math.MaxInt64 && now == before+1
}
