// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func closed(w Wait) bool {
	select {
	case <-w.Done:
		return true
	default:
		return false
	}
}

// dueRequest returns a request that must have its first byte within a time.
func dueRequest(now time.Time, within time.Duration, shared, own string) *PlacementRequest {
	req := askFor(shared, own)
	req.Due = now.Add(within)
	return req
}

// TestRunningPrefillIsAwaited checks that requests on any host wait for a running prefill of a
// long part and fetch the part then, unless waiting would make them late.
func TestRunningPrefillIsAwaited(t *testing.T) {
	const within = 800 * time.Millisecond
	v := testView(3, 1)
	v.Versions = nil // no weight version is named yet
	a, b := testPlacer(v), testPlacer(v)
	first, verdict := a.Choose(start, dueRequest(start, within, "x", "own"))
	assert.Equal(t, verdict, Chosen, "no prefill is running")
	b.ApplyReport(start, "a", a.Changes())
	now := start.Add(100 * time.Millisecond)
	var waits []*PlacementRequest
	for _, p := range []*Placer{a, b} {
		req := dueRequest(now, within, "x", "own2")
		_, verdict = p.Choose(now, req)
		assert.Equal(t, verdict, AwaitPrefill)
		assert.Assert(t, !closed(req.Wait) && req.Wait.Timeout < time.Second)
		waits = append(waits, req)

		_, verdict = p.Choose(now, dueRequest(now, 100*time.Millisecond, "x", "own3"))
		assert.Equal(t, verdict, AwaitPrefill, "it would be late with its own prefill too")
		other, verdict := p.Choose(now, dueRequest(now, within, "y"+string(rune(len(waits))), "own4"))
		assert.Equal(t, verdict, Chosen, "no prefill of this part is running")
		other.Ticket.Done(now, ResultFailed)
	}
	first.Ticket.First(now)
	b.ApplyReport(now, "a", a.Changes())
	for i, p := range []*Placer{a, b} {
		assert.Assert(t, closed(waits[i].Wait))
		c, verdict := p.Choose(now, waits[i])
		assert.Equal(t, verdict, Chosen)
		assert.Equal(t, c.Basis.PrefillTokens, 4000)
	}

	// A request that ends before its prefill ends the wait of others on its host.
	second, _ := a.Choose(now, dueRequest(now, within, "z", "own"))
	req := dueRequest(now, within, "z", "own2")
	_, verdict = a.Choose(now, req)
	assert.Equal(t, verdict, AwaitPrefill)
	second.Ticket.Done(now, ResultFailed)
	assert.Assert(t, closed(req.Wait))
	_, verdict = a.Choose(now, req)
	assert.Equal(t, verdict, Chosen)
}
