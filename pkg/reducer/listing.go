package reducer

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/peer"
)

// listDocument is the name of the document by which peers exchange the platform's instance list.
const listDocument = "instances"

// The intervals between reads of the instance list.
const (
	defaultListInterval  = time.Second
	fallbackReadInterval = 2 * time.Minute // average at a daemon that receives the list from others
)

// listRandomStream selects the random sequence of the list, so that packages with the same seed draw independently.
const listRandomStream = 7

// listing is the platform's instance list as last received.
type listing struct {
	random     *rand.Rand
	nextReadAt time.Time
	received   bool
	data       []byte // encoded instances
	instances  []instance.Instance
}

type wireInstance struct {
	ID           string `json:"id"`
	Address      string `json:"address"`
	Domain       string `json:"domain,omitempty"`
	Centre       string `json:"centre"`
	Pool         string `json:"pool,omitempty"`
	Accelerators int    `json:"accelerators"`
	Leaving      bool   `json:"leaving,omitempty"`
}

// requestList requests the instance list when a read is due. The few daemons that distribute it read it at each interval,
// and so does a daemon that has none; the others read it every fallbackReadInterval on average.
func (s *State) requestList() {
	if s.now.Before(s.listing.nextReadAt) {
		return
	}
	interval := s.settings.listInterval
	if interval <= 0 {
		interval = defaultListInterval
	}
	s.listing.nextReadAt = s.now.Add(interval)
	if s.peer.IsReader(s.now, listDocument) || !s.listing.received || s.drawFallbackRead(interval) {
		s.emit(ListInstances{})
	}
}

// drawFallbackRead reports whether to read the list although others distribute it.
func (s *State) drawFallbackRead(interval time.Duration) bool {
	return s.listing.random.Int64N(int64(max(fallbackReadInterval/interval, 1))) == 0
}

// publishList sends a list that was read to the peers if it differs from the last received one.
func (s *State) publishList(e Listed) {
	data := encodeList(e.instances)
	if s.listing.received && bytes.Equal(data, s.listing.data) {
		return
	}
	s.reducePeer(peer.NewDocumentPublished(peer.NewDocument(listDocument, e.revision, data)))
}

// applyList replaces the list by the newest one among peers, and ignores one that can't be decoded.
func (s *State) applyList(d peer.Document) {
	instances, err := decodeList(d.Data())
	if err != nil {
		return
	}
	s.listing.received, s.listing.data, s.listing.instances = true, d.Data(), instances
	s.reduceInstance(instance.NewListed(instances))
	s.refreshWatchedUpstreams()
}

func encodeList(instances []instance.Instance) []byte {
	wire := make([]wireInstance, 0, len(instances))
	for _, i := range instances {
		wire = append(wire, wireInstance{
			string(i.ID()), i.Address(), i.Domain(), i.DataCentre(), i.Pool(), i.Accelerators(), i.Leaving(),
		})
	}
	data, err := json.Marshal(wire)
	if err != nil {
		panic("reducer: can't encode the instance list: " + err.Error())
	}
	return data
}

func decodeList(data []byte) ([]instance.Instance, error) {
	var wire []wireInstance
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, err
	}
	instances := make([]instance.Instance, 0, len(wire))
	for _, w := range wire {
		decoded := instance.NewInstance(instance.ID(w.ID), w.Address, w.Domain, w.Centre, w.Accelerators).WithPool(w.Pool)
		if w.Leaving {
			decoded = decoded.WithLeaving()
		}
		instances = append(instances, decoded)
	}
	return instances, nil
}
