package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
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

// The limits of the events of a stream.
const (
	maxEventBytes      = 1 << 20
	maxEventsWithoutID = 1024 // in a row, if they have no data or earlier ones had ids
)

var (
	errTruncatedEvent  = errors.New("stream ended within an event")
	errEventOrder      = errors.New("event id does not follow the previous one")
	errEmptyStream     = errors.New("stream ended without an event")
	errEventTooLong    = errors.New("event exceeds the size limit")
	errEventsWithoutID = errors.New("too many events without an id")
)

// forwardStream forwards the events of an answer as they arrive, and reports whether the caller received all of them.
func (e *exchange) forwardStream(
	ctx context.Context, send dispatch.Send, answer *transport.Exchange, class Classification,
) bool {
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
	})
	if timing.firstDelay > 0 {
		e.daemon.recorder.StreamAttemptEnded(send.Route(), timing.firstDelay, timing.longestGap)
	}
	if err != nil {
		answer.Abort()
		e.daemon.log.Info("upstream", "stream failed",
			"id", e.name, "upstream", send.Upstream(), "last", e.lastEventID, "err", err.Error())
		e.reportBroken(ctx, send, err)
		return false
	}
	answer.Close()
	e.endUnframed()
	e.daemon.enqueueDispatch(dispatch.NewCompleted(send.Attempt()))
	return true
}

// relay copies events to the caller and calls onEvent after each one that has an id or data.
func (e *exchange) relay(answer *transport.Exchange, onEvent func(first bool)) error {
	reader := bufio.NewReader(answer.Response.Body)
	caller := newCallerWriter(e.writer)
	first, withoutID := true, 0
	for {
		event, id, err := readEvent(reader)
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
		e.writeHead(answer.Response)
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

// isFramed reports whether the headers of an answer define its end. If only the end of the connection does, an empty
// answer to a resumed stream can't be distinguished from a lost connection.
func isFramed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// writeHead writes the head of an answer, once for all attempts.
func (e *exchange) writeHead(response *http.Response) {
	if e.headSent {
		return
	}
	e.headSent = true
	e.beginUnframed()
	header := response.Header.Clone()
	e.daemon.adapter.Headers.RemoveHopHeaders(header)
	header.Del("Content-Length")
	copyHeader(e.writer.Header(), header)
	e.writer.WriteHeader(response.StatusCode)
}

// readEvent returns the next complete event, including its final empty line, and its id. It returns io.EOF only between
// events.
func readEvent(reader *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes {
			continue
		}
		if errors.Is(err, io.EOF) && len(event) > 0 {
			return nil, "", errTruncatedEvent
		}
		if err != nil {
			return nil, "", err
		}
		if len(event) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		if value, isID := bytes.CutPrefix(line, []byte("id:")); isID {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, id, nil
		}
	}
}

// isNextEventID reports whether the event id may follow last: if both are numbers, id must be last plus one.
func isNextEventID(last, id string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	now, errNow := strconv.ParseInt(id, 10, 64)
	if errBefore != nil || errNow != nil {
		return true
	}
	return now == before+1
}
