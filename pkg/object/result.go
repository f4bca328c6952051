package object

// Result is the result of a Request: Found, Absent, StillCurrent, Stored, Conflict, Refused or Lost.
type Result interface {
	// Ref returns the reference of the request.
	Ref() Ref
	// Era returns the era of the store that answered, 0 if unknown.
	Era() uint64
	isResult()
}

type resultBase struct {
	ref Ref
	era uint64
}

func (r resultBase) Ref() Ref { return r.ref }

func (r resultBase) Era() uint64 { return r.era }

// InEra returns a result with the era of the store that answered. The era rises when the store is restored from an older
// snapshot. Versions of different eras can't be compared.
func InEra(result Result, era uint64) Result {
	switch r := result.(type) {
	case Found:
		r.era = era
		return r
	case Absent:
		r.era = era
		return r
	case StillCurrent:
		r.era = era
		return r
	case Stored:
		r.era = era
		return r
	case Conflict:
		r.era = era
		return r
	case Refused:
		r.era = era
		return r
	case Lost:
		r.era = era
		return r
	}
	return result
}

func (resultBase) isResult() {}

// Found is the result of a Get or Watch of an object that exists; a Watch returns one for each change.
type Found struct {
	resultBase
	version Version
	data    []byte
}

// NewFound returns the result of a read that found data (JSON) at version.
func NewFound(ref Ref, version Version, data []byte) Found {
	return Found{resultBase{ref: ref}, version, data}
}

// Version returns the version that was read.
func (f Found) Version() Version { return f.version }

// Data returns the JSON value that was read.
func (f Found) Data() []byte { return f.data }

// Absent is the result of a Get, Delete or Watch of an object that does not exist.
type Absent struct{ resultBase }

// NewAbsent returns the result of a read that found nothing.
func NewAbsent(ref Ref) Absent { return Absent{resultBase{ref: ref}} }

// StillCurrent is a result of a Watch: the store has answered, and the object has not changed since the last result.
type StillCurrent struct{ resultBase }

// NewStillCurrent returns the result of a watch whose object has not changed since the last result.
func NewStillCurrent(ref Ref) StillCurrent { return StillCurrent{resultBase{ref: ref}} }

// Stored is the result of a write that took effect.
type Stored struct {
	resultBase
	version Version
}

// NewStored returns the result of a write that took effect as version.
func NewStored(ref Ref, version Version) Stored { return Stored{resultBase{ref: ref}, version} }

// Version returns the version that the write created.
func (s Stored) Version() Version { return s.version }

// Conflict is the result of a write that took no effect, since the object has another version.
type Conflict struct{ resultBase }

// NewConflict returns the result of a write whose expected version is outdated.
func NewConflict(ref Ref) Conflict { return Conflict{resultBase{ref: ref}} }

// Refused is the result of a request that certainly took no effect: it was never sent, or the platform rejected it.
type Refused struct {
	resultBase
	reason string
}

// NewRefused returns the result of a request that took no effect, for reason.
func NewRefused(ref Ref, reason string) Refused { return Refused{resultBase{ref: ref}, reason} }

// Reason returns why the request took no effect.
func (r Refused) Reason() string { return r.reason }

// Lost is the result of a request without a response: a write may or may not have taken effect.
type Lost struct{ resultBase }

// NewLost returns the result of a request whose response was lost.
func NewLost(ref Ref) Lost { return Lost{resultBase{ref: ref}} }
