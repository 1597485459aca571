// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"amaranthgate.example/amaranthgate/forwarder"
)

// Reason is the reason why a request was not answered, from a closed list.
type Reason string

// Reasons.
const (
	ReasonNone            Reason = ""
	ReasonBadRequest      Reason = "BadRequest"
	ReasonTooLarge        Reason = "TooLarge"
	ReasonUnauthenticated Reason = "Unauthenticated"
	ReasonNotAllowed      Reason = "NotAllowed"
	ReasonUnknownModel    Reason = "UnknownModel"
	ReasonUnknownService  Reason = "UnknownService"
	ReasonNotReady        Reason = "NotReady"
	ReasonRateLimited     Reason = "RateLimited"
	ReasonConcurrency     Reason = "ConcurrencyLimited"
	ReasonOverloaded      Reason = "Overloaded"
	ReasonDeadline        Reason = "DeadlineExceeded"
	ReasonNoUpstream      Reason = "NoUpstream"
	ReasonUpstream        Reason = "UpstreamFailed"
	ReasonInterrupted     Reason = "Interrupted"
	ReasonKeyMismatch     Reason = "KeyMismatch"
	ReasonMayHaveRun      Reason = "MayHaveRun"
	ReasonAnswered        Reason = "AlreadyAnswered"
	ReasonNoAgreement     Reason = "NoAgreement"
	ReasonCallerGone      Reason = "CallerGone"
	ReasonInternal        Reason = "Internal"
)

// titles are the titles of problem documents.
var titles = map[Reason]string{
	ReasonBadRequest:      "The request cannot be read",
	ReasonTooLarge:        "The request is too large",
	ReasonUnauthenticated: "No workspace is proved",
	ReasonNotAllowed:      "The workspace may not do this",
	ReasonUnknownModel:    "There is no such model",
	ReasonUnknownService:  "There is no such service",
	ReasonNotReady:        "This host has no configuration yet",
	ReasonRateLimited:     "The workspace's rate is used up",
	ReasonConcurrency:     "The workspace has too many open requests",
	ReasonOverloaded:      "The deadline cannot be met",
	ReasonDeadline:        "The deadline has passed",
	ReasonNoUpstream:      "No upstream can take the request",
	ReasonUpstream:        "The upstreams failed",
	ReasonInterrupted:     "The answer broke off",
	ReasonKeyMismatch:     "The idempotency key was used for another request",
	ReasonMayHaveRun:      "A request with this idempotency key may have run",
	ReasonAnswered:        "The request was answered before and the answer was not kept",
	ReasonNoAgreement:     "The idempotency key could not be claimed in time",
	ReasonInternal:        "An internal error",
}

// Outcome is the outcome of a request.
type Outcome struct {
	Status     int
	Reason     Reason
	Ran        forwarder.Ran
	RetryAfter time.Duration
	Detail     string

	Upstream   string
	Attempts   int
	Prompt     int // Prompt is the number of prompt tokens.
	Cached     int // Cached is the number of prompt tokens that the upstream had cached.
	Tokens     int // Tokens is the number of events that carried text.
	FirstToken time.Duration
	complete   bool // complete reports whether the upstream's response was complete, even if not delivered.
	written    bool // written reports whether the response, or part of it, was sent to the caller.
}

// refuse returns an outcome for a request that did not run.
func refuse(status int, reason Reason, detail string) Outcome {
	return Outcome{Status: status, Reason: reason, Ran: forwarder.RanNo, Detail: detail}
}

// Answered reports whether the caller got the complete response.
func (o Outcome) Answered() bool { return o.Reason == ReasonNone }

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	Type      string        `json:"type"`
	Title     string        `json:"title"`
	Status    int           `json:"status"`
	Detail    string        `json:"detail,omitempty"`
	Reason    Reason        // Reason is from a closed list.
	Ran       forwarder.Ran // Ran says whether the request ran: No, Unknown or Yes.
	RequestID string
}

func (o Outcome) problem(id string) Problem {
	return Problem{
		Type:      "about:blank",
		Title:     titles[o.Reason],
		Status:    o.Status,
		Detail:    o.Detail,
		Reason:    o.Reason,
		Ran:       o.Ran,
		RequestID: id,
	}
}

// write sends the outcome as a problem document.
func (o Outcome) write(w http.ResponseWriter, id string) {
	w.Header().Set("Content-Type", "application/problem+json")
	if o.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(o.RetryAfter.Seconds()))))
	}
	if o.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(o.Status)
	_ = json.NewEncoder(w).Encode(o.problem(id))
}
