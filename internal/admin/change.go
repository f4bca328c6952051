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

// requestFile is the name that mistakes in a request's body give as their file.
const requestFile = "request"

// apply replaces the configuration of the caller's team.
func (h *Handler) apply(w http.ResponseWriter, r *http.Request) {
	config, ok := readConfig(w, r)
	if !ok {
		return
	}
	token := caller(r)
	if config.Team() != token.Team() && token.Team() != operator.FleetTeam {
		decline(w, http.StatusForbidden, "the token is not one of team "+config.Team(), "use a token of that team")
		return
	}
	id, ok := requestID(w, r, token)
	if !ok {
		return
	}
	e := operator.NewApplyRequested(id, token.Name(), config)
	if isAgain(r) {
		e = e.AsRetry()
	}
	h.submit(w, r, "apply to team "+config.Team(), e)
}

// act plans an action.
func (h *Handler) act(w http.ResponseWriter, r *http.Request) {
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
		decline(w, http.StatusBadRequest, "is not JSON: "+err.Error(), `send {"verb": "drain", "kind": "replica", "target": "NAME"}`)
		return
	}
	token := caller(r)
	id, ok := requestID(w, r, token)
	if !ok {
		return
	}
	action := operator.NewAction(operator.Verb(wire.Verb), operator.Kind(wire.Kind), wire.Target)
	e := operator.NewActionRequested(id, token.Name(), token.Team(), action)
	if isAgain(r) {
		e = e.AsRetry()
	}
	h.submit(w, r, action.String(), e)
}

// isAgain reports whether the client sent the change before.
func isAgain(r *http.Request) bool { return r.Header.Get(RetryHeader) == "true" }

// submit hands in the event of a change, logs who made it, and answers with its outcome.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request, what string, e operator.Event) {
	token := caller(r)
	outcome, err := h.daemon.Submit(r.Context(), e)
	if err != nil {
		outcome = operator.NewUnknown(err.Error())
	}
	klog.InfoS("admin: A change was asked for.", "who", token.Name(), "team", token.Team(), "change", what,
		"outcome", brief(outcome))
	reply(w, outcome)
}

// brief returns outcome in a few words.
func brief(outcome operator.Outcome) string {
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

// history tells which changes the store keeps.
func (h *Handler) history(w http.ResponseWriter, r *http.Request) {
	token := caller(r)
	id, ok := requestID(w, r, token)
	if !ok {
		return
	}
	outcome, err := h.daemon.Submit(r.Context(), operator.NewReadRequested(id, token.Team()))
	if err != nil {
		outcome = operator.NewUnknown(err.Error())
	}
	reply(w, outcome)
}

// requestID returns the ID under which the change of the request goes; those of different teams never meet.
func requestID(w http.ResponseWriter, r *http.Request, token settings.Token) (operator.RequestID, bool) {
	key := r.Header.Get(IdempotencyKeyHeader)
	if key == "" || len(key) > maxKey {
		decline(w, http.StatusBadRequest, "has no header "+IdempotencyKeyHeader+" of 1 to 64 letters", "send a new UUID with each change")
		return "", false
	}
	return operator.RequestID(token.Team() + "/" + key), true
}

func readConfig(w http.ResponseWriter, r *http.Request) (operator.Config, bool) {
	data, ok := readBody(w, r)
	if !ok {
		return operator.Config{}, false
	}
	config, err := operator.ParseConfig(requestFile, data)
	if err != nil {
		reply(w, refusal(err))
		return operator.Config{}, false
	}
	return config, true
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		decline(w, http.StatusRequestEntityTooLarge, "is larger than 1 MB", "send less")
		return nil, false
	}
	if err != nil {
		decline(w, http.StatusBadRequest, "was cut off", "send it again")
		return nil, false
	}
	return data, true
}

// refusal returns the outcome of a body with mistakes.
func refusal(err error) operator.Outcome {
	var mistakes yaml.Mistakes
	if errors.As(err, &mistakes) {
		return operator.NewRefused(mistakes)
	}
	return operator.NewRefused([]yaml.Mistake{yaml.NewMistake(requestFile, 0, "", err.Error(), "")})
}

// reply answers with outcome.
func reply(w http.ResponseWriter, outcome operator.Outcome) {
	status := http.StatusOK
	switch outcome.(type) {
	case operator.Conflict:
		status = http.StatusConflict
	case operator.Refused:
		status = http.StatusUnprocessableEntity
	case operator.Unknown:
		status = http.StatusGatewayTimeout
	}
	send(w, status, "application/json", MarshalOutcome(outcome))
}

// decline answers that the request took no effect, for problem.
func decline(w http.ResponseWriter, status int, problem, remedy string) {
	mistake := yaml.NewMistake(requestFile, 0, "", problem, remedy)
	send(w, status, "application/json", MarshalOutcome(operator.NewRefused([]yaml.Mistake{mistake})))
}

func send(w http.ResponseWriter, status int, kind string, data []byte) {
	w.Header().Set("Content-Type", kind)
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		klog.V(1).InfoS("admin: An answer was cut off.", "err", err.Error())
	}
}
