// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/connector"
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/limiter"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/replayer"
	"amaranthgate.example/amaranthgate/router"
)

// Event is an input of a node.
type Event interface{ event() }

// Tick lets the node do what is due by time.
type Tick struct{}

// LogRead is a page that was read from a stream.
type LogRead struct {
	Stream string
	Page   replayer.Page
	Began  time.Time // Began is when the read was sent.
}

// LogFailed reports that a stream could not be read.
type LogFailed struct {
	Stream string
}

// AppendDone is the result of an Append.
type AppendDone struct {
	Stream   string
	Sequence uint64
	Err      error
}

// HostsListed is a response of the platform's host list.
type HostsListed struct {
	Answer connector.HostListAnswer
}

// PeerMessage is a message from another host.
type PeerMessage struct {
	From    string
	Message *messenger.Message
}

// PeerUp reports that a connection to another host was established.
type PeerUp struct {
	Host string
}

// LoadReported is the result of polling an upstream's load; Report is nil if that
// failed.
type LoadReported struct {
	Upstream string
	Report   *wire.LoadReport
	Mark     router.Mark // Mark is the reading of this host's meter when the poll was sent.
}

// ClaimStarted starts a claim. Settle must follow.
type ClaimStarted struct {
	Request  claimer.Request
	Deadline time.Time
}

// ClaimAbandoned reports that the caller of a claim has stopped waiting.
type ClaimAbandoned struct {
	Nonce string
}

// ClaimFinished reports the outcome of a claimed request.
type ClaimFinished struct {
	Outcome claimer.Outcome
}

// ChangePublished publishes a change of the configuration.
type ChangePublished struct {
	Delta configurer.Delta
}

// UsageRead is the workspaces' usage of their limits at this host.
type UsageRead struct {
	Usage    []limiter.Usage
	Interval time.Duration
}

// EntriesReported appends entries to the stream of reports.
type EntriesReported struct {
	Entries []replayer.Entry
}

// CacheRead is the response to a CacheRequest: events, or all segments. Both are
// nil if the request failed.
type CacheRead struct {
	Upstream string
	Events   *wire.CacheEvents
	Segments *wire.StoredSegments
}

// OrderDone is the result of a SendOrder; Answer is nil if that failed.
type OrderDone struct {
	Upstream string
	Order    wire.Order
	Answer   *wire.OrderAnswer
}

// TurnEnded reports that an upstream has computed a turn of a conversation.
type TurnEnded struct {
	Turn indexer.Turn
}

// PlacementMade reports that a prompt went to an upstream that does not rank first
// for it.
type PlacementMade struct {
	Placement messenger.Placement
}

// Leave makes the node release its leases and leave.
type Leave struct{}

func (Tick) event()            {}
func (LogRead) event()         {}
func (LogFailed) event()       {}
func (AppendDone) event()      {}
func (HostsListed) event()     {}
func (PeerMessage) event()     {}
func (PeerUp) event()          {}
func (LoadReported) event()    {}
func (ClaimStarted) event()    {}
func (ClaimAbandoned) event()  {}
func (ClaimFinished) event()   {}
func (ChangePublished) event() {}
func (UsageRead) event()       {}
func (EntriesReported) event() {}
func (CacheRead) event()       {}
func (OrderDone) event()       {}
func (TurnEnded) event()       {}
func (PlacementMade) event()   {}
func (Leave) event()           {}

// Action is an output of a node, to be executed by its caller.
type Action interface{ action() }

// Append appends a record to a stream. AppendDone must follow.
type Append struct {
	Stream string
	Record replayer.Record
}

// Send sends a message to another host, on a best-effort basis.
type Send struct {
	To      string
	Message *messenger.Message
}

// Follow starts reading a stream at an offset.
type Follow struct {
	Stream string
	From   uint64
}

// Unfollow stops reading a stream.
type Unfollow struct {
	Stream string
}

// Settle returns the verdict of a claim to its caller.
type Settle struct {
	Settled claimer.Settlement
}

// Published returns the result of a change to its publisher.
type Published struct {
	Result configurer.Result
}

// SetLimit sets the limit of a workspace at this host.
type SetLimit struct {
	Workspace string
	Limit     limiter.Limit
}

// SendOrder sends an order to an upstream, but not after Until, when the lease
// expires. OrderDone must follow.
type SendOrder struct {
	Upstream string
	Address  string
	Order    wire.Order
	Until    time.Time
}

// CacheChanged updates the segments that an upstream can restore from its store.
type CacheChanged struct {
	Upstream string
	Full     bool // Full reports whether Changes replace all segments.
	Changes  []indexer.Change
	Until    time.Time // Until is when the segments expire unless refreshed.
}

// PlacementsLearned are placements that other hosts reported.
type PlacementsLearned struct {
	Placements []messenger.Placement
}

// UpstreamRestarted reports that an upstream has lost all that it had cached.
type UpstreamRestarted struct {
	Upstream string
}

// ViewChanged reports that View returns a new snapshot.
type ViewChanged struct{}

func (Append) action()            {}
func (Send) action()              {}
func (Follow) action()            {}
func (Unfollow) action()          {}
func (Settle) action()            {}
func (Published) action()         {}
func (SetLimit) action()          {}
func (SendOrder) action()         {}
func (CacheChanged) action()      {}
func (PlacementsLearned) action() {}
func (UpstreamRestarted) action() {}
func (ViewChanged) action()       {}
