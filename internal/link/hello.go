package link

import (
	"bytes"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// protocol identifies the format of the hello, so that connections of other programs are rejected early.
const protocol = "azurepond/1"

// maxNameBytes limits the name and the address in a hello.
const maxNameBytes = 256

// hello is the first frame in each direction: the name of the daemon, and the address where it listens for peers.
type hello struct {
	name    string
	address string
}

type wireHello struct {
	_msgpack struct{} `msgpack:",as_array"`
	Protocol string
	Name     string
	Address  string
}

func (h hello) encode() ([]byte, error) {
	data, err := msgpack.Marshal(&wireHello{Protocol: protocol, Name: h.name, Address: h.address})
	return data, trace.Wrap(err)
}

// helloFields is the number of fields of a hello. A newer build may send more, which are skipped.
const helloFields = 3

func decodeHello(data []byte) (hello, error) {
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	n, err := decoder.DecodeArrayLen()
	if err != nil {
		return hello{}, trace.BadParameter("malformed hello: %v", err)
	}
	if n < helloFields {
		return hello{}, trace.BadParameter("malformed hello: %d fields, want %d", n, helloFields)
	}
	var wire wireHello
	for _, field := range []*string{&wire.Protocol, &wire.Name, &wire.Address} {
		if *field, err = decoder.DecodeString(); err != nil {
			return hello{}, trace.BadParameter("malformed hello: %v", err)
		}
	}
	if wire.Protocol != protocol {
		return hello{}, trace.BadParameter("the hello has protocol %q instead of %q", wire.Protocol, protocol)
	}
	if wire.Name == "" || len(wire.Name) > maxNameBytes || len(wire.Address) > maxNameBytes {
		return hello{}, trace.BadParameter("the name or address in the hello is missing or too long")
	}
	return hello{wire.Name, wire.Address}, nil
}
