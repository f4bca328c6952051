package callers

import (
	"encoding/json"
	"net/http"

	"github.com/azurepond/azurepond/pkg/operator"
)

type wireAddresses struct {
	Addresses []string `json:"addresses"`
	Lifetime  float64  `json:"lifetime"`
}

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

type wireModel struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// addresses tells a caller which daemons to use, the best first, and for how many seconds.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	if _, isKnown := s.organisation(w, r); !isKnown {
		return
	}
	list, err := s.daemon.Addresses(r.Context(), r.Header.Get(centreHeader))
	if err != nil {
		refusal(http.StatusServiceUnavailable, "stopping", err.Error()).write(w)
		return
	}
	writeJSON(w, wireAddresses{list.List(), list.TTL().Seconds()})
}

// models lists the models that the organisation may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	organisation, isKnown := s.organisation(w, r)
	if !isKnown {
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
