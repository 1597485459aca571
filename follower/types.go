// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package follower

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/matcher"
)

// Feed is the name of one of the platform's feeds of keyed records.
type Feed string

const (
	FeedOperator  Feed = "Operator"  // FeedOperator holds the configuration and the weight versions.
	FeedUpstreams Feed = "Upstreams" // FeedUpstreams holds an entry for each upstream.
)

// ErrCompacted is returned for a read from an offset that the store has compacted away. The newest
// record of each key is still available.
var ErrCompacted = errors.New("follower: requested records have been compacted by the store")

// Record is one record of a feed, as hosts store it and send it to each other.
type Record struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint,omitempty"` // Value is empty if the key was removed.
	Offset int64  `cbor:"3,keyasint"`
	Era    uint64 `cbor:"4,keyasint,omitempty"` // Era is that in which the record has this offset.
}

// Position returns the record's place in its log.
func (r Record) Position() Position { return Position{Era: r.Era, Offset: r.Offset} }

// FeedPage is a page of a feed that a host has read and forwards to others.
type FeedPage struct {
	Feed       Feed          `cbor:"1,keyasint"`
	Full       bool          `cbor:"2,keyasint,omitempty"` // Full reports whether Records has the newest record of every key.
	From       int64         `cbor:"3,keyasint"`
	Next       int64         `cbor:"4,keyasint"`           // Next is the offset after the last record covered.
	Age        time.Duration `cbor:"5,keyasint,omitempty"` // Age is how long ago the page was read.
	Records    []Record      `cbor:"6,keyasint,omitempty"`
	FromMemory bool          `cbor:"7,keyasint,omitempty"` // FromMemory reports whether the page comes from a host's memory instead of a recent read.
	Era        uint64        `cbor:"8,keyasint,omitempty"` // Era is that of Next.
	// FromEra is the era of From. If it is not Era, the page has what changed when the store went back to
	// a copy, for hosts that know exactly what precedes From.
	FromEra uint64 `cbor:"9,keyasint,omitempty"`
	// Unlisted holds the keys whose records hosts kept although the store lost them. A whole feed has them
	// as records of an earlier era instead.
	Unlisted []string `cbor:"10,keyasint,omitempty"`
	// History holds, in order, the records of a whole operators' feed that the store still has. The newest
	// record of a key need not have its newest version, once lost records were written again.
	History []Record `cbor:"-"`
}

// Start returns the position from which on the page covers the feed.
func (p FeedPage) Start() Position { return Position{Era: p.FromEra, Offset: p.From} }

// End returns the position up to which the page covers the feed.
func (p FeedPage) End() Position { return Position{Era: p.Era, Offset: p.Next} }

// AcrossEras reports whether the page covers a loss of records.
func (p FeedPage) AcrossEras() bool { return !p.Full && p.FromEra != p.Era }

// Standing is the state that an upstream reports of itself.
type Standing string

const (
	StandingReady   Standing = "Ready"
	StandingLeaving Standing = "Leaving"
)

// Upstream describes one upstream according to its entry in the feed.
type Upstream struct {
	ID               string // ID is chosen by the upstream, which may restart under the same one.
	Born             int64  // Born is its start time in Unix milliseconds; 0 if unknown.
	Service          string
	Address          string // Address has the form IP:port.
	AvailabilityZone string
	Software         string // Software is the version of its software; versions have no order.
	Slots            int
	Standing         Standing
	Cold             time.Duration     // Cold is the remaining time of its slow cold start when it wrote its entry.
	ColdUntil        time.Time         // ColdUntil is the end of its cold start as computed by State.
	Weights          map[string]uint64 // Weights holds the weight version of each model.
	Sequence         int64             // Sequence increases with each entry that one start writes.

	instanceID string // instanceID caches the result of Start.
}

// InstanceID returns an identifier of this start of the upstream. State that is known of an earlier
// start under the same ID does not apply to it: a restart loses the cache and all requests.
func (u *Upstream) InstanceID() string {
	switch {
	case u.Born == 0:
		return u.ID
	case u.instanceID != "":
		return u.instanceID
	}
	return u.ID + startSeparator + strconv.FormatInt(u.Born, 36)
}

