package callers

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// benchTokens is the number of tokens in an answer.
const benchTokens = 64

// BenchmarkStream compares streams through the server with streams directly from the engine, for 1 and 64 callers.
func BenchmarkStream(b *testing.B) {
	for _, callers := range []int{1, 64} {
		for _, target := range []string{"engine", "entry"} {
			b.Run(fmt.Sprintf("callers=%d/to=%s", callers, target), func(b *testing.B) {
				h := newHarness(b)
				url := h.url
				if target == "engine" {
					url = "http://" + h.addresses[0]
				}
				benchmarkStream(b, url, callers)
			})
		}
	}
}

func benchmarkStream(b *testing.B, url string, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	body := fmt.Sprintf(`{"model":"drafts","stream":true,"max_tokens":%d,`+
		`"messages":[{"role":"user","content":"a grey coat"}]}`, benchTokens)
	var read, failed, next atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for range callers {
		group.Go(func() {
			for next.Add(1) <= int64(b.N) {
				n, err := readAnswer(client, url, body)
				read.Add(n)
				if err != nil {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.Elapsed().Microseconds())*float64(callers)/float64(b.N), "us/answer")
	b.ReportMetric(float64(read.Load())/float64(b.N), "B/answer")
	b.ReportMetric(float64(failed.Load()), "failed")
}

func readAnswer(client *http.Client, url, body string) (int64, error) {
	request, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("X-Request-Id", "bench")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %s", response.Status)
	}
	return io.Copy(io.Discard, response.Body)
}
