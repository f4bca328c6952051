package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/azurepond/azurepond/pkg/instance"
	"github.com/azurepond/azurepond/pkg/jsontext"
)

// The labels, the resource and the address type of a node in the instance list.
const (
	domainLabel         = "azurepond.dev/domain"
	dataCentreLabel     = "topology.kubernetes.io/zone"
	poolLabel           = "azurepond.dev/pool"
	portLabel           = "azurepond.dev/port"
	acceleratorResource = "azurepond.dev/accelerators"
	internalAddressType = "InternalIP"
)

// listMetadataWire is the metadata of a Kubernetes NodeList.
type listMetadataWire struct {
	ResourceVersion string `json:"resourceVersion"`
}

type nodeWire struct {
	Metadata struct {
		Name   string            `json:"name"`
		Labels map[string]string `json:"labels"`
	} `json:"metadata"`
	Spec struct {
		Unschedulable bool `json:"unschedulable"`
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

// Instances returns the instance list in the order of the platform, and its revision, which increases with each change.
// Instances without a name, address, valid port or number of accelerators are skipped, as are entries that can't be read.
func (c *Client) Instances(ctx context.Context) (revision uint64, instances []instance.Instance, err error) {
	result := c.call(ctx, http.MethodGet, instancesPath, nil, maxListBytes)
	if result.err != nil {
		return 0, nil, trace.ConnectionProblem(result.err, "cannot read the instance list")
	}
	if result.status != http.StatusOK {
		return 0, nil, trace.ConnectionProblem(nil, "cannot read the instance list: %s", result.reason())
	}
	fields, err := jsontext.Fields(result.body)
	if err != nil {
		return 0, nil, trace.BadParameter("malformed instance list: %v", err)
	}
	var list listMetadataWire
	if err := json.Unmarshal(fields["metadata"], &list); err != nil {
		return 0, nil, trace.BadParameter("malformed instance list: %v", err)
	}
	if revision, err = strconv.ParseUint(list.ResourceVersion, 10, 64); err != nil {
		return 0, nil, trace.BadParameter("instance list without a numeric resource version: %v", err)
	}
	items, err := jsontext.ElementsOf(fields, "items")
	if err != nil {
		return 0, nil, trace.BadParameter("malformed instance list: %v", err)
	}
	instances = make([]instance.Instance, 0, len(items))
	for _, item := range items {
		var node nodeWire
		if json.Unmarshal(item, &node) != nil {
			continue
		}
		if decoded, valid := decodeInstance(node); valid {
			instances = append(instances, decoded)
		}
	}
	return revision, instances, nil
}

func decodeInstance(node nodeWire) (instance.Instance, bool) {
	labels := node.Metadata.Labels
	accelerators, err := strconv.Atoi(node.Status.Capacity[acceleratorResource])
	if err != nil || accelerators < 0 {
		return instance.Instance{}, false
	}
	host, port := nodeHost(node), labels[portLabel]
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 || host == "" || node.Metadata.Name == "" {
		return instance.Instance{}, false
	}
	id := instance.ID(node.Metadata.Name)
	decoded := instance.NewInstance(id, net.JoinHostPort(host, port), labels[domainLabel], labels[dataCentreLabel],
		accelerators).WithPool(labels[poolLabel])
	if node.Spec.Unschedulable {
		decoded = decoded.WithLeaving()
	}
	return decoded, true
}

func nodeHost(node nodeWire) string {
	for _, address := range node.Status.Addresses {
		if address.Type == internalAddressType {
			return address.Address
		}
	}
	return ""
}
