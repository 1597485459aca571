// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"time"

	"amaranthgate.example/amaranthgate/lender"
	"amaranthgate.example/amaranthgate/updater"
)

// Dump is the state of a Placer for inspection.
type Dump struct {
	Upstreams map[string]UpstreamDump
	Stores    map[string]StoreDump // Stores is keyed by address.
	CutOff    bool                 // CutOff reports that nothing counts against upstreams, as SetCutOff says.
}

// UpstreamDump is the state of an upstream in a Dump.
type UpstreamDump struct {
	Own        Work
	Others     Work
	Failing    float64 // Failing is the smoothed failure rate.
	Suspect    bool
	Evidence   Evidence      // Evidence is set from a failure until the upstream answers.
	SuspectFor time.Duration // SuspectFor is the age of Evidence.
	Silent     time.Duration // Silent is the time since its last sign of activity; 0 if there was none.
	Renewing   updater.Phase // Renewing is empty for engines that are not about to load weights.
	KeptParts  int
	KeptTokens int
	Slowness   float64   // Slowness is the ratio of observed to estimated time.
	ColdUntil  time.Time // ColdUntil is until when the rate limit of cold upstreams applies.
	RestUntil  time.Time // RestUntil is until when it wants no requests from this host.
	StatedPace float64   // StatedPace is the factor by which work takes longer than usual, as the upstream stated.
	Hidden     int       // Hidden is the number of requests that the upstream stated and no host has reported.
	// BrittleLimit is the number of refusals a second beyond which the upstream ends; nil if it is not brittle.
	BrittleLimit *float64
	Slots        *lender.Dump // Slots is how its slots are divided while it is brittle; nil if they are not.
	Leaving      bool         // Leaving reports that it has said in an answer that it is leaving.
}

// StoreDump is the state of a KV cache store in a Dump.
type StoreDump struct {
	Up         bool
	Parts      int
	Tokens     int
	Capacity   int
	Slowness   float64 // Slowness is the ratio of observed to configured transfer time.
	Transfers  int
	InTransfer int // InTransfer is the number of tokens in flight.
}

// Dump returns the current state.
func (p *Placer) Dump(now time.Time) Dump {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := Dump{CutOff: p.cut.off, Upstreams: make(map[string]UpstreamDump), Stores: make(map[string]StoreDump)}
	for id, t := range p.targets {
		u := UpstreamDump{
			Own: t.own, Others: t.peers, Failing: t.failureRate, Suspect: t.suspect(now), Renewing: t.phase,
			KeptParts: len(t.cache.parts), KeptTokens: t.cache.tokens,
			Slowness: t.slowness.factor(now), ColdUntil: p.coldUntil(t), Leaving: t.leaving(), RestUntil: t.restUntil(),
			StatedPace: t.stated.Pace(now), Hidden: t.stated.Hidden(now, p.oldestReport()),
			Evidence: t.evidence, BrittleLimit: p.dumpBrittle(now, t.member),
			Slots: p.brittle.lender.Dump(now, t.instance),
		}
		if t.evidence != EvidenceNone {
			u.SuspectFor = now.Sub(t.suspectedAt)
		}
		if !t.lastActivity.IsZero() {
			u.Silent = now.Sub(t.lastActivity)
		}
		d.Upstreams[id] = u
	}
	for address, st := range p.stores {
		d.Stores[address] = StoreDump{
			Up: st.up, Parts: len(st.held), Tokens: st.used, Capacity: st.service.CapacityTokens,
			Slowness:  st.pace.factor(now),
			Transfers: st.own.Requests + st.peers.Requests, InTransfer: st.own.Pending + st.peers.Pending,
		}
	}
	return d
}
