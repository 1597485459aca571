// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// newerStatement is the time by which a statement must be newer than another of the same kind to replace it.
	// Messages that pass it on take less.
	newerStatement = 2 * time.Second
	// maxBrittleRate bounds the refusals a second that another host can state.
	maxBrittleRate = 1e6
)

// BrittleNews is a statement of an upstream that another host has read in an answer.
type BrittleNews struct {
	// Instance is the upstream's instance, as returned by follower.Upstream.InstanceID.
	Instance string `cbor:"1,keyasint"`
	// PerSecond is the number of refusals a second that the upstream bears.
	PerSecond float64       `cbor:"2,keyasint,omitempty"`
	Sound     bool          `cbor:"3,keyasint,omitempty"` // Sound reports that it is not brittle.
	Age       time.Duration `cbor:"4,keyasint"`           // Age is the time since the statement.
}

// tellBrittle queues the statement of an upstream for other hosts; p.mu is held.
func (p *Placer) tellBrittle(instance string) {
	if p.brittle.queued == nil {
		p.brittle.queued = make(map[string]bool)
	}
	p.brittle.queued[instance] = true
	if p.opts.OnLending != nil {
		p.opts.OnLending()
	}
}

// TakeBrittleNews returns the statements that this host has learned of since the last call, for the other hosts.
func (p *Placer) TakeBrittleNews(now time.Time) []BrittleNews {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.brittle.queued) == 0 {
		return nil
	}
	news := p.brittleNews(now, func(instance string) bool { return p.brittle.queued[instance] })
	p.brittle.queued = nil
	return news
}

// BrittleNews returns the current statements of brittle upstreams, for hosts that may not know them.
func (p *Placer) BrittleNews(now time.Time) []BrittleNews {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.brittle.services) == 0 {
		return nil
	}
	return p.brittleNews(now, func(instance string) bool { return !p.marks[instance].brittle.sound })
}

func (p *Placer) brittleNews(now time.Time, tells func(instance string) bool) []BrittleNews {
	var out []BrittleNews
	for instance, k := range p.marks {
		if k.brittle.current(now) && tells(instance) {
			out = append(out, BrittleNews{Instance: instance, PerSecond: k.brittle.limit, Sound: k.brittle.sound, Age: now.Sub(k.brittle.at)})
		}
	}
	slices.SortFunc(out, func(a, b BrittleNews) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// MergeBrittle applies statements that another host has sent, and returns those that were news to this one.
func (p *Placer) MergeBrittle(now time.Time, news []BrittleNews) []BrittleNews {
	p.mu.Lock()
	defer p.mu.Unlock()
	var adopted []BrittleNews
	for _, n := range news {
		m := p.memberOf(n.Instance)
		if m == nil || n.Age < 0 || n.Age >= brittleTTL || !n.Sound && !(n.PerSecond >= 0 && n.PerSecond <= maxBrittleRate) {
			continue
		}
		k := p.markOf(m)
		s := brittleStatement{at: now.Add(-n.Age), sound: n.Sound, limit: n.PerSecond}
		same := k.brittle.current(now) && k.brittle.sound == s.sound && k.brittle.limit == s.limit
		least := k.brittle.at
		if same {
			least = least.Add(newerStatement)
		}
		if k.brittle.current(now) && !s.at.After(least) {
			continue
		}
		if !same {
			adopted = append(adopted, n)
		}
		if s.sound {
			p.setSound(now, m, k, s)
		} else {
			p.setBrittle(m, k, s)
		}
	}
	return adopted
}
