package service

import (
	"encoding/json"
	"strconv"

	"github.com/azurepond/azurepond/pkg/object"
)

// store is an object API in memory.
type store struct {
	objects map[object.Key]object.Found
	version int
	reads   int
	writes  int
	stored  int
	bytes   int
}

func newStore() *store { return &store{objects: map[object.Key]object.Found{}} }

func (s *store) do(request object.Request) object.Result {
	existing, exists := s.objects[request.Key()]
	switch r := request.(type) {
	case object.Put:
		s.writes++
		s.bytes += len(r.Data())
		if existing.Version() != r.ExpectedVersion() {
			return object.NewConflict(r.Ref())
		}
		s.version++
		s.stored++
		version := object.Version(strconv.Itoa(s.version))
		s.objects[r.Key()] = object.NewFound(0, version, r.Data())
		return object.NewStored(r.Ref(), version)
	case object.Delete:
		s.writes++
		if exists && existing.Version() != r.ExpectedVersion() {
			return object.NewConflict(r.Ref())
		}
		delete(s.objects, r.Key())
		return object.NewAbsent(r.Ref())
	}
	s.reads++
	if !exists {
		return object.NewAbsent(request.Ref())
	}
	return object.NewFound(request.Ref(), existing.Version(), existing.Data())
}

// decodeStored returns the claims in a value of the store.
func decodeStored(data []byte) claims {
	var stamped struct {
		Value json.RawMessage `json:"value"`
	}
	if err := json.Unmarshal(data, &stamped); err != nil {
		panic(err)
	}
	found, err := decodeClaims(stamped.Value)
	if err != nil {
		panic(err)
	}
	return found
}
