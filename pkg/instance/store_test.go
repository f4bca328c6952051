package instance

import (
	"strconv"

	"github.com/azurepond/azurepond/pkg/object"
)

// fakeStore simulates the platform's object API.
type fakeStore struct {
	data            map[object.Key][]byte
	versions        map[object.Key]int
	down            bool
	loseAnswers     int    // number of next writes that take effect but whose answer is lost
	dropWrites      int    // number of next writes that are lost
	ignoreVersions  bool   // faulty variant: ignores the expected version of a write
	unreachableKind string // kind of the objects whose requests are lost
	calls           int
}

func newFakeStore() *fakeStore {
	return &fakeStore{data: map[object.Key][]byte{}, versions: map[object.Key]int{}}
}

func (f *fakeStore) version(key object.Key) object.Version {
	if f.versions[key] == 0 {
		return ""
	}
	return object.Version(strconv.Itoa(f.versions[key]))
}

// call carries out one request.
func (f *fakeStore) call(r object.Request) object.Result {
	f.calls++
	if f.down || r.Key().Kind() == f.unreachableKind {
		return object.NewLost(r.Ref())
	}
	put, isPut := r.(object.Put)
	if !isPut {
		return f.get(r)
	}
	if f.dropWrites > 0 {
		f.dropWrites--
		return object.NewLost(r.Ref())
	}
	if put.ExpectedVersion() != f.version(r.Key()) && !f.ignoreVersions {
		return object.NewConflict(r.Ref())
	}
	f.versions[r.Key()]++
	f.data[r.Key()] = put.Data()
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return object.NewLost(r.Ref())
	}
	return object.NewStored(r.Ref(), f.version(r.Key()))
}

func (f *fakeStore) get(r object.Request) object.Result {
	if f.versions[r.Key()] == 0 {
		return object.NewAbsent(r.Ref())
	}
	return object.NewFound(r.Ref(), f.version(r.Key()), f.data[r.Key()])
}
