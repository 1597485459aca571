// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package throttler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/tracker"
)

// Limit is a statement about the rate limit of one upstream instance.
type Limit struct {
	// Instance is the upstream's instance, as returned by follower.Upstream.InstanceID.
	Instance string `cbor:"1,keyasint"`
	// PerSecond is the number of requests a second that the upstream accepts of all hosts together; 0
	// means that it has withdrawn its limit.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Sequence orders the statements about an instance.
	Sequence uint64 `cbor:"3,keyasint"`
}

// replaces reports whether l replaces another statement. Of two statements that were made
// independently, the stricter one holds.
func (l Limit) replaces(o Limit) bool {
	if l.Sequence != o.Sequence {
		return l.Sequence > o.Sequence
	}
	return l.stricter(o)
}

// stricter reports whether l allows less than another statement.
func (l Limit) stricter(o Limit) bool {
	return l.PerSecond > 0 && (o.PerSecond == 0 || l.PerSecond < o.PerSecond)
}

const (
	// maxIdle is the time in which an owner that has a token may leave it unused without losing part
	// of the rate. It covers the interval at which waiting requests are admitted.
	maxIdle = 100 * time.Millisecond
	// wantTTL is how long a request that found no token counts as waiting for one.
	wantTTL = 150 * time.Millisecond
)

// state is what a host knows of one upstream's limit.
type state struct {
	Limit
	since    time.Time // since is when this host learned of the statement.
	unlisted time.Time // unlisted is since when the upstream is not listed; zero if it is.

	hostsVersion int      // hostsVersion is that of the hosts from which owners were chosen.
	owners       []string // owners divide the limit.
	owner        bool     // owner reports whether this host is one of them.
	rate         float64  // rate is the rate of an owner's bucket, in tokens a second.
	tokens       float64
	filledAt     time.Time
	askers       map[string]*asker

	permits   []permit // permits were received from owners, the oldest first.
	wantedAt  time.Time
	askedAt   time.Time
	nextOwner int       // nextOwner is the index of the owner to ask first.
	ownTurn   bool      // ownTurn reserves the next token for this host.
	servedAt  time.Time // servedAt is when this host last had its turn.
}

// asker is a host that waits for tokens of this one.
type asker struct {
	ask      Ask
	at       time.Time
	servedAt time.Time
}

// permit is a token that another host has handed out.
type permit struct{ expires time.Time }

// limited reports whether a limit is in force.
func (s *state) limited() bool { return s.PerSecond > 0 }

// divide chooses the owners among the live hosts. counted is the number of hosts that may send.
func (s *state) divide(now time.Time, self string, live []string, counted, version int) {
	if s.hostsVersion == version {
		return
	}
	s.hostsVersion = version
	divisor := max(1, min(counted, int(math.Ceil(s.PerSecond))))
	s.owners = firstRanked(live, s.Instance, divisor)
	s.rate = s.PerSecond / float64(divisor)
	owner := slices.Contains(s.owners, self)
	if owner && !s.owner {
		s.tokens, s.filledAt = 0, now
	}
	if !owner {
		s.tokens, s.ownTurn = 0, false
		clear(s.askers)
	}
	s.owner = owner
	s.tokens = min(s.tokens, s.capacity())
}

// firstRanked returns the n hosts that rank first for a key.
func firstRanked(hosts []string, key string, n int) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(tracker.Rank(b, key), tracker.Rank(a, key)), cmp.Compare(a, b))
	})
	return ranked[:min(n, len(ranked))]
}

// capacity returns the capacity of the bucket.
func (s *state) capacity() float64 { return 1 + s.rate*maxIdle.Seconds() }

// fill adds the tokens of the time since the last call.
func (s *state) fill(now time.Time) {
	if !s.owner {
		return
	}
	if elapsed := now.Sub(s.filledAt); elapsed > 0 {
		s.tokens = min(s.capacity(), s.tokens+s.rate*elapsed.Seconds())
	}
	s.filledAt = now
}

// hasToken reports whether the bucket has a token.
func (s *state) hasToken() bool { return s.owner && s.tokens >= 1 }

// expire drops expired permits and asks.
func (s *state) expire(now time.Time) {
	s.permits = slices.DeleteFunc(s.permits, func(p permit) bool { return now.After(p.expires) })
	for host, a := range s.askers {
		if now.Sub(a.at) > turnTTL {
			delete(s.askers, host)
		}
	}
}

// wanted reports whether a request of this host waits for a token.
func (s *state) wanted(now time.Time) bool {
	return !s.wantedAt.IsZero() && now.Sub(s.wantedAt) <= wantTTL
}
