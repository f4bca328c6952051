package peer

// Document is one revision of a named value that is replicated to every daemon.
type Document struct {
	name     string
	revision uint64
	data     []byte
}

// NewDocument returns a revision of the document called name; data is its JSON value.
func NewDocument(name string, revision uint64, data []byte) Document {
	return Document{name, revision, data}
}

// Name returns the name of the document.
func (d Document) Name() string { return d.name }

// Revision returns the number of the revision, which increases with each change.
func (d Document) Revision() uint64 { return d.revision }

// Data returns the JSON value.
func (d Document) Data() []byte { return d.data }
