// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// Result says how a request ended at an upstream.
type Result string

const (
	ResultServed    Result = "Served"
	ResultFailed    Result = "Failed"    // ResultFailed is an answer or a break that counts against the upstream.
	ResultRefused   Result = "Refused"   // ResultRefused says that the upstream was full or not the one expected.
	ResultUnreached Result = "Unreached" // ResultUnreached says that no connection stood.
	ResultCaller    Result = "Caller"    // ResultCaller says that the caller left; it tells nothing of the upstream.
)

// Ticket is one request under way at an upstream.
type Ticket struct {
	placer *Placer
	target *target
	start  time.Time
	work   Work // work is what still counts.
	keys   []PartKey
	parts  []Part
	store  *store // store is where the request fetches from, or nil.
	moved  Work   // moved is what it fetches there.
	// expected is the time to the first byte that was expected.
	expected time.Duration
	// common is what a common engine would have taken to the first byte, besides transfers;
	// 0 if that cannot be told.
	common    time.Duration
	fetchTime time.Duration // fetchTime is the estimated time of transfers.
	fetching  bool          // fetching tells that the upstream has to fetch kept context first.
	onSilent  func()
	queued    int  // queued are the tokens that go out there up to its own.
	reads     int  // reads is the first of its parts that the upstream has to read.
	missing   int  // missing are the tokens that it had to read.
	quiet     bool // quiet tells that its engine had nothing else to read.
	first     bool
	done      bool
}

// First tells that the upstream has read the prompt.
func (tk *Ticket) First(now time.Time) {
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	if tk.first || tk.done {
		return
	}
	tk.first = true
	tk.target.sign = now
	if tk.work.Pending >= urgentTokens && tk.placer.opts.Urgent != nil {
		tk.placer.opts.Urgent()
	}
	tk.target.eased = now
	tk.target.own.Pending -= tk.work.Pending
	tk.placer.changed[tk.target] = struct{}{}
	tk.work.Pending = 0
	if !tk.spans(now) {
		tk.placer.timed(now, tk)
		tk.placer.paced(now, tk)
	}
	tk.arrived()
	tk.placer.note(now, tk.target, tk.keys, tk.parts)
	for _, k := range tk.keys {
		tk.placer.ended(k, nil)
	}
	tk.placer.eased()
}

// eased tells that an upstream has more room.
func (p *Placer) eased() {
	if p.opts.Eased != nil {
		p.opts.Eased()
	}
}

// arrived takes the request's transfer off its store.
func (tk *Ticket) arrived() {
	if tk.store != nil {
		tk.store.own.sub(tk.moved)
		tk.store = nil
	}
}

// Done tells the end. Later calls do nothing.
func (tk *Ticket) Done(now time.Time, result Result) {
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	if tk.done {
		return
	}
	tk.done = true
	tk.arrived()
	if !tk.first {
		for _, k := range tk.keys {
			tk.placer.ended(k, tk)
		}
	}
	t := tk.target
	delete(t.tickets, tk)
	if result == ResultServed || result == ResultRefused {
		t.sign = now
	}
	t.own.sub(tk.work)
	tk.placer.changed[t] = struct{}{}
	t.eased = now
	switch result {
	case ResultServed:
		t.succeeded(now)
		if !tk.spans(now) {
			t.took(now.Sub(tk.start))
		}
	case ResultFailed, ResultRefused:
		t.failed() // also a full one is the worse choice for a while
	case ResultUnreached:
		t.unreached(now)
	default:
		t.probing = false
	}
	tk.placer.eased()
}
