// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"context"
	"time"
)

// Sharing of running prefills. While a long part is cached nowhere, several requests may need it
// within the time of one prefill. Prefilled for each of them it costs the engines some 300 ms each
// time; fetched from the first engine it takes 5 ms. A request waits for a running prefill and
// fetches the part then, if it can still be on time.
const (
	// minAwaitTokens is the least length of a part that is waited for. It takes 100 ms of prefill.
	minAwaitTokens = 4200
	// maxAwaitFactor bounds the wait of a request that would be late, as a multiple of the time of
	// prefilling the rest itself.
	maxAwaitFactor = 1.25
	// loadedPrefillFactor is the typical ratio of a long prefill's time to its estimate under
	// load.
	loadedPrefillFactor = 1.2
	// awaitLateShare and awaitGrace bound how far past its estimate a prefill is waited for: a
	// share of the estimate, and a constant.
	awaitLateShare = 0.5
	awaitGrace     = 30 * time.Millisecond
)

// PrefillStart reports that an engine has been given a part to prefill.
type PrefillStart struct {
	Key    PartKey       `cbor:"1,keyasint"`
	Within time.Duration `cbor:"2,keyasint"` // Within is the estimated time to the end of the prefill.
}

// prefill is a running prefill of a part.
type prefill struct {
	end    time.Time     // end is the estimated end.
	within time.Duration // within is the estimated duration.
	ticket *Ticket       // ticket is that of the request that prefills the part; nil if it is another host's.
	done   chan struct{}
}

// startPrefills records the long parts that a ticket's request prefills, and reports them to other
// hosts.
func (p *Placer) startPrefills(now time.Time, tk *Ticket, first int) {
	for i := first; i < len(tk.keys); i++ {
		if tk.parts[i].Tokens < minAwaitTokens {
			continue
		}
		b := PrefillStart{Key: tk.keys[i], Within: firstTokenTime + time.Duration(loadedPrefillFactor*float64(tk.expected))}
		p.prefillStarted(now, b, tk)
		if len(p.prefillStarts) < maxQueuedReports {
			p.prefillStarts = append(p.prefillStarts, b)
		}
	}
}

// prefillStarted records a running prefill. Of several for one part the earliest to end is kept.
func (p *Placer) prefillStarted(now time.Time, b PrefillStart, tk *Ticket) {
	end := now.Add(b.Within)
	prev := p.prefills[b.Key]
	if prev != nil && prev.end.After(now) && prev.end.Before(end) {
		return
	}
	if prev != nil {
		close(prev.done)
	}
	p.prefills[b.Key] = &prefill{end: end, within: b.Within, ticket: tk, done: make(chan struct{})}
}

// prefillEnded ends the wait for a part: any engine has prefilled it (tk is nil), or the request tk
// ended before its prefill.
func (p *Placer) prefillEnded(key PartKey, tk *Ticket) {
	running := p.prefills[key]
	if running == nil || tk != nil && running.ticket != tk {
		return
	}
	close(running.done)
	delete(p.prefills, key)
}

// awaitLimit returns the longest time to the first token for which a request that would be late
// still waits: a multiple of prefilling the rest of its prompt at an idle engine.
func awaitLimit(rest []Part) time.Duration {
	tokens := 0
	for _, part := range rest {
		tokens += part.Tokens
	}
	return time.Duration(maxAwaitFactor * float64(firstTokenTime+prefillTime(tokens)))
}

// Wait is another request's prefill to wait for.
type Wait struct {
	Done    <-chan struct{} // Done is closed when the prefill has ended.
	Timeout time.Duration
}

// For waits until the prefill has ended, the timeout has passed or ctx is done.
func (w Wait) For(ctx context.Context) {
	timeout := time.NewTimer(w.Timeout)
	defer timeout.Stop()
	select {
	case <-w.Done:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// wait returns the prefill that a request should wait for; the zero value if there is none.
func (p *Placer) wait(now time.Time, req *PlacementRequest) Wait {
	if req.Prompt == nil || req.Due.IsZero() {
		return Wait{}
	}
	prompt := p.lookup(req, p.usualWeights(req.Prompt.Model))
	parts := req.Prompt.Parts
	next := max(len(prompt.stores), prompt.sources[0].parts)
	if next >= len(parts)-1 || parts[next].Tokens < minAwaitTokens {
		return Wait{}
	}
	running := p.prefills[prompt.keys[next]]
	if running == nil || !running.end.After(now) {
		return Wait{}
	}
	left := running.end.Sub(now)
	if first := left + MinFirstTokenTime(req.Prompt); first > req.Due.Sub(now) && first > awaitLimit(parts[next:]) {
		return Wait{}
	}
	return Wait{Done: running.done, Timeout: left + time.Duration(awaitLateShare*float64(running.within)) + awaitGrace}
}
