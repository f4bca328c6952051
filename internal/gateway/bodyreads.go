package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// The limits of a body that is being read while others wait for memory.
const (
	maxBodyPause    = time.Second // without a byte
	minBodyRate     = 64 << 10    // bytes per second
	minBodyReadTime = time.Second // after which the rate counts
)

var errBodyHalted = errors.New("the body arrives too slowly, and others wait for memory")

// bodyReads are the bodies that are being read. The zero value is ready to use.
type bodyReads struct {
	mutex sync.Mutex
	reads map[*bodyRead]struct{}
}

// bodyRead measures how fast a body arrives. The time in which the daemon doesn't read, as it waits for memory, does not count.
type bodyRead struct {
	content io.Reader
	control *http.ResponseController

	mutex     sync.Mutex
	bytes     int64
	readTime  time.Duration // of the reads that have returned
	readSince time.Time     // of the present read, zero between two
	halted    bool
	ended     bool
}

// begin returns the reader of a body that must arrive within timeout.
func (b *bodyReads) begin(w http.ResponseWriter, content io.Reader, timeout time.Duration) *bodyRead {
	read := &bodyRead{content: content, control: http.NewResponseController(w)}
	_ = read.control.SetReadDeadline(time.Now().Add(timeout)) // fails only if the connection is closed
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.reads == nil {
		b.reads = map[*bodyRead]struct{}{}
	}
	b.reads[read] = struct{}{}
	return read
}

// end handles that a body is no longer read.
func (b *bodyReads) end(read *bodyRead) {
	b.mutex.Lock()
	delete(b.reads, read)
	b.mutex.Unlock()
	read.mutex.Lock()
	defer read.mutex.Unlock()
	read.ended = true
	_ = read.control.SetReadDeadline(time.Time{}) // fails only if the connection is closed
}

// haltSlow ends the reads that are too slow if others wait for memory.
func (b *bodyReads) haltSlow(now time.Time, waiting int) {
	if waiting == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for read := range b.reads {
		read.haltIfSlow(now)
	}
}

// Read reads from the body.
func (r *bodyRead) Read(p []byte) (int, error) {
	r.mutex.Lock()
	r.readSince = time.Now()
	r.mutex.Unlock()
	n, err := r.content.Read(p)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readTime += time.Since(r.readSince)
	r.readSince = time.Time{}
	r.bytes += int64(n)
	return n, err
}

func (r *bodyRead) haltIfSlow(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.readSince.IsZero() || r.halted || r.ended {
		return
	}
	pause := now.Sub(r.readSince)
	total := r.readTime + pause
	if pause < maxBodyPause && (total < minBodyReadTime || float64(r.bytes) >= minBodyRate*total.Seconds()) {
		return
	}
	r.halted = true
	_ = r.control.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

func (r *bodyRead) isHalted() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.halted
}
