// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"context"
	"time"
)

// Parts that are being read. While nothing is kept yet, after a start, a loss or a renewal,
// several requests want the same long part within the time that one engine takes to read
// it. Read by each of them it costs the engines some 300 ms each time; fetched from the
// first engine it takes 5 ms. So a request waits for a reading that is under way, if it is
// on time nevertheless.
const (
	// awaitTokens is the least part that is waited for: 100 ms of reading.
	awaitTokens = 4200
	// awaitShare is how many times the time of reading all itself a request that would be
	// late may take by waiting.
	awaitShare = 1.25
	// usualSlip is how many times the estimate a long reading takes among others, in the
	// middle.
	usualSlip = 1.2
	// awaitLate is how far past its estimate a reading may come, as a part of the estimate
	// and more.
	awaitLate  = 0.5
	awaitGrace = 30 * time.Millisecond
)

// Beginning says that an engine has been given a part to read.
type Beginning struct {
	Key    PartKey       `cbor:"1,keyasint"`
	Within time.Duration `cbor:"2,keyasint"` // Within is the estimated time until it has read it.
}

// progress is a reading that is under way.
type progress struct {
	end    time.Time     // end is when it is over by the estimate.
	within time.Duration // within is how long it takes by the estimate.
	ticket *Ticket       // ticket is that of the request that has the part read; nil if another host placed it.
	done   chan struct{}
}

// begin notes that the request of a ticket has long parts read, and that other hosts
// should know.
func (p *Placer) begin(now time.Time, tk *Ticket, first int) {
	for i := first; i < len(tk.keys); i++ {
		if tk.parts[i].Tokens < awaitTokens {
			continue
		}
		b := Beginning{Key: tk.keys[i], Within: firstToken + time.Duration(usualSlip*float64(tk.expected))}
		p.started(now, b, tk)
		if len(p.begun) < maxPlaced {
			p.begun = append(p.begun, b)
		}
	}
}

// started notes a reading. The one that ends first counts.
func (p *Placer) started(now time.Time, b Beginning, tk *Ticket) {
	end := now.Add(b.Within)
	had := p.reading[b.Key]
	if had != nil && had.end.After(now) && had.end.Before(end) {
		return
	}
	if had != nil {
		close(had.done)
	}
	p.reading[b.Key] = &progress{end: end, within: b.Within, ticket: tk, done: make(chan struct{})}
}

// ended notes that a part was read, or that a request that had it read has ended without.
func (p *Placer) ended(key PartKey, tk *Ticket) {
	had := p.reading[key]
	if had == nil || tk != nil && had.ticket != tk {
		return
	}
	close(had.done)
	delete(p.reading, key)
}

// readingAgain is the time that a request which would be late anyway may take: that of
// reading the rest of its prompt at an idle engine, and a little more.
func readingAgain(rest []Part) time.Duration {
	tokens := 0
	for _, part := range rest {
		tokens += part.Tokens
	}
	return time.Duration(awaitShare * float64(firstToken+readTime(tokens)))
}

// Wait is a reading by another request that a request is to wait for.
type Wait struct {
	Read <-chan struct{} // Read is closed when it has ended.
	Most time.Duration   // Most is how long to wait for that.
}

// For waits until the reading has ended, is late, or ctx ends.
func (w Wait) For(ctx context.Context) {
	late := time.NewTimer(w.Most)
	defer late.Stop()
	select {
	case <-w.Read:
	case <-late.C:
	case <-ctx.Done():
	}
}

// wait returns what a request is to wait for; the zero value if there is nothing.
func (p *Placer) wait(now time.Time, ask *Ask) Wait {
	if ask.Prompt == nil || ask.Due.IsZero() {
		return Wait{}
	}
	known := p.under(ask, p.usual(ask.Prompt.Model))
	parts := ask.Prompt.Parts
	next := max(len(known.stored), known.sources[0].parts)
	if next >= len(parts)-1 || parts[next].Tokens < awaitTokens {
		return Wait{}
	}
	under := p.reading[known.keys[next]]
	if under == nil || !under.end.After(now) {
		return Wait{}
	}
	left := under.end.Sub(now)
	if first := left + LeastTime(ask.Prompt); first > ask.Due.Sub(now) && first > readingAgain(parts[next:]) {
		return Wait{}
	}
	return Wait{Read: under.done, Most: left + time.Duration(awaitLate*float64(under.within)) + awaitGrace}
}
