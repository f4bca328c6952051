package object

// Key names one object of the platform: its kind (plural, lower case) and its name.
type Key struct {
	kind string
	name string
}

// NewKey returns the key of the object called name among those of kind.
func NewKey(kind, name string) Key { return Key{kind: kind, name: name} }

// Kind returns the kind of the object.
func (k Key) Kind() string { return k.kind }

// Name returns the name of the object within its kind.
func (k Key) Name() string { return k.name }

// String returns "kind/name".
func (k Key) String() string { return k.kind + "/" + k.name }

// Version is the platform's opaque version of one object; the empty version means "does not exist".
type Version string

// Ref ties a result to the request that caused it; it is unique within one part of one process.
type Ref uint64

// Request is one call to the object API: Get, Put, Delete or Watch.
type Request interface {
	// Ref returns the reference that the result carries.
	Ref() Ref
	// Key returns the object that the request is about.
	Key() Key
	isRequest()
}

type requestBase struct {
	ref Ref
	key Key
}

func (b requestBase) Ref() Ref { return b.ref }

func (b requestBase) Key() Key { return b.key }

func (requestBase) isRequest() {}

// Get reads one object.
type Get struct{ requestBase }

// NewGet returns a read of key.
func NewGet(ref Ref, key Key) Get { return Get{requestBase{ref, key}} }

// Put writes one object if its version is still the expected one.
type Put struct {
	requestBase
	expectedVersion Version
	data            []byte
}

// NewPut returns a write of data (JSON, at most MaxBytes) to key on the condition that its version is expect;
// an empty expect creates the object.
func NewPut(ref Ref, key Key, expect Version, data []byte) Put {
	return Put{requestBase{ref, key}, expect, data}
}

// Expect returns the version that the write is conditional on.
func (p Put) Expect() Version { return p.expectedVersion }

// Data returns the JSON value to write.
func (p Put) Data() []byte { return p.data }

// Delete removes one object if its version is still the expected one.
type Delete struct {
	requestBase
	expectedVersion Version
}

// NewDelete returns a removal of key on the condition that its version is expect.
func NewDelete(ref Ref, key Key, expect Version) Delete { return Delete{requestBase{ref, key}, expect} }

// Expect returns the version that the removal is conditional on.
func (d Delete) Expect() Version { return d.expectedVersion }

// Watch asks for one result for each change of an object, beginning with its present state.
type Watch struct{ requestBase }

// NewWatch returns a watch of key.
func NewWatch(ref Ref, key Key) Watch { return Watch{requestBase{ref, key}} }

// MaxValueBytes is the largest value that one object holds, in bytes.
const MaxValueBytes = 1 << 20
