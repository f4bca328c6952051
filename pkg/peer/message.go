package peer

import (
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// Message is what one daemon says to another at one time; every section may be empty.
type Message struct {
	from        string
	incarnation uint64
	number      uint64
	sent        time.Duration
	digest      uint32
	settled     bool
	cards       []card
	beats       []beat
	changes     []change
	statements  []statement
	facts       []fact
	revisions   []revision
	documents   []Document
	wants       wants
	letters     []letter
}

// From returns the name that the sender gives itself.
func (m Message) From() string { return m.from }

// Number returns the place of the message among all that this start of the sender sent; it only grows.
func (m Message) Number() uint64 { return m.number }

// handle is the short name of one start of one daemon: a hash of its name and incarnation.
type handle uint32

// card introduces one start of one daemon, together with its last beat.
type card struct {
	name        string
	address     string
	caller      string
	centre      string
	incarnation uint64
	edition     uint64
	leaving     bool
	sequence    uint64
	age         time.Duration
	version     uint64
	revision    uint64
}

// beat says that one daemon was alive, and that all in its statement of that version still held, age ago.
type beat struct {
	of       handle
	sequence uint8
	age      time.Duration
	version  uint16
	revision uint8
	codes    []byte // loads of what the daemon is the primary watcher of, in the order of its statement; empty for no news
}

// entry is what one watcher says of one upstream.
type entry struct {
	upstream   string
	alive      bool
	boot       instance.BootID
	assignment instance.Assignment
	phase      instance.Phase
	loaded     uint8
	primary    bool
	code       uint8
	age        time.Duration
}

// change is the step of one watcher's statement to version: one entry put in or removed.
type change struct {
	of      handle
	version uint64
	removed bool
	entry   entry
}

// statement is all that one watcher says; every entry held age ago.
type statement struct {
	of      handle
	version uint64
	age     time.Duration
	entries []entry
}

// fact is a soft fact with the lifetime that it has left.
type fact struct {
	topic    string
	key      string
	origin   string
	sequence uint64
	value    []byte
	lifetime time.Duration
}

// letter is what another part of the sender tells the same part of the receiver alone.
type letter struct {
	topic string
	data  []byte
}

// revision says which revision of a document the sender holds.
type revision struct {
	name   string
	number uint64
}

// wants is what the sender asks the receiver for.
type wants struct {
	join       bool
	cards      []handle
	beats      []handle
	statements []handle
	documents  []string
}

func (w wants) isEmpty() bool {
	return !w.join && len(w.cards) == 0 && len(w.beats) == 0 && len(w.statements) == 0 && len(w.documents) == 0
}

func (m Message) isEmpty() bool {
	return len(m.cards) == 0 && len(m.beats) == 0 && len(m.changes) == 0 &&
		len(m.statements) == 0 && len(m.facts) == 0 && len(m.revisions) == 0 && len(m.documents) == 0 &&
		m.wants.isEmpty() && len(m.letters) == 0
}
