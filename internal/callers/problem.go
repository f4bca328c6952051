package callers

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/azurepond/azurepond/pkg/caller"
)

// outcomeHeader names the response header that tells a caller, in one word, whether its call ran.
const outcomeHeader = "X-Call-Outcome"

// replayHeader marks an answer that an earlier call with the same idempotency key received.
const replayHeader = "Idempotent-Replayed"

// The words of outcomeHeader.
const (
	wordAnswered = "answered"
	wordNotRun   = "not-run"
	wordUnknown  = "unknown"
)

// problem is one error as callers see it.
type problem struct {
	status  int
	outcome string
	code    string
	message string
	again   time.Duration
}

type wireProblem struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// refusal returns the problem of a request that never became a call.
func refusal(status int, code, message string) problem {
	return problem{status: status, outcome: wordNotRun, code: code, message: message}
}

// unreadyAgain is when a caller may try again at a daemon that knows no configuration yet.
const unreadyAgain = time.Second

// unready returns the problem of a request to a daemon that has no configuration in force.
func unready() problem {
	p := refusal(http.StatusServiceUnavailable, "configuration", "no configuration is in force at this entry yet")
	p.again = unreadyAgain
	return p
}

// bodyProblem returns the problem of a body that could not be read or understood.
func bodyProblem(err error) problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := "the body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
		return refusal(http.StatusRequestEntityTooLarge, "size", message)
	}
	return refusal(http.StatusBadRequest, "request", err.Error())
}

// outcomeOf returns the problem that tells a caller why its call was not answered.
func outcomeOf(outcome caller.Outcome) problem {
	switch o := outcome.(type) {
	case caller.NotRun:
		return notRunProblem(o)
	case caller.Unknown:
		return unknownProblem(o)
	}
	panic("callers: an answered call is no problem")
}

func notRunProblem(o caller.NotRun) problem {
	return problem{
		status:  notRunStatus(o.Reason()),
		outcome: wordNotRun,
		code:    string(o.Reason()),
		message: "the request was not run: " + explain(o.Reason()),
		again:   o.RetryAfter(),
	}
}

func unknownProblem(o caller.Unknown) problem {
	return problem{
		status:  http.StatusBadGateway,
		outcome: wordUnknown,
		code:    string(o.Reason()),
		message: "the request may have run: " + explain(o.Reason()),
	}
}

func notRunStatus(reason caller.Reason) int {
	switch reason {
	case caller.Overload, caller.QueueLimit:
		return http.StatusTooManyRequests
	case caller.UnknownTarget:
		return http.StatusNotFound
	case caller.UnknownOrganisation:
		return http.StatusForbidden
	case caller.Poison:
		return http.StatusUnprocessableEntity
	case caller.KeyExpired, caller.KeyInUse:
		return http.StatusConflict
	case caller.DeadlineExceeded, caller.NoReplica, caller.StoreUnavailable, caller.DaemonStopping, caller.UpstreamFailed, caller.Cancelled:
		return http.StatusServiceUnavailable
	}
	return http.StatusServiceUnavailable
}

var explanations = map[caller.Reason]string{
	caller.Overload:            "there is more work than capacity",
	caller.QueueLimit:          "the organisation has reached its limit",
	caller.DeadlineExceeded:    "it cannot be answered before its deadline",
	caller.NoReplica:           "no whole replica of the model, or no live process of the service, is known",
	caller.UnknownTarget:       "there is no such model or service",
	caller.UnknownOrganisation: "the organisation may not use this model or service",
	caller.Poison:              "this content has crashed engines before",
	caller.KeyExpired:          "the idempotency key is too old or is no UUID of version 7",
	caller.KeyInUse:            "a call with this idempotency key exists already",
	caller.StoreUnavailable:    "the platform's store cannot be reached",
	caller.DaemonStopping:      "this entry is stopping; use another address",
	caller.UpstreamFailed:      "the upstream broke off",
	caller.Cancelled:           "the caller left",
	caller.UnreliableUpstream:  "the upstream's answer could not be trusted",
}

func explain(reason caller.Reason) string {
	if text, known := explanations[reason]; known {
		return text
	}
	return string(reason)
}

// write sends the problem as the whole response.
func (p problem) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(outcomeHeader, p.outcome)
	if p.again > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.again.Seconds()))))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(p.encode())
}

// encode returns the problem as JSON in the shape that clients of model servers expect.
func (p problem) encode() []byte {
	wire := wireProblem{wireError{Message: p.message, Type: p.outcome, Code: p.code}}
	data, err := json.Marshal(wire)
	if err != nil {
		panic("callers: a problem cannot be encoded: " + err.Error())
	}
	return append(data, '\n')
}
