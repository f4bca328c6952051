package peer

import (
	"net/netip"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
)

// Message is one message from a daemon to a peer. Every section may be empty.
type Message struct {
	from           string
	incarnation    uint64
	number         uint64
	senderUptime   time.Duration // when the message was sent
	digest         uint32        // of the documents in force on the sender
	synced         bool          // the sender's documents are the latest, as far as can be known
	members        []memberInfo
	heartbeats     []heartbeat
	reportChanges  []reportChange
	reports        []report
	facts          []fact
	revisions      []documentRevision
	documents      []Document
	request        peerRequest
	directMessages []directMessage
}

// From returns the name that the sender claims.
func (m Message) From() string { return m.from }

// Number returns the sequence number of the message within this incarnation of the sender.
func (m Message) Number() uint64 { return m.number }

// handle identifies one incarnation of a daemon on the wire: a hash of its name and incarnation.
type handle uint32

// memberInfo describes one incarnation of a daemon, together with its last heartbeat.
type memberInfo struct {
	name          string
	address       string
	callerAddress string
	centre        string
	incarnation   uint64
	infoVersion   uint64 // from the highest bits: 8 for the capacity, 16 for the relay port, 40 for the number of changes
	leaving       bool
	sequence      uint64
	age           time.Duration
	reportVersion uint64
	revision      uint64
}

// capacityShift is the position of the capacity in infoVersion. Daemons of earlier versions send zeros there and compare the
// whole number, so both understand each other.
const capacityShift = 56

func (i memberInfo) capacity() int { return int(i.infoVersion >> capacityShift) }

// relayPortShift is the position of the relay port in infoVersion, below the capacity.
const relayPortShift = 40

// relayAddress returns where the member accepts requests to pass on, empty if it does not.
func (i memberInfo) relayAddress() string {
	host, err := netip.ParseAddrPort(i.address)
	port := uint16(i.infoVersion >> relayPortShift)
	if err != nil || port == 0 {
		return ""
	}
	return netip.AddrPortFrom(host.Addr(), port).String()
}

// heartbeat states that a daemon was alive, and that every entry in that version of its report was still true, age ago.
type heartbeat struct {
	member        handle
	sequence      uint8
	age           time.Duration
	reportVersion uint16
	revision      uint8
	loadCodes     []byte // of the upstreams that it watches as primary, in the order of its report; empty if unchanged
}

// reportEntry is the state of one upstream as its watcher observed it.
type reportEntry struct {
	upstream      string
	alive         bool
	boot          instance.BootID
	assignment    instance.Assignment
	phase         instance.Phase
	loadedPercent uint8
	primary       bool // the watcher ranks first among those of the upstream, and reports its load in heartbeats
	loadCode      uint8
	age           time.Duration
}

// reportChange moves a watcher's report to version by one entry set or removed.
type reportChange struct {
	watcher handle
	version uint64
	removed bool
	entry   reportEntry
}

// report is the complete state that one watcher observed. Every entry was true age ago.
type report struct {
	watcher handle
	version uint64
	age     time.Duration
	entries []reportEntry
}

// fact is a piece of soft state that expires unless its origin renews it.
type fact struct {
	topic    string
	key      string
	origin   string
	sequence uint64
	value    []byte
	ttl      time.Duration
}

// directMessage is sent by another package of the sender to the same package of a single receiver.
type directMessage struct {
	topic string
	data  []byte
}

// documentRevision is the number of the revision of a document that the sender has.
type documentRevision struct {
	name   string
	number uint64
}

// peerRequest lists what the sender requests from the receiver; join requests all live members, facts and revisions.
type peerRequest struct {
	join       bool
	members    []handle
	heartbeats []handle
	reports    []handle
	documents  []string
}

func (r peerRequest) isEmpty() bool {
	return !r.join && len(r.members) == 0 && len(r.heartbeats) == 0 && len(r.reports) == 0 && len(r.documents) == 0
}

func (m Message) isEmpty() bool {
	return len(m.members) == 0 && len(m.heartbeats) == 0 && len(m.reportChanges) == 0 &&
		len(m.reports) == 0 && len(m.facts) == 0 && len(m.revisions) == 0 && len(m.documents) == 0 &&
		m.request.isEmpty() && len(m.directMessages) == 0
}
