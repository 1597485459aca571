// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package arbiter

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of valid figures. They are far above what a host can hold.
const (
	maxWaiting    = 1 << 20
	maxRank       = 100
	maxCount      = 1 << 53
	maxWork       = 1e12
	maxTime       = 10 * time.Minute // maxTime exceeds any timeout of a request.
	maxNameLength = 512
)

// peer is what is known of another host.
type peer struct {
	hash        uint64
	at          time.Time // at is the arrival of the last message.
	incarnation uint64
	sequence    uint64
	backlogs    []peerBacklog
	usage       []Usage
	counts      map[ClassKey]*peerCounts
	// toldVersion is the outbox version that the host was last sent, at toldAt.
	toldVersion uint64
	toldAt      time.Time
	waitedAt    map[string]time.Time // waitedAt is when requests last waited there, by service.
}

// peerBacklog is a backlog whose head has an absolute time.
type peerBacklog struct {
	Backlog
	startBy time.Time
}

// peerCounts are the last cumulative counts of a class at another host.
type peerCounts struct {
	counts
	work float64
	at   time.Time
}

// heard reports whether the last message of the host still counts.
func (p *peer) heard(now time.Time) bool { return now.Sub(p.at) < silenceTimeout }

func (b *Backlog) waiting() int { return b.OnTime + b.Late }

// Receive applies the message of another host and returns the refused requests in it. If a figure is
// invalid, it changes nothing and says what is wrong.
func (a *Arbiter) Receive(now time.Time, from string, m *Message) (returns []Return, problem string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.peers[from]
	switch {
	case from == a.opts.Host || a.delayed(now) || p != nil && !m.follows(p):
		a.stats.Ignored++
		return nil, ""
	case p == nil && len(a.peers) >= maxPeers:
		problem = "too many hosts"
	default:
		problem = a.problem(p, m)
	}
	if problem != "" {
		a.stats.Rejected++
		return nil, problem
	}
	a.stats.Received++
	if p == nil {
		p = &peer{hash: xxhash.Sum64String(from), waitedAt: make(map[string]time.Time)}
		a.peers[from] = p
	}
	if p.incarnation != m.Incarnation || p.counts == nil {
		p.counts = make(map[ClassKey]*peerCounts)
		p.toldVersion = 0 // a host that has restarted has lost what it was told
	}
	p.at, p.incarnation, p.sequence = now, m.Incarnation, m.Sequence
	p.usage = m.Usage
	p.backlogs = make([]peerBacklog, 0, len(m.Backlogs))
	for _, b := range m.Backlogs {
		a.count(now, p, b)
		if b.waiting() > 0 {
			p.backlogs = append(p.backlogs, peerBacklog{Backlog: b, startBy: now.Add(b.Head.StartWithin)})
			p.waitedAt[b.Key.Service] = now
			a.contended.Store(true)
		}
	}
	a.version++
	return m.Returns, ""
}

// delayed reports whether messages may have accumulated while this process was paused; a.mu is held.
func (a *Arbiter) delayed(now time.Time) bool {
	if !a.lastStep.IsZero() && now.Sub(a.lastStep) > stallGap {
		a.stale = now.Add(stallWindow)
	}
	return now.Before(a.stale)
}

// follows reports whether a message was sent after the last one that was applied.
func (m *Message) follows(p *peer) bool {
	return m.Incarnation > p.incarnation || m.Incarnation == p.incarnation && m.Sequence > p.sequence
}

// count adds the increase of a class's counts. After a silence, or at the first message of an incarnation,
// the counts are a new base, since their increase since then did not happen now; a.mu is held.
func (a *Arbiter) count(now time.Time, p *peer, b Backlog) {
	last := p.counts[b.Key]
	if last == nil {
		last = &peerCounts{at: now, counts: counts{b.Entered, b.Started}, work: b.Work}
		p.counts[b.Key] = last
	}
	if now.Sub(last.at) < silenceTimeout {
		s := a.sums[b.Key]
		if s == nil {
			s = &counts{}
			a.sums[b.Key] = s
		}
		started := b.Started - last.started
		s.entered += b.Entered - last.entered
		s.started += started
		w, period := a.classWindow(b.Key), a.period(now)
		w.count.add(period, float64(started))
		w.work.add(period, b.Work-last.work)
	}
	last.at, last.counts, last.work = now, counts{b.Entered, b.Started}, b.Work
}

