// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"net/http"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
)

// Request is a request as it was read from a caller.
type Request struct {
	ID        string
	Start     time.Time // Start is when it had been read.
	Method    string
	Host      string
	Target    string // Target is the path with the query as the caller sent it.
	Path      string
	Header    http.Header // Header has what is passed on unchanged.
	Body      []byte
	Key       string         // Key proves the workspace; empty if none was sent.
	Patience  time.Duration  // Patience is how long the caller waits; 0 if it did not say.
	Prompt    *placer.Prompt // Prompt is nil for plain services.
	LastEvent string         // LastEvent is the ID after which a stream is to go on.
}

// Reason says why a request got no answer of an upstream. Values are from a
// closed list, for logs and metrics.
type Reason string

const (
	ReasonNone        Reason = ""
	ReasonNotReady    Reason = "NotReady"    // ReasonNotReady says that this host knows no configuration yet.
	ReasonNoRoute     Reason = "NoRoute"     // ReasonNoRoute says that no route matches.
	ReasonNoKey       Reason = "NoKey"       // ReasonNoKey says that no workspace holds the key.
	ReasonNoUpstream  Reason = "NoUpstream"  // ReasonNoUpstream says that no upstream takes new work.
	ReasonFull        Reason = "Full"        // ReasonFull says that the upstreams refused.
	ReasonOverloaded  Reason = "Overloaded"  // ReasonOverloaded says that no upstream could begin the request in its time.
	ReasonTooLarge    Reason = "TooLarge"    // ReasonTooLarge says that the prompt is larger than any engine's memory.
	ReasonUnreached   Reason = "Unreached"   // ReasonUnreached says that no upstream could be reached.
	ReasonUnknown     Reason = "Unknown"     // ReasonUnknown says that the request may have run without an answer.
	ReasonDeadline    Reason = "Deadline"    // ReasonDeadline says that the caller's or the route's time is over.
	ReasonInterrupted Reason = "Interrupted" // ReasonInterrupted says that an answer broke off on its way.
	// ReasonBarred says that upstreams have ended under the request, and that it is sent to
	// no more of them.
	ReasonBarred     Reason = "Barred"
	ReasonCallerGone Reason = "CallerGone"
)

// Outcome says what became of a request.
type Outcome struct {
	Status   int
	Reason   Reason
	Detail   string
	Identity quarantiner.Identity // Identity names what was asked for, by whom; zero if that is not known.
	Route    string
	Service  string
	Upstream string
	Attempts int
	Events   int
	Choices  []placer.Choice // Choices are the upstreams that were tried, in order.
	Late     bool            // Late tells that the first byte came after the route's objective.
	Waited   time.Duration   // Waited is how long it waited here for an upstream that could begin it.
	Awaited  time.Duration   // Awaited is how much of that it waited for an engine to read what it begins with.
	First    time.Duration   // First is the time to the first byte of the answer's body.
	Took     time.Duration
}

// Refusal is an answer of the system's own.
type Refusal struct {
	Status     int
	Reason     Reason
	RetryAfter time.Duration // RetryAfter is when the caller may come back; 0 says nothing.
}

// Responder writes the one answer of a request.
type Responder interface {
	// Refuse writes an answer of the system's own.
	Refuse(r Refusal)
	// Begin writes the head of an upstream's answer. length is that of the body,
	// or -1 if it is not known.
	Begin(a Answer, length int64) error
	// Write passes on a piece of the body.
	Write(b []byte) error
	// Flush sends what was written.
	Flush() error
	// Abort ends the connection so that the answer is seen to be broken.
	Abort()
}

// Answer is an upstream's answer whose body has not been read yet.
type Answer interface {
	Status() int
	// Framed tells that the end of the body can be told from the end of the upstream.
	Framed() bool
	// Read reads the body; io.EOF comes only after the whole of it.
	Read(b []byte) (int, error)
	// Close ends the attempt and frees its connection.
	Close()
}

// connectionShare is the part of an upstream's connections that hosts use, so that a host that
// starts finds some free.
const connectionShare = 0.8

// Directions say how a request is to be sent.
type Directions struct {
	Upstream follower.Upstream
	// Connections is how many connections all hosts together may have to the upstream; 0 if any.
	Connections int
	Workspace   string        // Workspace is empty on public routes.
	Remaining   time.Duration // Remaining is the time left for the upstream.
	Once        bool          // Once tells that the request must run at most once.
	Rank        int
	Weights     uint64 // Weights is the version that the upstream must have; 0 if any.
	Salt        string // Salt sets apart the context that the upstream keeps.
	Fetch       []string
	Until       int64 // Until bounds fetches from stores, on the upstreams' clock in milliseconds; 0 if there are none.
	Save        []string
	LastEvent   string
}

// Sender carries one attempt to an upstream.
type Sender interface {
	Send(ctx context.Context, r *Request, d *Directions) (Answer, *forwarder.Failure)
}
