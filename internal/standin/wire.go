package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

// maxBodyBytes is the size limit of a request body.
const maxBodyBytes = 3 << 20

// statusWire is a Kubernetes Status object.
type statusWire struct {
	Kind       string `json:"kind"`
	APIVersion string `json:"apiVersion"`
	Status     string `json:"status"`
	Message    string `json:"message"`
	Reason     string `json:"reason"`
	Code       int    `json:"code"`
}

func writeStatus(w http.ResponseWriter, code int, reason, message string) {
	writeJSON(w, code, statusWire{
		Kind: "Status", APIVersion: "v1", Status: "Failure", Message: message, Reason: reason, Code: code,
	})
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}

// readJSON decodes the body of r into value. On failure it responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return false
	}
	return true
}
