// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"math"
	"time"
)

// Figures of transfers from stores.
const (
	// paceWeight follows a store that turns slow within a few transfers; all hosts
	// tell each other theirs, some ten a second.
	paceWeight = 0.3
	// paceForget is the time in which half of what was learned is forgotten, since
	// a store that looks slow is asked less, and would look slow for ever.
	paceForget = 3 * time.Second
	// farFactor is how much longer transfers between availability zones take.
	farFactor = 2
	// fetchPatience is how much longer than reading a transfer may take. Reading a
	// part again costs the engine's other requests as well, and more than an answer
	// that is a little late.
	fetchPatience = 2.4
	fetchGrace    = 20 * time.Millisecond
	// fetchShare is the share of a request's objective that a transfer may take at least.
	// By the time of reading alone, parts of 1,500 tokens were read again whenever
	// their store had 0.1 s to wait: 0.82 M tokens in 34 s before 18 engines, against
	// 0.45 M with this share (means of three runs). A share of 0.8 has 0.27 M, but more
	// late answers where a store is slow.
	fetchShare = 0.5
	// firstToken is what a request takes at an idle engine besides reading and
	// transfers.
	firstToken = 25 * time.Millisecond
	// readSlack is how many tenths of the estimated reading are taken off a timed
	// transfer, so that slower reading is not taken for a slow store.
	readSlack = 15
	// timedTokens is the least transfer that is timed: 10 ms and more, which stand
	// out from the steps of an engine.
	timedTokens = 4000
	// quietPending is the number of tokens that may wait at an engine for a
	// transfer to be timed.
	quietPending = 300
)

// Transfer is one timed transfer from a store.
type Transfer struct {
	Store  string        `cbor:"1,keyasint"`
	Tokens int           `cbor:"2,keyasint"` // Tokens were sent, those that waited before it included.
	Took   time.Duration `cbor:"3,keyasint"`
}

// pace is the time that a store takes for a token within an availability zone.
type pace struct {
	nominal float64 // nominal is the configured time, in nanoseconds.
	learned float64 // learned is the logarithm of how many times slower it is.
	at      time.Time
}

func (c *pace) factor(now time.Time) float64 {
	age := now.Sub(c.at).Seconds() / paceForget.Seconds()
	return math.Exp(c.learned * math.Pow(0.5, age))
}

func (c *pace) perToken(now time.Time) time.Duration {
	return time.Duration(c.nominal * c.factor(now))
}

// learn takes in a timed transfer.
func (c *pace) learn(now time.Time, t Transfer) {
	if t.Tokens <= 0 || c.nominal <= 0 {
		return
	}
	seen := math.Log(max(1, float64(t.Took)/float64(t.Tokens)/c.nominal))
	had := math.Log(c.factor(now))
	c.learned = had + paceWeight*(seen-had)
	c.at = now
}

// fetchTime estimates the transfer of a part from a store to an engine, behind
// those that are under way.
func (st *store) fetchTime(now time.Time, t *target, tokens int) time.Duration {
	far := 1
	if st.service.AvailabilityZone != t.upstream.AvailabilityZone {
		far = farFactor
	}
	waiting := st.own.Pending + st.peers.Pending
	return transferFixed + st.service.FirstDelay + time.Duration(waiting+far*tokens)*st.pace.perToken(now)
}

// worthFetching tells whether a transfer is better than reading.
func worthFetching(transfer time.Duration, tokens int, objective time.Duration) bool {
	patience := fetchPatience*float64(readTime(tokens)) + float64(fetchGrace)
	return float64(transfer) < max(patience, fetchShare*float64(objective))
}

// timed learns from a request whose first token has come, if its engine had
// nothing else to do.
func (p *Placer) timed(now time.Time, tk *Ticket) {
	if tk.store == nil || !tk.quiet || tk.moved.Pending < timedTokens {
		return
	}
	tr := Transfer{
		Store:  tk.store.service.Address,
		Tokens: tk.queued,
		Took:   max(0, now.Sub(tk.start)-firstToken-readSlack*readTime(tk.missing)/10),
	}
	tk.store.pace.learn(now, tr)
	if len(p.transfers) < maxPlaced {
		p.transfers = append(p.transfers, tr)
	}
}
