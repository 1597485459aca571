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
	"amaranthgate.example/amaranthgate/registrar"
)

// Request is a decoded request.
type Request struct {
	ID        string
	Start     time.Time // Start is when the request had been read, by the first host if it was passed on.
	Method    string
	Host      string
	Target    string // Target is the escaped path with the query.
	Path      string
	Header    http.Header // Header has the fields to be forwarded unchanged.
	Body      []byte
	Key       string         // Key authenticates the workspace; empty if none was sent.
	Timeout   time.Duration  // Timeout is the caller's timeout; 0 if unknown.
	Prompt    *placer.Prompt // Prompt is nil for plain services.
	LastEvent string         // LastEvent is the ID of the event after which to resume a stream.
	StreamID  string         // StreamID is the ID of the request that brought the first event of that stream; empty if unknown.
	// Origin is where that stream began, as stated by the host that passed the request on; zero if it did not.
	Origin registrar.Origin
	// Configuration is the version in force at the host that passed the request on; an older one must not decide it.
	Configuration uint64
	PassedBy      string // PassedBy is the host that passed the request on to this one; empty if the caller sent it.
}

// Reason says why a request got no answer from an upstream. Its values appear in logs
// and metrics.
type Reason string

const (
	ReasonNone          Reason = ""
	ReasonNotReady      Reason = "NotReady"      // ReasonNotReady means that this host has no configuration yet.
	ReasonNoRoute       Reason = "NoRoute"       // ReasonNoRoute means that no route matches.
	ReasonNoKey         Reason = "NoKey"         // ReasonNoKey means that no workspace has the key.
	ReasonNoUpstream    Reason = "NoUpstream"    // ReasonNoUpstream means that no upstream accepts requests.
	ReasonFull          Reason = "Full"          // ReasonFull means that the upstreams refused the request.
	ReasonOverloaded    Reason = "Overloaded"    // ReasonOverloaded means that no upstream had room in time.
	ReasonResting       Reason = "Resting"       // ReasonResting means that all upstreams want no requests for a time.
	ReasonRateLimited   Reason = "RateLimited"   // ReasonRateLimited means that the upstreams' rate limits leave it no turn in time.
	ReasonTooLarge      Reason = "TooLarge"      // ReasonTooLarge means that the prompt exceeds each engine's memory.
	ReasonUnreached     Reason = "Unreached"     // ReasonUnreached means that no upstream could be reached.
	ReasonUnknown       Reason = "Unknown"       // ReasonUnknown means that the request may have run.
	ReasonDeadline      Reason = "Deadline"      // ReasonDeadline means that the deadline passed.
	ReasonInterrupted   Reason = "Interrupted"   // ReasonInterrupted means that an answer broke off.
	ReasonBarred        Reason = "Barred"        // ReasonBarred means that upstreams terminated during the request.
	ReasonStopped       Reason = "Stopped"       // ReasonStopped means that this host had to end before the answer.
	ReasonCallerGone    Reason = "CallerGone"    // ReasonCallerGone means that the caller left.
	ReasonLeaving       Reason = "Leaving"       // ReasonLeaving means that this host ends, and that another one passed the request on.
	ReasonOriginUnknown Reason = "OriginUnknown" // ReasonOriginUnknown means that nobody knows at which software version a stream began.
	ReasonSoftwareGone  Reason = "SoftwareGone"  // ReasonSoftwareGone means that no upstream has the software version at which a stream began.
	ReasonDraining      Reason = "Draining"      // ReasonDraining means that this host ends before the request may have ended.
	ReasonNoMemory      Reason = "NoMemory"      // ReasonNoMemory means that the callers of this host hold the memory that they may use.
	ReasonCutOff        Reason = "CutOff"        // ReasonCutOff means that this host reaches no upstream, and no other host took the request.
)

// Basis is why a draining host admitted a request.
type Basis string

// Values of Basis.
const (
	BasisNone     Basis = ""         // BasisNone means that the host did not drain.
	BasisEarly    Basis = "Early"    // BasisEarly means that callers may still use cached addresses.
	BasisDeadline Basis = "Deadline" // BasisDeadline means that its deadline lies before the end of the host.
)

