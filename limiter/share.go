// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package limiter

import (
	"math"
	"sort"
	"time"
)

// Demand is a host's request for shares of the limits over all hosts, with the
// shares that it holds.
type Demand struct {
	Sequence   uint64
	Workspaces []WorkspaceDemand
}

// WorkspaceDemand is the demand for one workspace.
type WorkspaceDemand struct {
	Workspace string
	Rate      float64 // Rate is in requests per second.
	Granted   float64 // Granted is the share of the limit that the host holds, from 0 to 1.
}

// Grants is the reply to a Demand.
type Grants struct {
	Sequence uint64 // Sequence is that of the demand.
	Epoch    uint64 // Epoch is that of the granting host's lease.
	Shares   []WorkspaceGrant
}

// WorkspaceGrant is the share of one workspace's limit granted to a host.
type WorkspaceGrant struct {
	Workspace string
	Share     float64 // Share is from 0 to 1.
}

// Reserve is the part of each limit that is never granted but divided evenly among
// the hosts, so that a host without a grant can admit requests.
const Reserve = 0.2

// Floor returns the share of a limit that a host may use without a grant.
func Floor(hosts int) float64 { return Reserve / float64(max(hosts, 1)) }

// Divider grants shares of limits to hosts in proportion to their demand, in total
// never more than the limit. It is a state machine without clock or I/O, run by
// the host that holds the lease.
type Divider struct {
	ttl        time.Duration // ttl is the lifetime of a grant.
	since      time.Time     // since is when this divider started.
	epoch      uint64
	allotments map[string]map[string]allotment // allotments is keyed by workspace, then host.
}

// allotment is the share of one workspace's limit that a host may be using.
type allotment struct {
	share float64
	rate  float64
	until time.Time
}

// NewDivider returns a Divider that starts at now under the lease of the given
// epoch; its grants are valid for ttl. Until ttl has passed it grants a host no more
// than it already holds, as grants of the previous divider can still be valid.
func NewDivider(now time.Time, epoch uint64, ttl time.Duration) *Divider {
	return &Divider{ttl: ttl, since: now, epoch: epoch, allotments: make(map[string]map[string]allotment)}
}

// Epoch returns the epoch of the lease under which d grants shares.
func (d *Divider) Epoch() uint64 { return d.epoch }

// Grant returns the shares granted to a host in reply to its demand.
func (d *Divider) Grant(now time.Time, host string, dem Demand) Grants {
	g := Grants{Sequence: dem.Sequence, Epoch: d.epoch}
	for _, w := range dem.Workspaces {
		g.Shares = append(g.Shares, WorkspaceGrant{Workspace: w.Workspace, Share: d.grant(now, host, w)})
	}
	return g
}

func (d *Divider) grant(now time.Time, host string, w WorkspaceDemand) float64 {
	hosts := d.allotments[w.Workspace]
	if hosts == nil {
		hosts = make(map[string]allotment)
		d.allotments[w.Workspace] = hosts
	}
	var others, rates float64
	for h, a := range hosts {
		if now.After(a.until) {
			delete(hosts, h)
			continue
		}
		if h != host {
			others += a.share
			rates += a.rate
		}
	}
	target := 1 - Reserve
	if rates+w.Rate > 0 {
		target *= w.Rate / (rates + w.Rate)
	}
	if now.Sub(d.since) < d.ttl {
		target = min(target, w.Granted)
	}
	share := max(0, min(target, 1-Reserve-others))
	// The reply can be lost, so the host may go on using the share it holds.
	hosts[host] = allotment{share: max(share, w.Granted), rate: w.Rate, until: now.Add(d.ttl)}
	return share
}

// Outstanding returns the sum of the unexpired shares of a workspace.
func (d *Divider) Outstanding(now time.Time, workspace string) float64 {
	var sum float64
	for _, a := range d.allotments[workspace] {
		if !now.After(a.until) {
			sum += a.share
		}
	}
	return sum
}

// Shares tracks the shares granted to one host. It is a state machine without
// clock or I/O.
type Shares struct {
	ttl      time.Duration
	sequence uint64
	latest   uint64               // latest is the sequence of the newest demand answered.
	sentAt   map[uint64]time.Time // sentAt has the times of unanswered demands, by sequence.
	grants   map[string]heldGrant
	rates    map[string]float64
}

type heldGrant struct {
	share float64
	until time.Time
}

// NewShares returns a Shares without grants. ttl must be that of the Divider.
func NewShares(ttl time.Duration) *Shares {
	return &Shares{ttl: ttl, sentAt: make(map[uint64]time.Time), grants: make(map[string]heldGrant), rates: make(map[string]float64)}
}

// rateSmoothing is the weight of the newest sample in the moving average of a rate.
const rateSmoothing = 0.5

// minRate, in requests per second, is the rate below which a workspace is idle.
const minRate = 0.05

// Demand returns the next demand to send. usage is that of the last interval.
func (s *Shares) Demand(now time.Time, usage []Usage, interval time.Duration) Demand {
	for w := range s.rates {
		s.rates[w] *= 1 - rateSmoothing
	}
	for _, u := range usage {
		s.rates[u.Workspace] += rateSmoothing * u.Requests / interval.Seconds()
	}
	s.sequence++
	for q, at := range s.sentAt {
		if now.Sub(at) > s.ttl {
			delete(s.sentAt, q)
		}
	}
	s.sentAt[s.sequence] = now
	dem := Demand{Sequence: s.sequence}
	for w, rate := range s.rates {
		if rate < minRate {
			delete(s.rates, w)
			continue
		}
		dem.Workspaces = append(dem.Workspaces, WorkspaceDemand{Workspace: w, Rate: rate, Granted: s.granted(now, w)})
	}
	sort.Slice(dem.Workspaces, func(i, j int) bool { return dem.Workspaces[i].Workspace < dem.Workspaces[j].Workspace })
	return dem
}

// Apply applies a reply and returns the workspaces whose shares it sets. Grants are
// valid from the time of their demand, so that they expire here before the divider
// grants them to another host.
func (s *Shares) Apply(g Grants) []string {
	at, ok := s.sentAt[g.Sequence]
	if !ok {
		return nil
	}
	delete(s.sentAt, g.Sequence)
	if g.Sequence < s.latest {
		return nil // a newer reply has been applied
	}
	s.latest = g.Sequence
	var changed []string
	for _, w := range g.Shares {
		s.grants[w.Workspace] = heldGrant{share: w.Share, until: at.Add(s.ttl)}
		changed = append(changed, w.Workspace)
	}
	return changed
}

func (s *Shares) granted(now time.Time, workspace string) float64 {
	g := s.grants[workspace]
	if now.After(g.until) {
		return 0
	}
	return g.share
}

// Share returns the share of a workspace's limit that this host may use at now.
func (s *Shares) Share(now time.Time, workspace string, hosts int) float64 {
	return Floor(hosts) + s.granted(now, workspace)
}

// Expired removes expired grants and returns their workspaces.
func (s *Shares) Expired(now time.Time) []string {
	var out []string
	for w, g := range s.grants {
		if now.After(g.until) {
			delete(s.grants, w)
			out = append(out, w)
		}
	}
	return out
}

// Local returns a host's share of a limit; Burst and Concurrency are at least 1.
func Local(total Limit, share float64) Limit {
	return Limit{
		Rate:        total.Rate * share,
		Burst:       math.Max(1, total.Burst*share),
		Concurrency: math.Max(1, math.Ceil(total.Concurrency*share)),
	}
}
