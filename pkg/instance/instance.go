package instance

// Instance is one entry of the platform's instance list.
type Instance struct {
	id           ID
	address      string
	domain       string
	dataCentre   string
	pool         string
	accelerators int
	leaving      bool
}

// NewInstance returns an instance at address (host:port) in a fabric domain of a data centre.
func NewInstance(id ID, address, domain, dataCentre string, accelerators int) Instance {
	return Instance{id: id, address: address, domain: domain, dataCentre: dataCentre, accelerators: accelerators}
}

// WithPool returns the instance as a member of pool. Without a pool, an instance belongs to the first pool by name.
func (i Instance) WithPool(pool string) Instance {
	i.pool = pool
	return i
}

// WithLeaving returns the instance marked as leaving.
func (i Instance) WithLeaving() Instance {
	i.leaving = true
	return i
}

// ID returns the name of the instance.
func (i Instance) ID() ID { return i.id }

// Address returns the address of the instance's engine as host:port.
func (i Instance) Address() string { return i.address }

// Domain returns the fabric domain of the instance.
func (i Instance) Domain() string { return i.domain }

// DataCentre returns the data centre of the instance.
func (i Instance) DataCentre() string { return i.dataCentre }

// Accelerators returns the number of accelerators of the instance.
func (i Instance) Accelerators() int { return i.accelerators }

// Leaving reports whether the platform will remove the instance.
func (i Instance) Leaving() bool { return i.leaving }

// Pool returns the pool that the instance belongs to, empty for the first one by name.
func (i Instance) Pool() string { return i.pool }