// Outcome is the result of a request.
type Outcome struct {
	Status     int
	Reason     Reason
	Detail     string
	Identity   quarantiner.Identity // Identity is zero if the workspace is not known.
	BarredPart string               // BarredPart is the part of the prompt for which the request was refused; empty for none.
	Route      string
	Service    string
	Upstream   string
	Taken      Basis  // Taken is why the request was admitted during a drain.
	PassedTo   string // PassedTo is the last host that the request was passed on to; empty if there is none.
	Attempts   int
	// BrokenOff is the number of attempts whose answers have been broken off by their upstreams.
	BrokenOff int
	HeldFull  int // HeldFull is the number of refusals by full upstreams after which the request waited.
	// RetrySkipped says why the request was not retried although its route allows it.
	RetrySkipped Skip
	Events       int
	Origin       registrar.Origin  // Origin is where the caller's stream began; zero if it has not begun or is not known.
	Unshared     bool              // Unshared reports that the prompt used no context of other workspaces, as their isolation might be outdated.
	Withheld     int               // Withheld is the number of attempts that were sent without fetches or saves of their choice, which no longer held.
	Resumed      bool              // Resumed reports that the caller took a stream up.
	Finding      registrar.Finding // Finding is what was known of that stream.
	Choices      []placer.Choice   // Choices are the upstreams that were tried, in order.
	Results      []AttemptResult   // Results are those of the attempts, in the order in which they ended.
	Late         bool              // Late reports whether First exceeds the route's objective.
	Waited       time.Duration     // Waited is the time spent waiting for an upstream.
	PrefillWait  time.Duration     // PrefillWait is the part of Waited spent waiting for the prefill of a shared prefix.
	First        time.Duration     // First is the time to the first byte of the answer's body.
	Took         time.Duration
	Forecast     time.Duration // Forecast is the expected wait of a request that waited and started; 0 if not known.
	Queued       time.Duration // Queued is the actual wait, if Forecast is set.
	// RefusedEarly reports that the request was refused because it could not have started in time.
	RefusedEarly bool
	Readmitted   bool // Readmitted reports that the request was recognized as one that was refused before.
}

// Refusal is an answer that does not come from an upstream.
type Refusal struct {
	Status     int
	Reason     Reason
	RetryAfter time.Duration // RetryAfter is when the caller may retry; 0 if unspecified.
}

// Responder writes the one answer of a request.
type Responder interface {
	// Refuse writes a refusal.
	Refuse(r Refusal)
	// Begin writes the status and header of an upstream's answer. length is that of
	// the body, or -1 if it is not known.
	Begin(a Answer, length int64) error
	// Write writes part of the body.
	Write(b []byte) error
	// Flush sends what was written.
	Flush() error
	// Abort closes the connection so that the caller sees an incomplete answer.
	Abort()
}

// Answer is an upstream's answer of which the body has not been read.
type Answer interface {
	Status() int
	// Framing returns what marks the end of the body.
	Framing() forwarder.Framing
	// Read reads the body. It returns io.EOF only after the complete body.
	Read(b []byte) (int, error)
	// Close ends the attempt and releases its connection.
	Close()
}

// connectionShare is the part of an upstream's connections that is used, so that some are
// free for a starting host.
const connectionShare = 0.8

// SendOptions are the parameters for sending one attempt.
type SendOptions struct {
	Upstream follower.Upstream
	// Connections limits the connections of all hosts together to the upstream; 0 for no limit.
	Connections int
	Workspace   string // Workspace is empty on public routes.
	Once        bool   // Once reports whether the request must run at most once.
	Rank        int
	Weights     uint64 // Weights is the version of the model weights required; 0 for any.
	LastEvent   string
	// Instruct returns what depends on when the attempt is written. It is called once a connection is there.
	Instruct func() Instructions
	// OnNotice is called when the header of the upstream's answer has been read, whether or not the
	// upstream ran the request.
	OnNotice func(n Notice)
}

// Instructions are what an attempt tells the upstream that holds at the time at which it is written.
type Instructions struct {
	Remaining time.Duration // Remaining is the time until the deadline.
	Salt      string        // Salt is the cache salt of the prompt.
	Fetch     []string
	// FetchDeadline is the deadline of fetches from stores, in milliseconds of the upstreams' clock;
	// 0 if there are none.
	FetchDeadline int64
	Save          []string
}

// Sender sends attempts to upstreams.
type Sender interface {
	Send(ctx context.Context, r *Request, d *SendOptions) (Answer, *forwarder.Failure)
}
