// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package messenger

import (
	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/folder"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/keeper"
	"amaranthgate.example/amaranthgate/limiter"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/renewer"
	"amaranthgate.example/amaranthgate/tracker"
)

// Message is what hosts send to each other. Each field that is set is one
// statement; a heartbeat has none.
type Message struct {
	Digest    uint64                   `cbor:"1,keyasint,omitempty"` // Digest is of the sender's view of all hosts.
	Hosts     []tracker.HostRecord     `cbor:"2,keyasint,omitempty"`
	Upstreams []tracker.UpstreamRecord `cbor:"3,keyasint,omitempty"`
	Loads     []tracker.LoadDigest     `cbor:"4,keyasint,omitempty"`
	Claims    []claimer.Message        `cbor:"5,keyasint,omitempty"`
	Replies   []claimer.Reply          `cbor:"6,keyasint,omitempty"`
	Wants     []string                 `cbor:"7,keyasint,omitempty"` // Wants names streams whose fold the sender lacks.
	Snapshot  *StreamSnapshot          `cbor:"8,keyasint,omitempty"`
	Full      bool                     `cbor:"9,keyasint,omitempty"` // Full tells that Hosts and Upstreams are all that the sender knows.
	Demand    *limiter.Demand          `cbor:"10,keyasint,omitempty"`
	Grants    *limiter.Grants          `cbor:"11,keyasint,omitempty"`
	Turns     []keeper.Turn            `cbor:"12,keyasint,omitempty"`
	KeptAsk   *KeptAsk                 `cbor:"13,keyasint,omitempty"`
	KeptTell  *KeptTell                `cbor:"14,keyasint,omitempty"`
	Placed    []Placement              `cbor:"15,keyasint,omitempty"`
	Sends     *Sends                   `cbor:"16,keyasint,omitempty"`
	Records   []StreamRecord           `cbor:"17,keyasint,omitempty"` // Records were just read from the log by the sender.
	Echo      bool                     `cbor:"18,keyasint,omitempty"` // Echo answers a heartbeat of a host that is no neighbour of the sender.
	Report    *placer.Report           `cbor:"19,keyasint,omitempty"`
	Renewal   *renewer.Status          `cbor:"21,keyasint,omitempty"`
	Offsets   map[follower.Feed]int64  `cbor:"22,keyasint,omitempty"` // Offsets tells how far the sender knows the platform's feeds.
	Relay     Relay                    `cbor:"23,keyasint,omitempty"` // Relay asks the receiver to pass the message on.
	Zone      string                   `cbor:"24,keyasint,omitempty"` // Zone tells that Report sums up the hosts of an availability zone.
	Stores    []placer.StoreReport     `cbor:"25,keyasint,omitempty"` // Stores is news of stores of kept context.
	Namings   []follower.Naming        `cbor:"26,keyasint,omitempty"` // Namings are what the sender remembers of weight versions.
	Buckets   []uint64                 `cbor:"28,keyasint,omitempty"` // Buckets are digests of parts of the sender's view of all hosts; it asks for the parts that differ.
	Lacks     map[follower.Feed]int64  `cbor:"29,keyasint,omitempty"` // Lacks asks for what the receiver knows of feeds from an offset on; below 0 for all.
	Use       float64                  `cbor:"27,keyasint,omitempty"` // Use is how many processor cores the sender uses; with Report.
	// Ended is news of requests under which upstreams have ended, and EndedDigest is of all
	// that the sender knows of them; with Digest.
	Ended       []quarantiner.Word `cbor:"30,keyasint,omitempty"`
	EndedDigest uint64             `cbor:"31,keyasint,omitempty"`
	News        []follower.News    `cbor:"20,keyasint,omitempty"` // News are pages of the platform's feeds that the sender has read.
}

// WithNews returns a copy of m with other pages.
func (m *Message) WithNews(pages []follower.News) *Message {
	c := *m
	c.News = pages
	return &c
}

// Relay says to whom a message is to be passed on.
type Relay string

const (
	RelayNone Relay = ""
	RelayAll  Relay = "All"  // RelayAll asks a zone's relay to pass a message on to its zone and to the other relays.
	RelayZone Relay = "Zone" // RelayZone asks a zone's relay to pass a message on to its zone.
)

// StreamRecord is a record of one stream of the log.
type StreamRecord struct {
	Stream string
	Record folder.Raw
}

// Sends tells what a host has under way at the upstreams; those left out have
// nothing.
type Sends struct {
	Upstreams []SendCount
}

// SendCount is what a host has under way at one upstream.
type SendCount struct {
	Upstream string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
	Tokens   int    `cbor:"3,keyasint,omitempty"` // Tokens are prompt tokens not yet computed.
}

// Placement tells which upstream computed a prompt last, by the prompt's last
// block.
type Placement struct {
	Upstream string      `cbor:"1,keyasint"`
	End      keeper.Name `cbor:"2,keyasint"`
}

// KeptAsk asks the issuer of a group of upstreams for what their stores hold.
type KeptAsk struct {
	Sequence  uint64
	Group     int
	Epoch     uint64 // Epoch is the issuer's epoch at the last answer.
	Upstreams []KeptVersion
}

// KeptVersion is how far a host knows an upstream's store.
type KeptVersion struct {
	Upstream string `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"`
}

// KeptTell answers a KeptAsk.
type KeptTell struct {
	Sequence uint64
	Group    int
	Epoch    uint64
	Stores   []KeptStore
}

// KeptStore is what may be offered of one upstream's store.
type KeptStore struct {
	Upstream string
	Version  uint64
	Full     bool
	Changes  []keeper.Change `cbor:",omitempty"`
}

// StreamSnapshot is the fold of one stream up to an offset.
type StreamSnapshot struct {
	Stream     string
	Checkpoint folder.Checkpoint
}

// Hello is the first message on a connection, in both directions.
type Hello struct {
	Host        string
	Incarnation uint64
}

// maxMessageBytes bounds one message of a peer.
const maxMessageBytes = 32 << 20

// Encode returns the wire form of a message.
func Encode(m *Message) []byte {
	b, err := codec.Marshal(m)
	if err == nil {
		b, err = pack(b)
	}
	if err != nil {
		panic("messenger: message cannot be encoded: " + err.Error())
	}
	return b
}

// Decode reads the wire form of a message. Unknown fields are ignored, so that
// hosts of neighbouring versions understand each other.
func Decode(b []byte) (*Message, error) {
	b, err := unpack(b)
	if err != nil {
		return nil, err
	}
	var m Message
	if err := codec.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "messenger: not a message")
	}
	return &m, nil
}
