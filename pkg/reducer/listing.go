package reducer

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/peer"
)

// listDocument is the name under which peers spread the platform's instance list.
const listDocument = "instances"

// The times of reading the instance list.
const (
	defaultList  = time.Second
	listBackstop = 2 * time.Minute
)

// listSeed tells the draws of this part from those of others.
const listSeed = 7

// listing is the platform's instance list, as far as this daemon knows it.
type listing struct {
	random    *rand.Rand
	due       time.Time
	known     bool
	data      []byte
	instances []instance.Instance
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

// askList asks for the instance list when it is due: often at the few daemons that bring it to the others, now and then
// at the rest, and at once while none is known.
func (s *State) askList() {
	if s.now.Before(s.listing.due) {
		return
	}
	period := s.identity.list
	if period <= 0 {
		period = defaultList
	}
	s.listing.due = s.now.Add(period)
	if s.peer.IsReader(s.now, listDocument) || !s.listing.known || s.drawsBackstop(period) {
		s.emit(ListInstances{})
	}
}

// drawsBackstop reports, once in a backstop time on average, that the list is read although others bring it.
func (s *State) drawsBackstop(period time.Duration) bool {
	return s.listing.random.Int64N(int64(max(listBackstop/period, 1))) == 0
}

// publishList spreads a list that was read, if it says something new.
func (s *State) publishList(e Listed) {
	data := encodeList(e.instances)
	if s.listing.known && bytes.Equal(data, s.listing.data) {
		return
	}
	s.toPeer(peer.NewDocumentPublished(peer.NewDocument(listDocument, e.revision, data)))
}

// adoptList takes over the list that is in force among peers.
func (s *State) adoptList(d peer.Document) {
	instances, err := decodeList(d.Data())
	if err != nil {
		return
	}
	s.listing.known, s.listing.data, s.listing.instances = true, d.Data(), instances
	s.toInstance(instance.NewListed(instances))
	s.listUpstreams()
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
		panic("reducer: the instance list cannot be encoded: " + err.Error())
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
		one := instance.NewInstance(instance.ID(w.ID), w.Address, w.Domain, w.Centre, w.Accelerators).WithPool(w.Pool)
		if w.Leaving {
			one = one.WithLeaving()
		}
		instances = append(instances, one)
	}
	return instances, nil
}
