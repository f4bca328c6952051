package callers

import (
	"encoding/json"
	"net/http"

	"github.com/azurepond/azurepond/pkg/operator"
)

type wireAddresses struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"lifetime"`
}

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleAddresses returns the addresses of the daemons in order of preference, and the TTL of the list in seconds.
func (s *Server) handleAddresses(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.authenticate(w, r); !ok {
		return
	}
	list, err := s.daemon.Addresses(r.Context(), r.Header.Get(centreHeader))
	if err != nil {
		rejection(http.StatusServiceUnavailable, "stopping", err.Error()).write(w)
		return
	}
	writeJSON(w, wireAddresses{list.List(), list.TTL().Seconds()})
}

// handleModels lists the models that the organisation may call.
func (s *Server) handleModels(w http.ResponseWriter, r *http.Request) {
	organisation, ok := s.authenticate(w, r)
	if !ok {
		return
	}
	wire := wireModels{Object: "list", Data: []wireModel{}}
	for _, model := range s.daemon.Fleet().Models() {
		if organisation.MayCall(model.Name()) {
			wire.Data = append(wire.Data, wireModel{model.Name(), "model", ownerOf(s.daemon.Fleet(), model.Name())})
		}
	}
	writeJSON(w, wire)
}

func ownerOf(fleet operator.Fleet, target string) string {
	config, _ := fleet.Owner(target)
	return config.Team()
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
