package object

import (
	"math/rand/v2"
	"strconv"
)

// fakeStore stores one object. It loses requests and responses with a probability of lossPercent each.
type fakeStore struct {
	random      *rand.Rand
	version     int
	data        []byte
	lossPercent int
}

func newFakeStore(seed uint64, lossPercent int) *fakeStore {
	return &fakeStore{random: rand.New(rand.NewPCG(seed, seed)), lossPercent: lossPercent}
}

func (f *fakeStore) current() Version {
	if f.version == 0 {
		return ""
	}
	return Version(strconv.Itoa(f.version))
}

func (f *fakeStore) call(r Request) Result {
	if f.random.IntN(100) < f.lossPercent {
		return NewLost(r.Ref())
	}
	put, isPut := r.(Put)
	if !isPut {
		if f.version == 0 {
			return NewAbsent(r.Ref())
		}
		return NewFound(r.Ref(), f.current(), f.data)
	}
	if put.ExpectedVersion() != f.current() {
		return NewConflict(r.Ref())
	}
	f.version++
	f.data = put.Data()
	if f.random.IntN(100) < f.lossPercent {
		return NewLost(r.Ref())
	}
	return NewStored(r.Ref(), f.current())
}
