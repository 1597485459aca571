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

// Feed names one of the platform's feeds of keyed records.
type Feed string

const (
	FeedOperator  Feed = "Operator"  // FeedOperator has the configuration and the weight versions.
	FeedUpstreams Feed = "Upstreams" // FeedUpstreams has an entry for each upstream.
)

// ErrForgotten says that the store no longer has the records asked for; the
// newest record of each key is still there.
var ErrForgotten = errors.New("follower: the store has forgotten these records")

// Record is one record of a feed, as it is kept and passed between hosts.
type Record struct {
	Key    string `cbor:"1,keyasint"`
	Value  []byte `cbor:"2,keyasint,omitempty"` // Value is empty if the key was removed.
	Offset int64  `cbor:"3,keyasint"`
}

// News is a page of a feed that a host has read and passes on.
type News struct {
	Feed    Feed          `cbor:"1,keyasint"`
	Full    bool          `cbor:"2,keyasint,omitempty"` // Full tells that Records has the newest record of each key.
	From    int64         `cbor:"3,keyasint"`
	Next    int64         `cbor:"4,keyasint"`           // Next is the offset after the last record covered.
	Age     time.Duration `cbor:"5,keyasint,omitempty"` // Age is how long ago the page was read.
	Records []Record      `cbor:"6,keyasint,omitempty"`
	Kept    bool          `cbor:"7,keyasint,omitempty"` // Kept tells that the page was not read just now, but is what a host knows.
}

// Standing is what an upstream says of itself.
type Standing string

const (
	StandingReady   Standing = "Ready"
	StandingLeaving Standing = "Leaving"
)

// Upstream is one upstream as its entry describes it.
type Upstream struct {
	ID               string // ID is what the upstream calls itself. It may start again under the same one.
	Born             int64  // Born is when it was started, in milliseconds of the time of day; 0 if it does not say.
	Service          string
	Address          string // Address is IP:port.
	AvailabilityZone string
	Slots            int
	Standing         Standing
	Cold             time.Duration     // Cold is how much longer it was slow when it wrote its entry.
	ColdUntil        time.Time         // ColdUntil is until when it is slow, as State works it out.
	Weights          map[string]uint64 // Weights has the weight version of each model.

	start string // start is what Start returns, once it was worked out.
}

// Start names one start of the upstream. What is known of an earlier one under the same
// ID does not hold for it: it keeps nothing and has no work.
func (u *Upstream) Start() string {
	switch {
	case u.Born == 0:
		return u.ID
	case u.start != "":
		return u.start
	}
	return u.ID + startMark + strconv.FormatInt(u.Born, 36)
}

// IDOf returns the ID in the name of a start that tells when it was; otherwise the name itself.
func IDOf(start string) string {
	if at := strings.LastIndex(start, startMark); at >= 0 {
		return start[:at]
	}
	return start
}

// startMark parts ID and time in the name of a start.
const startMark = "@"

// Change is what one record says. At most one field is set; none is if the
// record is of no interest.
type Change struct {
	Table      *matcher.Table
	Weights    *Weights
	Evacuation *Evacuation
	Upstream   *Upstream
	Removed    string // Removed is the ID of an upstream whose entry is gone.
}

// Weights is a weight version of a model that operators have named.
type Weights struct {
	Model   string
	Version uint64
}

// Named is a weight version with the time at which this host heard of it.
type Named struct {
	Version  uint64
	Since    time.Time
	Earliest time.Time // Earliest is a moment at which it was not named yet; zero if none is known.
	before   []Named   // before are earlier ones, oldest first.
}

// keptNamings bounds how many earlier versions are remembered. Engines are
// renewed within seconds, so that hardly more than one is in use.
const keptNamings = 8

// then returns the version that is named after n.
func (n Named) then(next Named) Named {
	if n.Version == 0 {
		return next
	}
	earlier := n
	earlier.before = nil
	next.before = append(slices.Clone(n.before), earlier)
	if len(next.before) > keptNamings {
		next.before = next.before[1:]
	}
	return next
}

// recalling returns n with what another host remembers of earlier namings: that host may
// have heard sooner, or of versions that were replaced before this one started.
func (n Named) recalling(told []Named) Named {
	all := append(slices.Clone(n.before), Named{Version: n.Version, Since: n.Since, Earliest: n.Earliest})
	for _, t := range told {
		i := slices.IndexFunc(all, func(o Named) bool { return o.Version == t.Version })
		switch {
		case i >= 0:
			all[i].Since = sooner(all[i].Since, t.Since)
		case t.Version < n.Version:
			all = append(all, Named{Version: t.Version, Since: t.Since})
		}
	}
	slices.SortFunc(all, func(a, b Named) int { return cmp.Compare(a.Version, b.Version) })
	last := all[len(all)-1]
	last.before = all[:len(all)-1]
	if over := len(last.before) - keptNamings; over > 0 {
		last.before = last.before[over:]
	}
	return last
}

// same tells that two hosts' memories of namings are alike.
func (n Named) same(o Named) bool {
	alike := func(a, b Named) bool { return a.Version == b.Version && a.Since.Equal(b.Since) }
	return alike(n, o) && slices.EqualFunc(n.before, o.before, alike)
}

// sooner returns the first of two times.
func sooner(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Naming is what one host remembers of a naming, for another.
type Naming struct {
	Model   string        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"` // Age is how long ago the host heard of it.
}

// after returns the first naming later than a version.
func (n Named) after(version uint64) Named {
	for _, b := range n.before {
		if b.Version > version {
			return b
		}
	}
	return n
}

// Replaced returns when this host heard that a version was replaced: since the first
// later one was named, however many were named after that.
func (n Named) Replaced(version uint64) time.Time { return n.after(version).Since }

// InForceUntil returns a moment until which a version surely had not been replaced;
// zero if none is known. Unlike Replaced it holds also for hosts that heard late.
func (n Named) InForceUntil(version uint64) time.Time { return n.after(version).Earliest }
