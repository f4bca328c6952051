package standin

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// cacheBlock is the length of the prompt text in one block of the prefix cache, in bytes.
	cacheBlock = 256
	// cacheBlocks is the number of blocks that an engine keeps.
	cacheBlocks = 1024
)

// cacheLog is the prefix cache of an engine with its log of events; the engine's lock guards it.
type cacheLog struct {
	blocks []uint64
	events []cacheEventWire
	next   uint64
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

func (l *cacheLog) store(prompt string) {
	digest := xxhash.New()
	for begin := 0; begin+cacheBlock <= len(prompt); begin += cacheBlock {
		_, _ = digest.WriteString(prompt[begin : begin+cacheBlock])
		l.add(digest.Sum64())
	}
}

func (l *cacheLog) add(block uint64) {
	for _, known := range l.blocks {
		if known == block {
			return
		}
	}
	l.blocks = append(l.blocks, block)
	l.log("store", block)
	if len(l.blocks) > cacheBlocks {
		l.log("evict", l.blocks[0])
		l.blocks = l.blocks[1:]
	}
}

func (l *cacheLog) log(verb string, block uint64) {
	l.next++
	l.events = append(l.events, cacheEventWire{l.next, verb, block})
}

// DropEvents loses the oldest cache events that are not lost yet, count of them, so that readers see a gap.
func (e *Engine) DropEvents(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.events = e.cache.events[min(count, len(e.cache.events)):]
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "after is no number")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	found := cacheWire{Boot: string(e.bootID), Events: []cacheEventWire{}}
	for _, event := range e.cache.events {
		if event.Number > after {
			found.Events = append(found.Events, event)
		}
	}
	writeJSON(w, http.StatusOK, found)
}
