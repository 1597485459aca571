// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func limitedItem(class string, weight float64, latest time.Time, perSecond float64) *Item {
	it := item(class, 0, weight, "w")
	it.Group, it.Latest, it.Entered = "service", latest, time.Unix(1000, 0)
	it.Rate = func() (float64, bool) { return perSecond, perSecond > 0 }
	return it
}

// TestHopelessItemsAreRejectedAtOnce guards against requests that wait until their deadline for a turn
// that can't come before.
func TestHopelessItemsAreRejectedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var q Queue
	for range 10 {
		q.Push(limitedItem("c", 1, now.Add(3*time.Second), 2))
	}
	hopeless := q.RemoveHopeless(now)
	assert.Equal(t, len(hopeless), 4) // turns come 0.25 s, 0.75 s and so on from now
	assert.Equal(t, hopeless[0].Wait, 3250*time.Millisecond)
	assert.Equal(t, q.Len(), 6)
	assert.Equal(t, len(q.RemoveHopeless(now)), 0)
}

// TestHopelessItemsOfClasses checks that classes of a group divide its rate by weight.
func TestHopelessItemsOfClasses(t *testing.T) {
	now := time.Unix(1000, 0)
	var q Queue
	for range 20 {
		q.Push(limitedItem("urgent", 3, now.Add(2*time.Second), 8))
		q.Push(limitedItem("other", 1, now.Add(2*time.Second), 8))
	}
	left := map[string]int{"urgent": 20, "other": 20}
	for _, it := range q.RemoveHopeless(now) {
		left[it.Class]--
	}
	assert.DeepEqual(t, left, map[string]int{"urgent": 12, "other": 4})
}

func TestItemsWithoutRateWait(t *testing.T) {
	now := time.Unix(1000, 0)
	var q Queue
	q.Push(limitedItem("c", 1, now.Add(time.Millisecond), 0))
	q.Push(item("d", 0, 1, "w"))
	assert.Equal(t, len(q.RemoveHopeless(now)), 0)
}

// TestGateRejectsHopelessItem checks that Enter returns at once with the time until the item's turn.
func TestGateRejectsHopelessItem(t *testing.T) {
	g := NewGate(func(*Item, int) bool { return false })
	it := limitedItem("c", 1, time.Unix(1000, 0).Add(time.Second), 0.25)
	assert.Equal(t, g.Enter(context.Background(), it), TooLate)
	assert.Equal(t, it.Wait, 2*time.Second)
	assert.Equal(t, g.Waiting(), 0)
}