// problem returns what is invalid in a message; a.mu is held.
func (a *Arbiter) problem(p *peer, m *Message) string {
	if len(m.Backlogs) > MaxBacklogs || len(m.Usage) > MaxUsage || len(m.Returns) > MaxReturns {
		return fmt.Sprintf("too many entries: %d backlogs, %d workspaces, %d returns", len(m.Backlogs), len(m.Usage), len(m.Returns))
	}
	for i := range m.Backlogs {
		b := &m.Backlogs[i]
		if text := b.problem(); text != "" {
			return text
		}
		for j := range i {
			if m.Backlogs[j].Key == b.Key {
				return fmt.Sprintf("class %q is given twice", b.Key.Class)
			}
		}
		if a.sums[b.Key] == nil && len(a.sums) >= maxClasses {
			return "too many classes"
		}
		if p != nil && p.incarnation == m.Incarnation && p.counts[b.Key].exceeds(b) {
			return fmt.Sprintf("counts of class %q have decreased", b.Key.Class)
		}
	}
	for i, u := range m.Usage {
		if text := u.problem(); text != "" {
			return text
		}
		for _, o := range m.Usage[:i] {
			if o.Service == u.Service && o.Workspace == u.Workspace {
				return fmt.Sprintf("workspace %q is given twice", u.Workspace)
			}
		}
	}
	for _, r := range m.Returns {
		if !validTime(r.FirstAge) || !validTime(r.Remaining) {
			return fmt.Sprintf("return with age %v and remaining time %v", r.FirstAge, r.Remaining)
		}
	}
	return ""
}

// exceeds reports whether any count is above that of a backlog.
func (c *peerCounts) exceeds(b *Backlog) bool {
	return c != nil && (c.entered > b.Entered || c.started > b.Started || c.work > b.Work)
}

func (b *Backlog) problem() string {
	switch h := b.Head; {
	case b.Key.Service == "" || len(b.Key.Service) > maxNameLength || len(b.Key.Class) > maxNameLength || len(h.Workspace) > maxNameLength:
		return "backlog with an empty service or a name that is too long"
	case b.Rank < 0 || b.Rank > maxRank:
		return fmt.Sprintf("rank %d", b.Rank)
	case b.OnTime < 0 || b.Late < 0 || b.OnTime > maxWaiting || b.Late > maxWaiting:
		return fmt.Sprintf("%d requests on time and %d late", b.OnTime, b.Late)
	case b.Entered > maxCount || b.Started > maxCount || !validWork(b.Work, maxCount):
		return fmt.Sprintf("%d requests entered, %d started with work %g", b.Entered, b.Started, b.Work)
	case b.waiting() == 0:
		return ""
	case h.Lane != LaneOnTime && h.Lane != LaneLate:
		return fmt.Sprintf("unknown lane %.20q", string(h.Lane))
	case h.StartWithin < -maxTime || h.StartWithin > maxTime:
		return fmt.Sprintf("head to start within %v", h.StartWithin)
	}
	return ""
}

func (u *Usage) problem() string {
	switch {
	case u.Service == "" || len(u.Service) > maxNameLength || len(u.Workspace) > maxNameLength:
		return "usage with an empty service or a name that is too long"
	case !validWork(u.Work, maxWork):
		return fmt.Sprintf("work %g of a workspace", u.Work)
	}
	return ""
}

func validWork(w, limit float64) bool { return w >= 0 && w <= limit && !math.IsNaN(w) }

func validTime(d time.Duration) bool { return d >= 0 && d <= maxTime }
