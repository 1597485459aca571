// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// Evidence is why an upstream gets no new requests for a backoff.
type Evidence string

// Values of Evidence.
const (
	EvidenceNone    Evidence = ""
	EvidenceSilence Evidence = "Silence" // EvidenceSilence means that requests in flight got no sign of activity.
	EvidenceConnect Evidence = "Connect" // EvidenceConnect means that no connection was established.
)

// maxSuspicionChanges bounds the changes that wait to be logged.
const maxSuspicionChanges = 64

// SuspicionChange says that an upstream became suspect, or answers again.
type SuspicionChange struct {
	Instance string
	Suspect  bool
	Evidence Evidence
	Silent   time.Duration // Silent is the time since its last sign of activity; 0 if there was none.
	InFlight int           // InFlight is the number of this host's requests there.
	Backoff  time.Duration // Backoff is how long it gets no new requests.
	Lasted   time.Duration // Lasted is how long it was suspect, if it answers again.
}

// markSuspect starts a backoff of an upstream.
func (p *Placer) markSuspect(now time.Time, t *target, why Evidence) {
	rate := t.failureRate
	t.markUnreachable(now)
	if t.evidence != EvidenceNone {
		return
	}
	t.evidence, t.suspectedAt, t.rateBefore = why, now, rate
	c := SuspicionChange{Instance: t.instance, Suspect: true, Evidence: why, InFlight: len(t.tickets), Backoff: t.backoff}
	if !t.lastActivity.IsZero() {
		c.Silent = now.Sub(t.lastActivity)
	}
	p.noteSuspicion(c)
}

// answersAgain ends the suspicion of an upstream.
func (p *Placer) answersAgain(now time.Time, t *target) {
	if t.evidence == EvidenceNone {
		return
	}
	p.noteSuspicion(SuspicionChange{Instance: t.instance, Evidence: t.evidence, InFlight: len(t.tickets), Lasted: now.Sub(t.suspectedAt)})
	t.evidence = EvidenceNone
}

func (p *Placer) noteSuspicion(c SuspicionChange) {
	if c.Suspect {
		p.suspicions++
	}
	if len(p.suspicionChanges) < maxSuspicionChanges {
		p.suspicionChanges = append(p.suspicionChanges, c)
	}
}

// TakeSuspicionChanges returns which upstreams became suspect or answer again since the last call.
func (p *Placer) TakeSuspicionChanges() []SuspicionChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := p.suspicionChanges
	p.suspicionChanges = nil
	return changes
}

// Suspicions returns how often an upstream became suspect.
func (p *Placer) Suspicions() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.suspicions
}
