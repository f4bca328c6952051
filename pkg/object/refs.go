package object

// Refs generates references that are unique within one component of one process; the zero value is ready to use.
type Refs struct{ last Ref }

// Next returns a new reference.
func (r *Refs) Next() Ref {
	r.last++
	return r.last
}
