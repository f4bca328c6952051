package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurepond/azurepond/platform/standin"
)

// call sends one request to the daemon with this index and checks the response.
func (s *soak) call(ctx context.Context, client *http.Client, id, path string, daemon int) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.daemons[daemon].addresses[0]+path,
		strings.NewReader("b"))
	if err != nil {
		s.recordFailure("request: " + err.Error())
		return
	}
	request.Host = "p"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Model": "m", "X-Tokens": "100,25", "X-Deadline-Ms": "5000",
	} {
		request.Header.Set(name, value)
	}
	if strings.HasPrefix(path, "/issue/") {
		s.mutex.Lock()
		s.onceIDs = append(s.onceIDs, id)
		s.mutex.Unlock()
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readAnswer(response.Body)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case response.StatusCode == http.StatusOK && err == nil:
		s.servedCount++
		if want := expectedBody(id, path); string(body) != want {
			s.failures = append(s.failures, fmt.Sprintf("response to %s is %q", id, body))
		}
	case response.StatusCode == http.StatusServiceUnavailable:
		s.notRunIDs = append(s.notRunIDs, id)
	case response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusUnauthorized:
		s.failures = append(s.failures, fmt.Sprintf("%s was rejected with status %d", id, response.StatusCode))
	}
	s.statusCounts[response.StatusCode]++
}

// maxKeptBytes is how much of an answer the checks need: more than a right one has. The rest, of an endless one, is read and not kept.
const maxKeptBytes = largeBodyBytes + 1<<10

// readAnswer reads an answer until its end and returns its first bytes.
func readAnswer(body io.Reader) ([]byte, error) {
	kept, err := io.ReadAll(io.LimitReader(body, maxKeptBytes))
	if err == nil {
		_, err = io.Copy(io.Discard, body)
	}
	return kept, err
}

func expectedBody(id, path string) string {
	if strings.HasPrefix(path, "/issue/") {
		return "answer to " + id + " of : b"
	}
	count := standin.EventsPerStream
	if _, query, isSet := strings.Cut(path, "?events="); isSet {
		count, _ = strconv.Atoi(query) // the test wrote it
	}
	var b strings.Builder
	for n := 1; n <= count; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", n, id, n)
	}
	return b.String()
}

func (s *soak) recordFailure(failure string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures = append(s.failures, failure)
}

// startCallers starts callers that send requests until ctx is cancelled.
func (s *soak) startCallers(ctx context.Context, group *sync.WaitGroup) {
	for caller := range 12 {
		random := rand.New(rand.NewPCG(uint64(caller), 9))
		client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				path := "/draft/x"
				if random.IntN(3) == 0 {
					path = "/issue/x"
				}
				s.call(context.Background(), client, fmt.Sprintf("r-%d-%d", caller, n), path, random.IntN(*daemonCount))
				sleep(ctx, 20*time.Millisecond)
			}
		})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
