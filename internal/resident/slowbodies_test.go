package resident

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestSlowBodies guards against callers that hold the memory for bodies without sending them.
func TestSlowBodies(t *testing.T) {
	const slow = 8
	for name, begin := range map[string]string{
		"of strangers":             beginOf("/closed/x", wrongKey+endBeforeLarge),
		"of strangers, in chunks":  beginOf("/closed/x", wrongKey+chunked+"3f0000\r\n"),
		"to no route":              beginOf("/none/x", endBeforeLarge),
		"of callers":               beginOf("/issue/x", endBeforeLarge),
		"of callers, in chunks":    beginOf("/issue/x", chunked+"3f0000\r\n"),
		"at the port of the peers": beginOf("/issue/x", endBeforeLarge),
		"of one of the peers":      beginOf("/issue/x", toUpstream+endBeforeLarge),
	} {
		t.Run(name, func(t *testing.T) {
			d := startCrowdDaemon(t)
			address := d.front
			if strings.Contains(name, "peers") {
				address = d.relay
			}
			stop := make(chan struct{})
			var group sync.WaitGroup
			defer group.Wait()
			defer close(stop)
			var begun sync.WaitGroup
			for range slow {
				begun.Add(1)
				group.Go(func() { sendSlowly(address, begin, &begun, stop) })
			}
			begun.Wait()
			if !d.isAnswered(strings.Repeat("x", 2<<20)) {
				t.Error("an ordinary request of 2 MB was not answered beside them")
			}
		})
	}
}

// sendSlowly sends the begin of a request, and then a byte in each tenth of a second.
func sendSlowly(address, begin string, begun *sync.WaitGroup, stop <-chan struct{}) {
	opened, err := net.Dial("tcp", address)
	if err == nil {
		defer func() { _ = opened.Close() }()
		_, err = io.WriteString(opened, begin)
	}
	begun.Done()
	ticker := time.NewTicker(time.Second / 10)
	defer ticker.Stop()
	for err == nil {
		select {
		case <-stop:
			return
		case <-ticker.C:
			_, err = io.WriteString(opened, "b")
		}
	}
}
