// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"slices"
	"time"
)

// maxLinkTokens is the largest number of tokens in flight on a link that another host may report. It takes
// minutes on the slowest links, while engines give up transfers after 2 s.
const maxLinkTokens = 1 << 28

// linkUse is a ticket's share of the transfers in flight on an engine's link.
type linkUse struct {
	target *target
	work   Work // work has the transfers as Requests, and their tokens at the link's rate as Pending.
}

// linkTokenTime returns the time of one token on the engine's link.
func (t *target) linkTokenTime() float64 {
	if t.engine == nil {
		return 0
	}
	return float64(transferTime(1000, t.engine.BytesPerToken, t.engine.LinkMbps)) / 1000
}

// linkQueue returns the time until the transfers of all hosts on the engine's link have ended.
func (t *target) linkQueue() time.Duration {
	if t.ownLink.Pending+t.peerLink.Pending == 0 {
		return 0
	}
	return time.Duration(float64(t.ownLink.Pending+t.peerLink.Pending) * t.linkTokenTime())
}

// useLinks counts a planned transfer on the links of the engines at its ends. took is the time that it
// occupies them, without the wait for them. If a request fetches from several engines, only the first is
// counted.
func (tk *Ticket) useLinks(s supplier, took time.Duration) {
	tk.useLink(&tk.destination, tk.target, took)
	if s.engine != nil {
		tk.useLink(&tk.source, s.engine, took)
	}
}

func (tk *Ticket) useLink(u *linkUse, t *target, took time.Duration) {
	perToken := t.linkTokenTime()
	if perToken <= 0 || u.target != nil && u.target != t {
		return
	}
	w := Work{Pending: int(float64(took) / perToken)}
	if u.target == nil {
		w.Requests = 1
	}
	u.target = t
	u.work.add(w)
	t.ownLink.add(w)
	tk.placer.linkChanged(t)
}

// leaveLinks removes the ticket's transfers from the links.
func (tk *Ticket) leaveLinks() {
	for _, u := range []*linkUse{&tk.destination, &tk.source} {
		if u.target != nil {
			u.target.ownLink.sub(u.work)
			tk.placer.linkChanged(u.target)
			*u = linkUse{}
		}
	}
}

// linkChanged records that this host's transfers on a link have changed since the last report.
func (p *Placer) linkChanged(t *target) {
	t.linkChanged = true
	if !t.linkUsed {
		t.linkUsed = true
		p.usedLinks = append(p.usedLinks, t)
	}
}

// endTransfers removes the transfers that should have ended from the links. The first token, which comes
// after the prefill, would be too late.
func (p *Placer) endTransfers(now time.Time) {
	p.transferring = slices.DeleteFunc(p.transferring, func(tk *Ticket) bool {
		ended := tk.done || tk.first || !now.Before(tk.transfersEnd)
		if ended {
			tk.leaveLinks()
		}
		return ended
	})
}

// links returns the transfers in flight of this host, by instance.
func (p *Placer) links() map[string]Work {
	p.usedLinks = slices.DeleteFunc(p.usedLinks, func(t *target) bool {
		t.linkChanged, t.linkUsed = false, t.ownLink.Requests > 0
		return !t.linkUsed
	})
	if len(p.usedLinks) == 0 {
		return nil
	}
	out := make(map[string]Work, len(p.usedLinks))
	for _, t := range p.usedLinks {
		out[t.instance] = t.ownLink
	}
	return out
}

// linkChanges returns the links whose transfers of this host have changed since the last report.
func (p *Placer) linkChanges() map[string]Work {
	var out map[string]Work
	for _, t := range p.usedLinks {
		if !t.linkChanged {
			continue
		}
		if out == nil {
			out = make(map[string]Work)
		}
		out[t.instance] = t.ownLink
		t.linkChanged = false
	}
	return out
}

// setPeerLink replaces one host's transfers on an engine's link.
func (p *Placer) setPeerLink(instance string, old, updated Work) {
	if t := p.targets[instance]; t != nil {
		t.peerLink.sub(old)
		t.peerLink.add(updated)
	}
}

// validLinks returns the reported transfers without impossible figures, and how many it left out.
func validLinks(reported map[string]Work) (map[string]Work, int) {
	if len(reported) == 0 {
		return nil, 0
	}
	valid := make(map[string]Work, len(reported))
	for instance, w := range reported {
		if w.Requests >= 0 && w.Pending >= 0 && w.Pending <= maxLinkTokens {
			valid[instance] = w
		}
	}
	return valid, len(reported) - len(valid)
}
