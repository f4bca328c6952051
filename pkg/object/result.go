package object

// Result is the result of a Request: Found, Absent, Stored, Conflict, Refused or Lost.
type Result interface {
	// Ref returns the reference of the request.
	Ref() Ref
	isResult()
}

type resultBase struct{ ref Ref }

func (r resultBase) Ref() Ref { return r.ref }

func (resultBase) isResult() {}

// Found is the result of a Get or Watch of an object that exists; a Watch returns one for each change.
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

// Absent is the result of a Get, Delete or Watch of an object that does not exist.
type Absent struct{ resultBase }

// NewAbsent returns the result of a read that found nothing.
func NewAbsent(ref Ref) Absent { return Absent{resultBase{ref}} }

// Stored is the result of a write that took effect.
type Stored struct {
	resultBase
	version Version
}

// NewStored returns the result of a write that took effect as version.
func NewStored(ref Ref, version Version) Stored { return Stored{resultBase{ref}, version} }

// Version returns the version that the write created.
func (s Stored) Version() Version { return s.version }

// Conflict is the result of a write that took no effect, since the object has another version.
type Conflict struct{ resultBase }

// NewConflict returns the result of a write whose expected version is outdated.
func NewConflict(ref Ref) Conflict { return Conflict{resultBase{ref}} }

// Refused is the result of a request that certainly took no effect: it was never sent, or the platform rejected it.
type Refused struct {
	resultBase
	reason string
}

// NewRefused returns the result of a request that took no effect, for reason.
func NewRefused(ref Ref, reason string) Refused { return Refused{resultBase{ref}, reason} }

// Reason returns why the request took no effect.
func (r Refused) Reason() string { return r.reason }

// Lost is the result of a request without a response: a write may or may not have taken effect.
type Lost struct{ resultBase }

// NewLost returns the result of a request whose response was lost.
func NewLost(ref Ref) Lost { return Lost{resultBase{ref}} }
