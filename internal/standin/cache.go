package standin

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// cacheBlockBytes is the length of the prompt text in one block of the prefix cache.
	cacheBlockBytes = 256
	// maxCacheBlocks is the capacity of an engine's prefix cache.
	maxCacheBlocks = 1024
)

// cacheLog is the prefix cache of an engine with its event log, guarded by the engine's lock.
type cacheLog struct {
	blocks     []uint64
	events     []cacheEventWire
	lastNumber uint64
}

type cacheEventWire struct {
	Number uint64 `json:"number"`
	Verb   string `json:"verb"`
	Block  uint64 `json:"block,string"`
}

type cacheWire struct {
	Boot   string           `json:"boot"`
	Events []cacheEventWire `json:"events"`
}

func (l *cacheLog) addPrompt(prompt string) {
	digest := xxhash.New()
	for start := 0; start+cacheBlockBytes <= len(prompt); start += cacheBlockBytes {
		_, _ = digest.WriteString(prompt[start : start+cacheBlockBytes])
		l.addBlock(digest.Sum64())
	}
}

func (l *cacheLog) addBlock(block uint64) {
	for _, known := range l.blocks {
		if known == block {
			return
		}
	}
	l.blocks = append(l.blocks, block)
	l.logEvent("store", block)
	if len(l.blocks) > maxCacheBlocks {
		l.logEvent("evict", l.blocks[0])
		l.blocks = l.blocks[1:]
	}
}

func (l *cacheLog) logEvent(verb string, block uint64) {
	l.lastNumber++
	l.events = append(l.events, cacheEventWire{l.lastNumber, verb, block})
}

// DropEvents removes the oldest count events from the cache log, so that readers see a gap.
func (e *Engine) DropEvents(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.events = e.cache.events[min(count, len(e.cache.events)):]
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "after is no number")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	response := cacheWire{Boot: string(e.bootID), Events: []cacheEventWire{}}
	for _, event := range e.cache.events {
		if event.Number > after {
			response.Events = append(response.Events, event)
		}
	}
	writeJSON(w, http.StatusOK, response)
}
