// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/replayer"
	"amaranthgate.example/amaranthgate/tracker"
)

// TestOwnRecordFromPeer checks that a host's own record that a peer relays counts
// as read back, so that later entries are appended.
func TestOwnRecordFromPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	n := NewNode(Options{
		Self:      tracker.HostRecord{Host: "a", Incarnation: 1, Peers: "a", Callers: "a"},
		Registry:  &publisher.Registry{},
		Heartbeat: time.Second, SuspectAfter: time.Second, Lease: 3 * time.Second, LogRetention: time.Hour,
	})
	n.Start(now)
	stream := configurer.StreamName
	n.Handle(now, LogRead{Stream: stream, Began: now, Page: replayer.Page{}})
	s := n.streams[stream]
	assert.Assert(t, s.fold.Ready())
	s.queue.Add(replayer.NewEntry(configurer.KindDelta, configurer.Delta{ID: "c1"}))
	rec, ok := s.queue.Next(now)
	assert.Assert(t, ok)
	n.Handle(now, AppendDone{Stream: stream, Sequence: rec.Sequence})
	assert.Equal(t, s.queue.Len(), 1)
	relayed := replayer.RawRecord{Offset: s.fold.Next(), Time: now, Body: rec.Encode()}
	n.Handle(now, PeerMessage{From: "b", Message: &messenger.Message{Records: []messenger.StreamRecord{{Stream: stream, Record: relayed}}}})
	assert.Equal(t, s.queue.Len(), 0)
}
