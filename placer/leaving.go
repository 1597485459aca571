// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

// takesWork reports whether an upstream takes new work according to its entry and to its answers.
func (p *Placer) takesWork(m *member) bool { return p.view.Accepts(m.upstream) && !m.leaving() }

// MarkLeaving records that an upstream instance has said in an answer that it is leaving, and reports
// whether that is news. The instance gets no requests any more; its entry in the feed may say so much
// later.
func (p *Placer) MarkLeaving(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.memberOf(instance)
	if m == nil || m.leaving() {
		return false
	}
	p.markOf(m).leaving = true
	p.targetOf(m) // for the dump
	p.setListed(m, false)
	p.notifyRoom() // requests that wait for it must look elsewhere
	return true
}

// Leaving returns the number of upstreams that have said in answers that they are leaving.
func (p *Placer) Leaving() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.members {
		if m.leaving() {
			n++
		}
	}
	return n
}
