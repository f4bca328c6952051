package operator

// Model is the configuration of one model.
type Model struct {
	name             string
	pool             string
	span             int
	accelerators     int
	bytesPerInstance int64
	replicas         int
	fencing          bool
}

// Name returns the name that callers use in requests.
func (m Model) Name() string { return m.name }

// Pool returns the pool whose instances form the replicas.
func (m Model) Pool() string { return m.pool }

// Span returns the number of instances of one replica.
func (m Model) Span() int { return m.span }

// Accelerators returns the number of accelerators of each instance.
func (m Model) Accelerators() int { return m.accelerators }

// BytesPerInstance returns the number of bytes that each instance of a replica loads from the weight store.
func (m Model) BytesPerInstance() int64 { return m.bytesPerInstance }

// Replicas returns the wanted number of replicas.
func (m Model) Replicas() int { return m.replicas }

// Fencing reports whether the engines refuse an order with an outdated fencing token.
func (m Model) Fencing() bool { return m.fencing }
