// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package messenger

import (
	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/lender"
	"amaranthgate.example/amaranthgate/limiter"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/registrar"
	"amaranthgate.example/amaranthgate/replayer"
	"amaranthgate.example/amaranthgate/throttler"
	"amaranthgate.example/amaranthgate/tracker"
	"amaranthgate.example/amaranthgate/updater"
)

// Message is a message between hosts. Each field that is set is an independent part; a heartbeat
// may have none.
type Message struct {
	Digest           uint64                   `cbor:"1,keyasint,omitempty"` // Digest is that of the sender's view of all hosts.
	Hosts            []tracker.HostRecord     `cbor:"2,keyasint,omitempty"`
	Upstreams        []tracker.UpstreamRecord `cbor:"3,keyasint,omitempty"`
	Loads            []tracker.LoadDigest     `cbor:"4,keyasint,omitempty"`
	Claims           []claimer.Message        `cbor:"5,keyasint,omitempty"`
	Replies          []claimer.Reply          `cbor:"6,keyasint,omitempty"`
	SnapshotRequests []string                 `cbor:"7,keyasint,omitempty"` // SnapshotRequests names streams whose snapshots are requested.
	Snapshot         *StreamSnapshot          `cbor:"8,keyasint,omitempty"`
	Full             bool                     `cbor:"9,keyasint,omitempty"` // Full reports whether Hosts and Upstreams are all that the sender knows.
	Demand           *limiter.Demand          `cbor:"10,keyasint,omitempty"`
	Grants           *limiter.Grants          `cbor:"11,keyasint,omitempty"`
	Turns            []indexer.Turn           `cbor:"12,keyasint,omitempty"`
	CacheQuery       *CacheQuery              `cbor:"13,keyasint,omitempty"`
	CacheReply       *CacheReply              `cbor:"14,keyasint,omitempty"`
	Placed           []Placement              `cbor:"15,keyasint,omitempty"`
	InFlight         *InFlight                `cbor:"16,keyasint,omitempty"`
	Records          []StreamRecord           `cbor:"17,keyasint,omitempty"` // Records were just read from the log.
	Echo             bool                     `cbor:"18,keyasint,omitempty"` // Echo marks the reply to a heartbeat from no neighbour.
	Report           *placer.Report           `cbor:"19,keyasint,omitempty"`
	Renewal          *updater.Status          `cbor:"21,keyasint,omitempty"`
	Offsets          map[follower.Feed]int64  `cbor:"22,keyasint,omitempty"` // Offsets holds the sender's offset in each feed that it knows in Era.
	Era              uint64                   `cbor:"35,keyasint,omitempty"` // Era is the newest era of the store that the sender knows; it applies to Offsets and FeedRequests.
	Relay            Relay                    `cbor:"23,keyasint,omitempty"` // Relay requests forwarding by the receiver.
	Zone             string                   `cbor:"24,keyasint,omitempty"` // Zone is the availability zone that Report aggregates.
	Stores           []placer.StoreReport     `cbor:"25,keyasint,omitempty"` // Stores holds updates of KV cache stores.
	VersionAges      []follower.VersionAge    `cbor:"26,keyasint,omitempty"` // VersionAges holds the known weight versions.
	Buckets          []uint64                 `cbor:"28,keyasint,omitempty"` // Buckets requests the hosts of buckets whose digests differ.
	FeedRequests     map[follower.Feed]int64  `cbor:"29,keyasint,omitempty"` // FeedRequests requests feeds from an offset on; below 0 for all.
	CoresInUse       float64                  `cbor:"27,keyasint,omitempty"` // CoresInUse is the sender's number of cores in use; with Report.
	// Ended holds updates on requests during which upstreams have failed; EndedDigest is the digest
	// of all of them that the sender knows, sent with Digest.
	Ended       []quarantiner.Entry `cbor:"30,keyasint,omitempty"`
	EndedDigest uint64              `cbor:"31,keyasint,omitempty"`
	// RateLimits holds the rate limits that upstreams have declared; Permits the asks for and grants of
	// requests under them.
	RateLimits []throttler.Limit    `cbor:"32,keyasint,omitempty"`
	Permits    *throttler.Permits   `cbor:"33,keyasint,omitempty"`
	Contention *arbiter.Message     `cbor:"34,keyasint,omitempty"` // Contention is what waits at the sender.
	Origins    *registrar.Message   `cbor:"36,keyasint,omitempty"` // Origins says where streams began; a message with it has nothing else.
	Lending    *lender.Message      `cbor:"39,keyasint,omitempty"` // Lending lends slots of brittle upstreams; a message with it has nothing else.
	Brittle    []placer.BrittleNews `cbor:"40,keyasint,omitempty"` // Brittle has what upstreams say of whether refusals end them.
	// FeedDigests says which records the sender holds at Offsets; FeedComparisons requests all records and removals of
	// feeds.
	FeedDigests     *follower.Digests   `cbor:"37,keyasint,omitempty"`
	FeedComparisons []follower.Feed     `cbor:"38,keyasint,omitempty"`
	FeedPages       []follower.FeedPage `cbor:"20,keyasint,omitempty"` // FeedPages holds pages of feeds that the sender has read.
}

