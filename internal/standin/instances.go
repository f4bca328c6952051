package standin

import (
	"net/http"
	"net/netip"
	"strconv"
)

// The labels and the resource of a node in the instance list.
const (
	domainLabel         = "azurepond.dev/domain"
	dataCentreLabel     = "topology.kubernetes.io/zone"
	poolLabel           = "azurepond.dev/pool"
	portLabel           = "azurepond.dev/port"
	acceleratorResource = "azurepond.dev/accelerators"
)

// Instance is one entry of the instance list.
type Instance struct {
	name         string
	domain       string
	dataCentre   string
	accelerators int
	address      netip.AddrPort
	pool         string
	leaving      bool
}

// NewInstance returns a live instance whose engine listens on address.
func NewInstance(name, domain, dataCentre string, accelerators int, address netip.AddrPort) Instance {
	return Instance{
		name: name, domain: domain, dataCentre: dataCentre, accelerators: accelerators, address: address,
	}
}

// Name returns the name of the instance.
func (i Instance) Name() string { return i.name }

// WithPool returns the instance as a member of pool.
func (i Instance) WithPool(pool string) Instance {
	i.pool = pool
	return i
}

// WithLeaving returns the instance marked as leaving.
func (i Instance) WithLeaving() Instance {
	i.leaving = true
	return i
}

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(instances ...Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.instances = append([]Instance(nil), instances...)
}

// MarkLeaving marks the instance called name as leaving.
func (p *Platform) MarkLeaving(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	for i, listed := range p.instances {
		if listed.name == name {
			p.instances[i] = listed.WithLeaving()
		}
	}
}

// nodeListWire is a Kubernetes NodeList.
type nodeListWire struct {
	Kind       string `json:"kind"`
	APIVersion string `json:"apiVersion"`
	Metadata   struct {
		ResourceVersion string `json:"resourceVersion"`
	} `json:"metadata"`
	Items []nodeWire `json:"items"`
}

type nodeWire struct {
	Metadata struct {
		Name   string            `json:"name"`
		Labels map[string]string `json:"labels"`
	} `json:"metadata"`
	Spec struct {
		Unschedulable bool `json:"unschedulable,omitempty"`
	} `json:"spec"`
	Status struct {
		Capacity  map[string]string `json:"capacity"`
		Addresses []addressWire     `json:"addresses"`
	} `json:"status"`
}

type addressWire struct {
	Type    string `json:"type"`
	Address string `json:"address"`
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.callCounts.lists.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	response := nodeListWire{Kind: "NodeList", APIVersion: "v1", Items: []nodeWire{}}
	response.Metadata.ResourceVersion = strconv.FormatUint(p.revision, 10)
	for _, listed := range p.instances {
		response.Items = append(response.Items, encodeInstance(listed))
	}
	writeJSON(w, http.StatusOK, response)
}

func encodeInstance(i Instance) nodeWire {
	var node nodeWire
	node.Metadata.Name = i.name
	node.Metadata.Labels = map[string]string{
		domainLabel:     i.domain,
		dataCentreLabel: i.dataCentre,
		portLabel:       strconv.Itoa(int(i.address.Port())),
	}
	if i.pool != "" {
		node.Metadata.Labels[poolLabel] = i.pool
	}
	node.Spec.Unschedulable = i.leaving
	node.Status.Capacity = map[string]string{acceleratorResource: strconv.Itoa(i.accelerators)}
	node.Status.Addresses = []addressWire{{Type: "InternalIP", Address: i.address.Addr().String()}}
	return node
}
