package object

// Result is what became of a Request: Found, Absent, Stored, Conflict, Refused or Lost.
type Result interface {
	// Ref returns the reference of the request.
	Ref() Ref
	isResult()
}

type resultBase struct{ ref Ref }

func (a resultBase) Ref() Ref { return a.ref }

func (resultBase) isResult() {}

// Found says that the object exists; it answers Get and, at each change, Watch.
type Found struct {
	resultBase
	version Version
	data    []byte
}

// NewFound returns the result of a read that found data (JSON) at version.
func NewFound(ref Ref, version Version, data []byte) Found {
	return Found{resultBase{ref}, version, data}
}

// Version returns the version that was read.
func (f Found) Version() Version { return f.version }

// Data returns the JSON value that was read.
func (f Found) Data() []byte { return f.data }

// Absent says that the object does not exist; it answers Get, Delete and Watch.
type Absent struct{ resultBase }

// NewAbsent returns the result of a read that found nothing.
func NewAbsent(ref Ref) Absent { return Absent{resultBase{ref}} }

// Stored says that the write took effect.
type Stored struct {
	resultBase
	version Version
}

// NewStored returns the result of a write that took effect as version.
func NewStored(ref Ref, version Version) Stored { return Stored{resultBase{ref}, version} }

// Version returns the version that the write created.
func (s Stored) Version() Version { return s.version }

// Conflict says that the write did not take effect, since the object has another version.
type Conflict struct{ resultBase }

// NewConflict returns the result of a write that lost against another.
func NewConflict(ref Ref) Conflict { return Conflict{resultBase{ref}} }

// Refused says that the request certainly took no effect: it was never sent, or the platform turned it away.
type Refused struct {
	resultBase
	reason string
}

// NewRefused returns the result of a request that took no effect, for reason.
func NewRefused(ref Ref, reason string) Refused { return Refused{resultBase{ref}, reason} }

// Reason returns why the request took no effect.
func (r Refused) Reason() string { return r.reason }

// Lost says that no answer came: a write may or may not have taken effect.
type Lost struct{ resultBase }

// NewLost returns the result of a request whose answer was lost.
func NewLost(ref Ref) Lost { return Lost{resultBase{ref}} }
