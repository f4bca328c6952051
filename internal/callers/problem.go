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

// outcomeHeader is the response header that tells a caller whether its call ran.
const outcomeHeader = "X-Call-Outcome"

// replayHeader marks the stored answer to an earlier call with the same idempotency key.
const replayHeader = "Idempotent-Replayed"

// The values of outcomeHeader.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// problem is an error that is sent to a caller, as the response or as the last event of a stream.
type problem struct {
	status     int
	outcome    string
	code       string
	message    string
	retryAfter time.Duration
}

type wireProblem struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// rejection returns the problem for a request that is rejected before it becomes a call.
func rejection(status int, code, message string) problem {
	return problem{status: status, outcome: outcomeNotRun, code: code, message: message}
}

// notReadyRetryAfter is the Retry-After time of a daemon that has no configuration yet.
const notReadyRetryAfter = time.Second

// notReady returns the problem for a request to a daemon that has no configuration yet.
func notReady() problem {
	p := rejection(http.StatusServiceUnavailable, "configuration", "no configuration is in force at this entry yet")
	p.retryAfter = notReadyRetryAfter
	return p
}

// requestProblem returns the problem for a request with an invalid header, or a body that cannot be read or parsed.
func requestProblem(err error) problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := "the body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
		return rejection(http.StatusRequestEntityTooLarge, "size", message)
	}
	return rejection(http.StatusBadRequest, "request", err.Error())
}

// outcomeProblem returns the problem for a call that was not answered.
func outcomeProblem(outcome caller.Outcome) problem {
	switch o := outcome.(type) {
	case caller.NotRun:
		return notRunProblem(o)
	case caller.Unknown:
		return unknownProblem(o)
	}
	panic("callers: outcomeProblem was called for an answered call")
}

func notRunProblem(o caller.NotRun) problem {
	return problem{
		status:     notRunStatus(o.Reason()),
		outcome:    outcomeNotRun,
		code:       string(o.Reason()),
		message:    "the request was not run: " + explain(o.Reason()),
		retryAfter: o.RetryAfter(),
	}
}

func unknownProblem(o caller.Unknown) problem {
	return problem{
		status:  http.StatusBadGateway,
		outcome: outcomeUnknown,
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
	case caller.DeadlineExceeded, caller.NoReplica, caller.StoreUnavailable, caller.DaemonStopping,
		caller.UpstreamFailed, caller.Cancelled:
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
	if text, ok := explanations[reason]; ok {
		return text
	}
	return string(reason)
}

// write sends the problem as the HTTP response.
func (p problem) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(outcomeHeader, p.outcome)
	if p.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(p.encode())
}

// encode returns the problem as JSON in the error format of the OpenAI API.
func (p problem) encode() []byte {
	wire := wireProblem{wireError{Message: p.message, Type: p.outcome, Code: p.code}}
	data, err := json.Marshal(wire)
	if err != nil {
		panic("callers: cannot encode a problem: " + err.Error())
	}
	return append(data, '\n')
}