// WithFeedPages returns a shallow copy of m in which FeedPages is replaced.
func (m *Message) WithFeedPages(pages []follower.FeedPage) *Message {
	c := *m
	c.FeedPages = pages
	return &c
}

// Relay says to which hosts the receiver forwards a message.
type Relay string

const (
	RelayNone Relay = ""
	RelayAll  Relay = "All"  // RelayAll requests forwarding to the relay's zone and to the relays of other zones.
	RelayZone Relay = "Zone" // RelayZone requests forwarding to the relay's zone.
)

// StreamRecord is a record of one stream of the log.
type StreamRecord struct {
	Stream string
	Record replayer.RawRecord
}

// InFlight holds a host's requests in flight at all upstreams. Upstreams that are left out have none.
type InFlight struct {
	Upstreams []InFlightCount
}

// InFlightCount counts a host's requests in flight at one upstream.
type InFlightCount struct {
	Upstream string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint"`
	Tokens   int    `cbor:"3,keyasint,omitempty"` // Tokens is the number of prompt tokens not prefilled yet.
}

// Placement is the upstream that last prefilled a prompt, which is identified by its last block.
type Placement struct {
	Upstream string       `cbor:"1,keyasint"`
	End      indexer.Name `cbor:"2,keyasint"`
}

// CacheQuery requests the contents of upstreams' stores from the issuer of their group.
type CacheQuery struct {
	Sequence  uint64
	Group     int
	Epoch     uint64 // Epoch is the issuer's epoch at its last reply.
	Upstreams []CacheVersion
}

// CacheVersion is the version up to which a host knows an upstream's store.
type CacheVersion struct {
	Upstream string `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"`
}

// CacheReply is the reply to a CacheQuery.
type CacheReply struct {
	Sequence uint64
	Group    int
	Epoch    uint64
	Stores   []CacheContents
}

// CacheContents holds the contents of one upstream's store that may be used.
type CacheContents struct {
	Upstream string
	Version  uint64
	Full     bool
	Changes  []indexer.Change `cbor:",omitempty"`
}

// StreamSnapshot is the state of one stream replayed up to an offset.
type StreamSnapshot struct {
	Stream     string
	Checkpoint replayer.Checkpoint
}

// Hello identifies a host in the handshake.
type Hello struct {
	Host        string
	Incarnation uint64
}

// maxMessageBytes bounds one message of a peer.
const maxMessageBytes = 32 << 20

// Encode returns the encoding of a message. It panics if m cannot be encoded.
func Encode(m *Message) []byte {
	b, err := codec.Marshal(m)
	if err == nil {
		b, err = compress(b)
	}
	if err != nil {
		panic("messenger: message cannot be encoded: " + err.Error())
	}
	return b
}

// Decode decodes a message. Unknown fields are ignored, for compatibility between adjacent versions.
func Decode(b []byte) (*Message, error) {
	b, err := decompress(b)
	if err != nil {
		return nil, err
	}
	var m Message
	if err := codec.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "messenger: message cannot be decoded")
	}
	return &m, nil
}
