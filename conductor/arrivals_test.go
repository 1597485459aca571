// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/tracker"
)

// weightsDecoder decodes a number as a weight version.
type weightsDecoder struct{}

func (weightsDecoder) Decode(_ follower.Feed, r follower.Record) (follower.Change, error) {
	n, err := strconv.ParseUint(string(r.Value), 10, 64)
	return follower.Change{Weights: &follower.Weights{Model: "m", Version: n}}, err
}

// TestBacklogHasUnknownAge: messages that arrive together after a silence have an unknown age, so a
// version named in them counts from the last message that came in time.
func TestBacklogHasUnknownAge(t *testing.T) {
	n := NewNode(NodeOptions{Self: tracker.HostRecord{Host: "a", Incarnation: 1}, Decoder: weightsDecoder{}, Timing: DefaultTiming()})
	start := time.Unix(5000, 0)
	next := int64(0)
	receive := func(at time.Duration, full bool, values ...string) {
		page := follower.FeedPage{Feed: follower.FeedOperator, Full: full, From: next}
		for _, v := range values {
			page.Records = append(page.Records, follower.Record{Key: "weights", Value: []byte(v), Offset: next})
			next++
		}
		page.Next = next
		n.Handle(start.Add(at), PeerMessage{From: "b", Message: &messenger.Message{FeedPages: []follower.FeedPage{page}}})
	}
	receive(0, true, "1")
	lastOnTime := time.Duration(0)
	for at := 200 * time.Millisecond; at <= time.Second; at += 200 * time.Millisecond {
		receive(at, false)
		lastOnTime = at
	}
	const resumed = 4 * time.Second
	receive(resumed, false)
	receive(resumed+10*time.Millisecond, false, "2")
	receive(resumed+20*time.Millisecond, false)
	named := n.state.View().Versions["m"]
	assert.Equal(t, named.Version, uint64(2), "the content of delayed messages holds")
	assert.Equal(t, named.InForceUntil(1), start.Add(lastOnTime))
	receive(resumed+500*time.Millisecond, false)
	assert.Equal(t, n.feeds[follower.FeedOperator].currentAt, start.Add(resumed+500*time.Millisecond), "later messages have a known age again")
}

// TestUncontactedHostsAreNotNamed: hosts known only from their announcements are marked uncontacted until
// they have sent a message or connected.
func TestUncontactedHostsAreNotNamed(t *testing.T) {
	record := func(host string) tracker.HostRecord {
		return tracker.HostRecord{Host: host, Incarnation: 1, State: tracker.HostLive, Peers: host, Callers: host}
	}
	n := NewNode(NodeOptions{
		Self: record("a"), Decoder: weightsDecoder{}, Timing: DefaultTiming(),
		Placements: func() []placer.Placement { return nil }, StoreReports: func() []placer.StoreReport { return nil },
	})
	uncontacted := func(ev Event) map[string]bool {
		for _, a := range n.Handle(time.Unix(5000, 0), ev) {
			if p, ok := a.(PublishHosts); ok {
				return p.Uncontacted
			}
		}
		return nil
	}
	assert.DeepEqual(t, uncontacted(AnnouncementsRead{Hosts: []tracker.HostRecord{record("b"), record("c")}}), map[string]bool{"b": true, "c": true})
	assert.DeepEqual(t, uncontacted(PeerConnected{Host: "b"}), map[string]bool{"c": true})
	assert.DeepEqual(t, uncontacted(PeerMessage{From: "c", Message: &messenger.Message{}}), map[string]bool{})
}
