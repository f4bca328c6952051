package object

// Key identifies one object of the platform by its kind (plural, lower case) and its name.
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

// Ref matches a result to its request; it is unique within one component of one process.
type Ref uint64

// Request is one call to the object API: Get, Put, Delete or Watch.
type Request interface {
	// Ref returns the reference that the result repeats.
	Ref() Ref
	// Key returns the key of the object.
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

// NewPut returns a write of data (JSON, at most MaxValueBytes) to key on the condition that its version is
// expectedVersion; an empty version creates the object.
func NewPut(ref Ref, key Key, expectedVersion Version, data []byte) Put {
	return Put{requestBase{ref, key}, expectedVersion, data}
}

// ExpectedVersion returns the version that the write is conditional on.
func (p Put) ExpectedVersion() Version { return p.expectedVersion }

// Data returns the JSON value to write.
func (p Put) Data() []byte { return p.data }

// Delete removes one object if its version is still the expected one.
type Delete struct {
	requestBase
	expectedVersion Version
}

// NewDelete returns a removal of key on the condition that its version is expectedVersion.
func NewDelete(ref Ref, key Key, expectedVersion Version) Delete {
	return Delete{requestBase{ref, key}, expectedVersion}
}

// ExpectedVersion returns the version that the removal is conditional on.
func (d Delete) ExpectedVersion() Version { return d.expectedVersion }

// Watch requests one result for the current state of an object and one for each change, with StillCurrent results in between.
type Watch struct{ requestBase }

// NewWatch returns a watch of key.
func NewWatch(ref Ref, key Key) Watch { return Watch{requestBase{ref, key}} }

// MaxValueBytes is the largest size of an object's value in bytes.
const MaxValueBytes = 1 << 20
