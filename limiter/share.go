// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package limiter

import (
	"math"
	"sort"
	"time"
)

// Demand is what one host needs of limits that hold over all hosts, and what
// it believes to have been granted.
type Demand struct {
	Sequence   uint64
	Workspaces []WorkspaceDemand
}

// WorkspaceDemand is one workspace's part of a demand.
type WorkspaceDemand struct {
	Workspace string
	Rate      float64 // Rate is the wanted rate, in requests per second.
	Granted   float64 // Granted is the share of the limit that the host holds now, from 0 to 1.
}

// Grants answer a demand.
type Grants struct {
	Sequence uint64 // Sequence is that of the demand.
	Epoch    uint64 // Epoch is of the granting host's lease.
	Shares   []WorkspaceGrant
}

// WorkspaceGrant is the share of one workspace's limit for one host.
type WorkspaceGrant struct {
	Workspace string
	Share     float64 // Share is from 0 to 1.
}

// Reserve is the part of each limit that is never granted but split evenly
// over all hosts: what a host may use that has no grant.
const Reserve = 0.2

// Floor returns the share that a host may use without a grant.
func Floor(hosts int) float64 { return Reserve / float64(max(hosts, 1)) }

// Divider is the granting side: it moves shares to where the demand is without
// ever granting more than the whole. It is a state machine without clock or
// I/O, held by the host with the lease.
type Divider struct {
	life  time.Duration // life is how long a grant holds.
	since time.Time     // since is when this divider began.
	epoch uint64
	table map[string]map[string]allotment // table is by workspace, then host.
}

type allotment struct {
	share float64
	rate  float64
	until time.Time
}

// NewDivider returns a divider that begins at now. In its first life it grants
// no more than hosts say they hold, because grants of the divider before it may
// still be out.
func NewDivider(now time.Time, epoch uint64, life time.Duration) *Divider {
	return &Divider{life: life, since: now, epoch: epoch, table: make(map[string]map[string]allotment)}
}

// Epoch returns the epoch of the lease under which d grants.
func (d *Divider) Epoch() uint64 { return d.epoch }

// Grant answers a host's demand.
func (d *Divider) Grant(now time.Time, host string, dem Demand) Grants {
	g := Grants{Sequence: dem.Sequence, Epoch: d.epoch}
	for _, w := range dem.Workspaces {
		g.Shares = append(g.Shares, WorkspaceGrant{Workspace: w.Workspace, Share: d.grant(now, host, w)})
	}
	return g
}

func (d *Divider) grant(now time.Time, host string, w WorkspaceDemand) float64 {
	hosts := d.table[w.Workspace]
	if hosts == nil {
		hosts = make(map[string]allotment)
		d.table[w.Workspace] = hosts
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
	if now.Sub(d.since) < d.life {
		target = min(target, w.Granted)
	}
	share := max(0, min(target, 1-Reserve-others))
	// Until the host asks again it is not known whether it has got this answer;
	// it may still use what it says it holds.
	hosts[host] = allotment{share: max(share, w.Granted), rate: w.Rate, until: now.Add(d.life)}
	return share
}

// Outstanding returns the sum of the shares of a workspace that may be in use.
func (d *Divider) Outstanding(now time.Time, workspace string) float64 {
	var sum float64
	for _, a := range d.table[workspace] {
		if !now.After(a.until) {
			sum += a.share
		}
	}
	return sum
}

// Shares is the using side of one host. It is a state machine without clock or
// I/O.
type Shares struct {
	life     time.Duration
	sequence uint64
	taken    uint64 // taken is the newest demand that was answered.
	asked    map[uint64]time.Time
	grants   map[string]heldGrant
	rates    map[string]float64
}

type heldGrant struct {
	share float64
	until time.Time
}

// NewShares returns the using side with grants that hold as long as the
// divider's.
func NewShares(life time.Duration) *Shares {
	return &Shares{life: life, asked: make(map[uint64]time.Time), grants: make(map[string]heldGrant), rates: make(map[string]float64)}
}

// rateGain is the weight of the newest reading in the mean rate.
const rateGain = 0.5

// leastRate is the rate below which a workspace counts as idle at a host.
const leastRate = 0.05

// Demand returns what to ask for, from the usage since the last call.
func (s *Shares) Demand(now time.Time, usage []Usage, interval time.Duration) Demand {
	for w := range s.rates {
		s.rates[w] *= 1 - rateGain
	}
	for _, u := range usage {
		s.rates[u.Workspace] += rateGain * u.Requests / interval.Seconds()
	}
	s.sequence++
	for q, at := range s.asked {
		if now.Sub(at) > s.life {
			delete(s.asked, q)
		}
	}
	s.asked[s.sequence] = now
	dem := Demand{Sequence: s.sequence}
	for w, rate := range s.rates {
		if rate < leastRate {
			delete(s.rates, w)
			continue
		}
		dem.Workspaces = append(dem.Workspaces, WorkspaceDemand{Workspace: w, Rate: rate, Granted: s.granted(now, w)})
	}
	sort.Slice(dem.Workspaces, func(i, j int) bool { return dem.Workspaces[i].Workspace < dem.Workspaces[j].Workspace })
	return dem
}

// Take takes an answer. Grants count from the moment of their demand, so that
// they end here before the divider gives them to somebody else.
func (s *Shares) Take(g Grants) []string {
	at, ok := s.asked[g.Sequence]
	if !ok {
		return nil
	}
	delete(s.asked, g.Sequence)
	if g.Sequence < s.taken {
		return nil // a newer answer came first
	}
	s.taken = g.Sequence
	var changed []string
	for _, w := range g.Shares {
		s.grants[w.Workspace] = heldGrant{share: w.Share, until: at.Add(s.life)}
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

// Share returns the part of a workspace's limit that this host may use now.
func (s *Shares) Share(now time.Time, workspace string, hosts int) float64 {
	return Floor(hosts) + s.granted(now, workspace)
}

// Expired returns the workspaces whose grants have ended since the last call.
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

// Local returns the limit of one host for its share of a workspace's limit.
func Local(whole Limit, share float64) Limit {
	return Limit{
		Rate:        whole.Rate * share,
		Burst:       math.Max(1, whole.Burst*share),
		Concurrency: math.Max(1, math.Ceil(whole.Concurrency*share)),
	}
}
