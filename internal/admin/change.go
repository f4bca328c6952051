package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/azurepond/azurepond/internal/settings"
	"github.com/azurepond/azurepond/pkg/operator"
	"github.com/azurepond/azurepond/pkg/yaml"
	"k8s.io/klog/v2"
)

// requestFileName is the file name in the mistakes of a request body.
const requestFileName = "request"

// apply replaces the configuration of a team.
func (h *Handler) apply(w http.ResponseWriter, r *http.Request) {
	config, ok := readConfig(w, r)
	if !ok {
		return
	}
	token := requestToken(r)
	if config.Team() != token.Team() && token.Team() != operator.FleetTeam {
		reject(w, http.StatusForbidden, "the token is not one of team "+config.Team(), "use a token of that team")
		return
	}
	id, ok := requestID(w, r, token)
	if !ok {
		return
	}
	e := operator.NewApplyRequested(id, token.Name(), config)
	if isRetry(r) {
		e = e.AsRetry()
	}
	h.submit(w, r, "apply to team "+config.Team(), e)
}

func (h *Handler) planAction(w http.ResponseWriter, r *http.Request) {
	var wire struct {
		Verb   string `json:"verb"`
		Kind   string `json:"kind"`
		Target string `json:"target"`
	}
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		reject(w, http.StatusBadRequest, "is not JSON: "+err.Error(),
			`send {"verb": "drain", "kind": "replica", "target": "NAME"}`)
		return
	}
	token := requestToken(r)
	id, ok := requestID(w, r, token)
	if !ok {
		return
	}
	action := operator.NewAction(operator.Verb(wire.Verb), operator.Kind(wire.Kind), wire.Target)
	e := operator.NewActionRequested(id, token.Name(), token.Team(), action)
	if isRetry(r) {
		e = e.AsRetry()
	}
	h.submit(w, r, action.String(), e)
}

// isRetry reports whether the client sent the change before.
func isRetry(r *http.Request) bool { return r.Header.Get(RetryHeader) == "true" }

// submit submits the event of a change, logs its author and outcome, and writes the outcome.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request, change string, e operator.Event) {
	token := requestToken(r)
	outcome, err := h.daemon.Submit(r.Context(), e)
	if err != nil {
		outcome = operator.NewUnknown(err.Error())
	}
	klog.InfoS("admin: Change requested.", "who", token.Name(), "team", token.Team(), "change", change,
		"outcome", summariseOutcome(outcome))
	writeOutcome(w, outcome)
}

// summariseOutcome returns outcome as text for the log.
func summariseOutcome(outcome operator.Outcome) string {
	switch o := outcome.(type) {
	case operator.Accepted:
		return fmt.Sprintf("accepted, revision %d", o.Revision())
	case operator.Conflict:
		return fmt.Sprintf("conflict, built on %d, present revision %d", o.Base().Revision(), o.Current().Revision())
	case operator.Refused:
		return "refused: " + yaml.Mistakes(o.Mistakes()).Error()
	case operator.Unknown:
		return "unknown: " + o.Reason()
	}
	return "told"
}

// history returns the changes that the store keeps.
func (h *Handler) history(w http.ResponseWriter, r *http.Request) {
	token := requestToken(r)
	id, ok := requestID(w, r, token)
	if !ok {
		return
	}
	outcome, err := h.daemon.Submit(r.Context(), operator.NewReadRequested(id, token.Team()))
	if err != nil {
		outcome = operator.NewUnknown(err.Error())
	}
	writeOutcome(w, outcome)
}

// requestID returns the ID of the request's change. It starts with the team, so that teams never share an ID.
func requestID(w http.ResponseWriter, r *http.Request, token settings.Token) (operator.RequestID, bool) {
	key := r.Header.Get(IdempotencyKeyHeader)
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		reject(w, http.StatusBadRequest, "has no header "+IdempotencyKeyHeader+" of 1 to 64 letters",
			"send a new UUID with each change")
		return "", false
	}
	return operator.RequestID(token.Team() + "/" + key), true
}

func readConfig(w http.ResponseWriter, r *http.Request) (operator.Config, bool) {
	data, ok := readBody(w, r)
	if !ok {
		return operator.Config{}, false
	}
	config, err := operator.ParseConfig(requestFileName, data)
	if err != nil {
		writeOutcome(w, refusedOutcome(err))
		return operator.Config{}, false
	}
	return config, true
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		reject(w, http.StatusRequestEntityTooLarge, "is larger than 1 MB", "send less")
		return nil, false
	}
	if err != nil {
		reject(w, http.StatusBadRequest, "was cut off", "send it again")
		return nil, false
	}
	return data, true
}

// refusedOutcome returns the outcome for a request body with mistakes.
func refusedOutcome(err error) operator.Outcome {
	var mistakes yaml.Mistakes
	if errors.As(err, &mistakes) {
		return operator.NewRefused(mistakes)
	}
	return operator.NewRefused([]yaml.Mistake{yaml.NewMistake(requestFileName, 0, "", err.Error(), "")})
}

func writeOutcome(w http.ResponseWriter, outcome operator.Outcome) {
	status := http.StatusOK
	switch outcome.(type) {
	case operator.Conflict:
		status = http.StatusConflict
	case operator.Refused:
		status = http.StatusUnprocessableEntity
	case operator.Unknown:
		status = http.StatusGatewayTimeout
	}
	writeResponse(w, status, "application/json", MarshalOutcome(outcome))
}

// reject responds that the request had no effect because of problem.
func reject(w http.ResponseWriter, status int, problem, remedy string) {
	mistake := yaml.NewMistake(requestFileName, 0, "", problem, remedy)
	writeResponse(w, status, "application/json", MarshalOutcome(operator.NewRefused([]yaml.Mistake{mistake})))
}

func writeResponse(w http.ResponseWriter, status int, kind string, data []byte) {
	w.Header().Set("Content-Type", kind)
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		klog.V(1).InfoS("admin: Response not written.", "err", err.Error())
	}
}
