// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// cut says whether this host is or was cut off from the upstreams. The zero value is that of a host that never was.
type cut struct {
	off   bool
	since time.Time // since is when the last cut began.
	ended time.Time // ended is when it ended.
}

// spans reports whether the host was cut off while the request was in flight.
func (c *cut) spans(tk *Ticket) bool { return c.off || tk.start.Before(c.ended) }

// SetCutOff sets whether this host is cut off from the upstreams while others are not; since is when the cut began.
// Until it ends, failures do not count against upstreams and no work is reported to other hosts. The suspicions that
// began in it are cleared; their number is returned.
func (p *Placer) SetCutOff(now time.Time, off bool, since time.Time) (cleared int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut.off == off {
		return 0
	}
	p.cut.off = off
	if off {
		p.cut.since = since
	} else {
		p.cut.ended = now
	}
	for _, t := range p.targets {
		if t.evidence != EvidenceNone && !t.suspectedAt.Before(p.cut.since) {
			t.clearSuspicion()
			cleared++
		}
	}
	p.notifyRoom()
	return cleared
}

// clearSuspicion restores the state before an upstream became suspect.
func (t *target) clearSuspicion() {
	t.evidence, t.failureRate = EvidenceNone, t.rateBefore
	t.suspectUntil, t.backoff, t.probing = time.Time{}, 0, false
}

// minQuiet is the least time that Quiet returns.
const minQuiet = 200 * time.Millisecond

// Quiet returns how long requests of this host have been in flight without activity of any upstream; 0 if that is less
// than minQuiet, or if this process has stalled. Requests whose answers the host does not read are left out.
func (p *Placer) Quiet(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.activeAt) < minQuiet || p.stalled(now) {
		return 0
	}
	var oldest time.Time
	for t := range p.activeTargets {
		for tk := range t.tickets {
			since := later(tk.start, tk.resumed)
			if !tk.paused && (oldest.IsZero() || since.Before(oldest)) {
				oldest = since
			}
		}
	}
	if oldest.IsZero() {
		return 0
	}
	if quiet := now.Sub(later(oldest, p.activeAt)); quiet >= minQuiet {
		return quiet
	}
	return 0
}
