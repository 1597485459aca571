// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"math"
	"time"
)

// Parameters of transfers from stores.
const (
	// storeSampleWeight is the smoothing weight of a timed transfer. It follows a store that turns
	// slow within a few transfers, since hosts exchange theirs.
	storeSampleWeight = 0.3
	// storeHalfLife is the time in which what was learned decays to half, so that a store that
	// looked slow gets requests again.
	storeHalfLife = 3 * time.Second
	// crossZoneFactor is the cost factor of transfers between availability zones.
	crossZoneFactor = 2
	// maxFetchFactor and fetchGrace bound a transfer by the time of prefilling the part instead.
	// The factor exceeds 1 because a prefill also delays the engine's other requests.
	maxFetchFactor = 2.4
	fetchGrace     = 20 * time.Millisecond
	// fetchObjectiveShare is the share of a request's objective that a transfer may always take. With
	// the bound by prefill time alone, parts of 1,500 tokens are prefilled again whenever their
	// store has a queue of 0.1 s.
	fetchObjectiveShare = 0.5
	// firstTokenTime is the time to the first token at an idle engine besides prefill and
	// transfers.
	firstTokenTime = 25 * time.Millisecond
	// prefillSlackTenths scales the estimated prefill that is subtracted from a timed transfer, in
	// tenths, so that a slow prefill is not taken for a slow store.
	prefillSlackTenths = 15
	// minTimedTokens is the shortest transfer that is timed; shorter ones do not stand out from an
	// engine's step time. Transfers of 4,000 tokens take 10 ms or more.
	minTimedTokens = 4000
	// maxIdlePending is the backlog up to which an engine counts as idle, in tokens.
	maxIdlePending = 300
)

// Transfer is a timed transfer from a store.
type Transfer struct {
	Store string `cbor:"1,keyasint"`
	// Tokens is the number of tokens sent, including those queued before the transfer.
	Tokens int           `cbor:"2,keyasint"`
	Took   time.Duration `cbor:"3,keyasint"`
}

// pace is a store's transfer time per token within an availability zone.
type pace struct {
	nominal float64 // nominal is the configured time, in nanoseconds.
	learned float64 // learned is the natural logarithm of the ratio of observed to configured time.
	at      time.Time
	// ratioAt and ratio are the last result of factor. A choice asks for it once for each engine.
	ratioAt time.Time
	ratio   float64
}

func (c *pace) factor(now time.Time) float64 {
	if c.ratio == 0 || !c.ratioAt.Equal(now) {
		age := now.Sub(c.at).Seconds() / storeHalfLife.Seconds()
		c.ratioAt, c.ratio = now, math.Exp(c.learned*math.Pow(0.5, age))
	}
	return c.ratio
}

func (c *pace) perToken(now time.Time) time.Duration {
	return time.Duration(c.nominal * c.factor(now))
}

// observe merges a timed transfer.
func (c *pace) observe(now time.Time, t Transfer) {
	if t.Tokens <= 0 || c.nominal <= 0 {
		return
	}
	observed := math.Log(max(1, float64(t.Took)/float64(t.Tokens)/c.nominal))
	prev := math.Log(c.factor(now))
	c.learned = prev + storeSampleWeight*(observed-prev)
	c.at, c.ratio = now, 0
}

// fetchTime estimates the transfer of a part from a store to an engine, queued behind those in
// flight.
func (st *store) fetchTime(now time.Time, t *target, tokens int) time.Duration {
	far := 1
	if st.service.AvailabilityZone != t.upstream.AvailabilityZone {
		far = crossZoneFactor
	}
	waiting := st.own.Pending + st.peers.Pending
	return transferOverhead + st.service.FirstDelay + time.Duration(waiting+far*tokens)*st.pace.perToken(now)
}

// worthFetching reports whether a transfer is better than a prefill.
func worthFetching(transfer time.Duration, tokens int, objective time.Duration) bool {
	limit := maxFetchFactor*float64(prefillTime(tokens)) + float64(fetchGrace)
	return float64(transfer) < max(limit, fetchObjectiveShare*float64(objective))
}

// observeTransfer learns from a request that fetched from a store, if its engine was otherwise
// idle.
func (p *Placer) observeTransfer(now time.Time, tk *Ticket) {
	if tk.store == nil || !tk.idle || tk.transfer.Pending < minTimedTokens {
		return
	}
	tr := Transfer{
		Store:  tk.store.service.Address,
		Tokens: tk.queuedTokens,
		Took:   max(0, now.Sub(tk.start)-firstTokenTime-prefillSlackTenths*prefillTime(tk.prefillTokens)/10),
	}
	tk.store.pace.observe(now, tr)
	if len(p.transfers) < maxQueuedReports {
		p.transfers = append(p.transfers, tr)
	}
}
