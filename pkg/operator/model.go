package operator

// Model is one model and the replicas wanted of it.
type Model struct {
	name             string
	pool             string
	span             int
	accelerators     int
	bytesPerInstance int64
	replicas         int
	fencing          bool
}

// Name returns the name that callers ask for.
func (m Model) Name() string { return m.name }

// Pool returns the pool of instances that the replicas are formed from.
func (m Model) Pool() string { return m.pool }

// Span returns how many instances one replica spans.
func (m Model) Span() int { return m.span }

// Accelerators returns how many accelerators each instance holds.
func (m Model) Accelerators() int { return m.accelerators }

// BytesPerInstance returns how much each instance of a replica loads from the weight store, in bytes.
func (m Model) BytesPerInstance() int64 { return m.bytesPerInstance }

// Replicas returns how many replicas are wanted.
func (m Model) Replicas() int { return m.replicas }

// Fencing reports whether the engines refuse an order that carries an old fencing number.
func (m Model) Fencing() bool { return m.fencing }