// UpstreamID returns the upstream's ID from an identifier returned by InstanceID.
func UpstreamID(instance string) string {
	if at := strings.LastIndex(instance, startSeparator); at >= 0 {
		return instance[:at]
	}
	return instance
}

// writtenBefore reports whether u was written before o, an entry with the same ID. Unlike positions,
// starts and sequences never go back.
func (u *Upstream) writtenBefore(born, sequence int64) bool {
	if u.Born != born {
		return u.Born < born
	}
	return u.Sequence < sequence
}

// startSeparator separates the ID from the time in an identifier returned by InstanceID.
const startSeparator = "@"

// Change is the decoded content of one record. At most one field is set; none is set if the
// record is irrelevant to the host.
type Change struct {
	Table      *matcher.Table
	Weights    *Weights
	Evacuation *Evacuation
	Upstream   *Upstream
	Removed    string // Removed is the ID of an upstream whose entry was removed.
}

// Weights is a weight version that operators have put in force for a model.
type Weights struct {
	Model   string
	Version uint64
}

// VersionHistory is a weight version in force, with the time at which this host learned of it.
type VersionHistory struct {
	Version  uint64
	Since    time.Time
	Earliest time.Time        // Earliest is a time at which it was not in force yet; zero if none is known.
	previous []VersionHistory // previous holds earlier versions, oldest first.
}

// maxPreviousVersions bounds the history. Engines are updated within seconds, so that few
// versions are in use at a time.
const maxPreviousVersions = 8

// succeededBy returns next with n added to its history.
func (n VersionHistory) succeededBy(next VersionHistory) VersionHistory {
	if n.Version == 0 {
		return next
	}
	earlier := n
	earlier.previous = nil
	next.previous = append(slices.Clone(n.previous), earlier)
	if len(next.previous) > maxPreviousVersions {
		next.previous = next.previous[1:]
	}
	return next
}

// merge returns n with the history that another host reported, which may have learned of
// versions sooner, or of ones that were replaced before this host started.
func (n VersionHistory) merge(reported []VersionHistory) VersionHistory {
	all := append(slices.Clone(n.previous), VersionHistory{Version: n.Version, Since: n.Since, Earliest: n.Earliest})
	for _, t := range reported {
		i := slices.IndexFunc(all, func(o VersionHistory) bool { return o.Version == t.Version })
		switch {
		case i >= 0:
			all[i].Since = earlierTime(all[i].Since, t.Since)
		case t.Version < n.Version:
			all = append(all, VersionHistory{Version: t.Version, Since: t.Since})
		}
	}
	slices.SortFunc(all, func(a, b VersionHistory) int { return cmp.Compare(a.Version, b.Version) })
	last := all[len(all)-1]
	last.previous = all[:len(all)-1]
	if over := len(last.previous) - maxPreviousVersions; over > 0 {
		last.previous = last.previous[over:]
	}
	return last
}

// equal reports whether n and o have the same version and history, Earliest aside.
func (n VersionHistory) equal(o VersionHistory) bool {
	equalVersion := func(a, b VersionHistory) bool { return a.Version == b.Version && a.Since.Equal(b.Since) }
	return equalVersion(n, o) && slices.EqualFunc(n.previous, o.previous, equalVersion)
}

// earlierTime returns the earlier of two times.
func earlierTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// VersionAge is a weight version with the time since a host learned of it, as sent to other hosts.
type VersionAge struct {
	Model   string        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"` // Age is the time since the host learned of it.
}

// firstAfter returns the first version put in force that is later than the given one.
func (n VersionHistory) firstAfter(version uint64) VersionHistory {
	for _, b := range n.previous {
		if b.Version > version {
			return b
		}
	}
	return n
}

// Replaced returns when this host learned that a version was replaced, which is when it
// learned of the first later one.
func (n VersionHistory) Replaced(version uint64) time.Time { return n.firstAfter(version).Since }

// InForceUntil returns a time at which a version had certainly not been replaced yet; zero if
// none is known. Unlike Replaced it does not depend on how late this host learned of it.
func (n VersionHistory) InForceUntil(version uint64) time.Time { return n.firstAfter(version).Earliest }
