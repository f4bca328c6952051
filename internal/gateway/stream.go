package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/azurepond/azurepond/internal/transport"
	"github.com/azurepond/azurepond/pkg/dispatch"
)

// watchSilence reports each time that the ticker, which every event sets back, runs out, and how often it did in a row.
func (d *Daemon) watchSilence(attempt dispatch.AttemptID, silent *time.Ticker, pauses *atomic.Int32, whole <-chan struct{}) {
	for {
		select {
		case <-whole:
			return
		case <-silent.C:
			d.feedDispatch(dispatch.NewStreamStalled(attempt, int(pauses.Add(1))))
		}
	}
}

// pacing is how the events of a stream came.
type pacing struct {
	last    time.Time
	first   time.Duration // until the first event
	longest time.Duration // between two events
}

func (p *pacing) begin(now time.Time) { p.last = now }

func (p *pacing) event(now time.Time, isFirst bool) {
	if passed := now.Sub(p.last); isFirst {
		p.first = passed
	} else {
		p.longest = max(p.longest, passed)
	}
	p.last = now
}

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

var (
	errMidEvent = errors.New("the stream ended within an event")
	errOrder    = errors.New("the id of an event does not follow the one before")
	errEmpty    = errors.New("the stream ended without an event")
	errTooLong  = errors.New("an event is too long")
)

// stream passes on the events of an answer as they come, and reports whether the caller has all of them.
func (e *exchange) stream(ctx context.Context, send dispatch.Send, done *transport.Exchange, v Verdict) bool {
	e.daemon.feedDispatch(dispatch.NewStarted(send.Attempt(), v.Load))
	silent := time.NewTicker(send.StallTimeout())
	defer silent.Stop()
	stop := context.AfterFunc(ctx, silent.Stop)
	defer stop()
	whole := make(chan struct{})
	defer close(whole)
	var pauses atomic.Int32
	var paces pacing
	paces.begin(time.Now())
	go e.daemon.watchSilence(send.Attempt(), silent, &pauses, whole)
	err := e.relay(done, func(first bool) {
		pauses.Store(0)
		silent.Reset(send.StallTimeout())
		paces.event(time.Now(), first)
		if first {
			e.daemon.feedDispatch(dispatch.NewFirstEventReceived(send.Attempt()))
		}
	})
	if paces.first > 0 {
		e.daemon.recorder.Streamed(send.Route(), paces.first, paces.longest)
	}
	if err != nil {
		done.Abort()
		e.daemon.log.Line("upstream", "stream cut", "id", e.name, "upstream", send.Upstream(), "last", e.last, "err", err.Error())
		e.report(ctx, dispatch.NewFailed(send.Attempt(), dispatch.Interrupted))
		return false
	}
	done.Close()
	e.daemon.feedDispatch(dispatch.NewCompleted(send.Attempt()))
	return true
}

// relay copies events to the caller; moved is called after each of them.
func (e *exchange) relay(done *transport.Exchange, moved func(first bool)) error {
	reader := bufio.NewReader(done.Response.Body)
	control := http.NewResponseController(e.writer)
	first := true
	for {
		event, id, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			if first && !(e.begun && isFramed(done.Response)) {
				return errEmpty
			}
			return nil
		}
		if err != nil {
			return err
		}
		if !follows(e.last, id) {
			return errOrder
		}
		e.head(done.Response)
		if _, err := e.writer.Write(event); err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
		if id != "" {
			e.last = id
		}
		moved(first)
		first = false
	}
}

// isFramed reports whether an answer tells where it ends, other than by the end of its connection. A resumed stream may
// have nothing left, but a connection that ends at once says nothing.
func isFramed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// head writes the head of an answer, once for all attempts.
func (e *exchange) head(response *http.Response) {
	if e.begun {
		return
	}
	e.begun = true
	header := response.Header.Clone()
	e.daemon.adapter.Wire.Return(header)
	header.Del("Content-Length")
	copyHeader(e.writer.Header(), header)
	e.writer.WriteHeader(response.StatusCode)
}

// readEvent returns the next whole event with the empty line that ends it, and its id; io.EOF comes only between events.
func readEvent(reader *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEvent {
			continue
		}
		if errors.Is(err, io.EOF) && len(event) > 0 {
			return nil, "", errMidEvent
		}
		if err != nil {
			return nil, "", err
		}
		if len(event) > maxEvent {
			return nil, "", errTooLong
		}
		if value, isID := bytes.CutPrefix(line, []byte("id:")); isID {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, id, nil
		}
	}
}

// follows reports whether an event may come after the last one: its id is the next number, if both are numbers.
func follows(last, id string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	now, errNow := strconv.ParseInt(id, 10, 64)
	if errBefore != nil || errNow != nil {
		return true
	}
	return now == before+1
}
