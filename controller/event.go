// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/connector"
	"amaranthgate.example/amaranthgate/folder"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/keeper"
	"amaranthgate.example/amaranthgate/limiter"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/router"
)

// Event is something that happened. The types in this file are all events.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// LogRead is a page that was read from a stream.
type LogRead struct {
	Stream string
	Page   folder.Page
	Began  time.Time // Began is when the read was sent.
}

// LogFailed tells that a stream could not be read.
type LogFailed struct {
	Stream string
}

// AppendDone is the answer to an Append, or the lack of one.
type AppendDone struct {
	Stream   string
	Sequence uint64
	Err      error
}

// HostsListed is an answer of the platform's host list.
type HostsListed struct {
	Answer connector.HostListAnswer
}

// PeerMessage is a message from another host.
type PeerMessage struct {
	From    string
	Message *messenger.Message
}

// PeerUp tells that a connection to another host stands.
type PeerUp struct {
	Host string
}

// LoadReported is an upstream's answer to a question for its load; Report is
// nil if there was none.
type LoadReported struct {
	Upstream string
	Report   *wire.LoadReport
	Mark     router.Mark // Mark is what this host had sent when it asked.
}

// ClaimStarted asks for a claim.
type ClaimStarted struct {
	Request  claimer.Request
	Deadline time.Time
}

// ClaimAbandoned tells that a claim's caller does not wait any longer.
type ClaimAbandoned struct {
	Nonce string
}

// ClaimFinished tells what became of a claim.
type ClaimFinished struct {
	Outcome claimer.Outcome
}

// ChangePublished asks to publish a change of the configuration.
type ChangePublished struct {
	Delta configurer.Delta
}

// UsageRead is what the workspaces have asked of this host.
type UsageRead struct {
	Usage    []limiter.Usage
	Interval time.Duration
}

// EntriesReported are entries for the reports' stream.
type EntriesReported struct {
	Entries []folder.Entry
}

// CacheRead is an upstream's answer about its cache: its events, or all its
// segments if the events before were lost. Both are nil if there was none.
type CacheRead struct {
	Upstream string
	Events   *wire.CacheEvents
	Segments *wire.KeptSegments
}

// OrderDone is the answer to an order; Answer is nil if there was none.
type OrderDone struct {
	Upstream string
	Order    wire.Order
	Answer   *wire.OrderAnswer
}

// TurnEnded tells that an upstream has computed a prompt.
type TurnEnded struct {
	Turn keeper.Turn
}

// PlacementMade tells that a prompt went to an upstream that other hosts would
// not guess.
type PlacementMade struct {
	Placement messenger.Placement
}

// Leave asks the host to give up its duties and to leave.
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

// Action is something that a node wants done. The types below are all actions.
type Action interface{ action() }

// Append adds a record to a stream. AppendDone must follow.
type Append struct {
	Stream string
	Record folder.Record
}

// Send sends a message to another host, if there is a connection or one can be
// made.
type Send struct {
	To      string
	Message *messenger.Message
}

// Follow begins to read a stream from an offset on.
type Follow struct {
	Stream string
	From   uint64
}

// Unfollow ends the reading of a stream.
type Unfollow struct {
	Stream string
}

// Settle ends a claim's wait.
type Settle struct {
	Settled claimer.Settled
}

// Published ends a publisher's wait.
type Published struct {
	Result configurer.Result
}

// SetLimit sets the limit of a workspace at this host.
type SetLimit struct {
	Workspace string
	Limit     limiter.Limit
}

// Issue gives an order to an upstream, but not after Until: the lease has then
// run out. OrderDone must follow.
type Issue struct {
	Upstream string
	Address  string
	Order    wire.Order
	Until    time.Time
}

// KeptChanged tells what may be offered of an upstream's store.
type KeptChanged struct {
	Upstream string
	Full     bool // Full tells that Changes replace all that was known.
	Changes  []keeper.Change
	Until    time.Time // Until is how long the segments may be offered.
}

// PlacementsLearned are placements that other hosts told.
type PlacementsLearned struct {
	Placements []messenger.Placement
}

// UpstreamRestarted tells that all that an upstream held is gone.
type UpstreamRestarted struct {
	Upstream string
}

// ViewChanged tells that View returns something new.
type ViewChanged struct{}

func (Append) action()            {}
func (Send) action()              {}
func (Follow) action()            {}
func (Unfollow) action()          {}
func (Settle) action()            {}
func (Published) action()         {}
func (SetLimit) action()          {}
func (Issue) action()             {}
func (KeptChanged) action()       {}
func (PlacementsLearned) action() {}
func (UpstreamRestarted) action() {}
func (ViewChanged) action()       {}
