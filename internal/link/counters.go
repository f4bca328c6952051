package link

import (
	"net"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"
)

// counters holds the metrics of all links of one daemon.
type counters struct {
	bytesSent        metrics.Counter
	bytesReceived    metrics.Counter
	framesSent       metrics.Counter
	framesReceived   metrics.Counter
	framesDropped    metrics.Counter
	refusedMalformed metrics.Counter
	refusedOversized metrics.Counter
	refusedForeign   metrics.Counter
	acceptFailures   metrics.Counter
	openLinks        metrics.Gauge
}

func newCounters(registry metrics.Registry) *counters {
	return &counters{
		bytesSent:        metrics.GetOrRegisterCounter("link.bytes.sent", registry),
		bytesReceived:    metrics.GetOrRegisterCounter("link.bytes.received", registry),
		framesSent:       metrics.GetOrRegisterCounter("link.frames.sent", registry),
		framesReceived:   metrics.GetOrRegisterCounter("link.frames.received", registry),
		framesDropped:    metrics.GetOrRegisterCounter("link.frames.dropped", registry),
		refusedMalformed: metrics.GetOrRegisterCounter("link.refused.malformed", registry),
		refusedOversized: metrics.GetOrRegisterCounter("link.refused.oversized", registry),
		refusedForeign:   metrics.GetOrRegisterCounter("link.refused.foreign", registry),
		acceptFailures:   metrics.GetOrRegisterCounter("link.accept.failures", registry),
		openLinks:        metrics.GetOrRegisterGauge("link.open", registry),
	}
}

// countedConn counts the bytes below TLS. They include all framing.
type countedConn struct {
	net.Conn
	counters *counters
}

// Read reads from the connection and counts the bytes.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.bytesReceived.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.bytesSent.Inc(int64(n))
	return n, err
}

// countRefused counts a malformed or oversized frame. Other errors, such as a closed connection, are not counted.
func (c *counters) countRefused(err error) {
	switch {
	case trace.IsLimitExceeded(err):
		c.refusedOversized.Inc(1)
	case trace.IsBadParameter(err):
		c.refusedMalformed.Inc(1)
	}
}
