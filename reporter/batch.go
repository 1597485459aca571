// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package reporter

import (
	"sort"
	"time"

	"amaranthgate.example/amaranthgate/replayer"
)

// StreamName is the name of the reports' stream in the log.
const StreamName = "Reports"

// KindBatch is the kind of the entries of the reports' stream.
const KindBatch replayer.Kind = "Batch"

// Outcome is the result of one request.
type Outcome struct {
	Workspace  string
	Class      string
	Reason     string // Reason is empty for answered requests.
	Ran        string // Ran is No, Unknown or Yes.
	OnTime     bool   // OnTime reports whether the answer met the deadline.
	FirstToken time.Duration
	Took       time.Duration
	Prompt     int // Prompt is the number of prompt tokens.
	Cached     int // Cached is the number of prompt tokens read from the KV cache.
	Tokens     int
	Once       *OnceLine // Once is set for requests that may run only once.
}

// OnceLine is a report's record of one request that may run only once.
type OnceLine struct {
	RequestID string
	Workspace string
	Key       string // Key is the hexadecimal digest of workspace and idempotency key.
	Reason    string
	Ran       string
	At        time.Time
}

// Counts holds the counters of one workspace and class. Times are counted in
// histogram buckets with the upper bounds Bounds.
type Counts struct {
	Answered   uint64
	OnTime     uint64
	Unknown    uint64            // Unknown counts requests that may have run.
	Refused    map[string]uint64 // Refused counts rejected requests by reason.
	Prompt     uint64
	Cached     uint64
	Tokens     uint64
	FirstToken []uint64 // FirstToken counts times to first token by bucket.
}

// Bounds are the upper bounds of the histogram buckets; another bucket counts longer
// times.
var Bounds = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 390 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

func bucket(d time.Duration) int {
	return sort.Search(len(Bounds), func(i int) bool { return d <= Bounds[i] })
}

func (c *Counts) record(o Outcome) {
	switch {
	case o.Reason == "":
		c.Answered++
		if o.OnTime {
			c.OnTime++
		}
		if c.FirstToken == nil {
			c.FirstToken = make([]uint64, len(Bounds)+1)
		}
		c.FirstToken[bucket(o.FirstToken)]++
	default:
		if c.Refused == nil {
			c.Refused = make(map[string]uint64)
		}
		c.Refused[o.Reason]++
	}
	if o.Ran == "Unknown" {
		c.Unknown++
	}
	c.Prompt += uint64(o.Prompt)
	c.Cached += uint64(o.Cached)
	c.Tokens += uint64(o.Tokens)
}

func (c *Counts) add(o Counts) {
	c.Answered += o.Answered
	c.OnTime += o.OnTime
	c.Unknown += o.Unknown
	c.Prompt += o.Prompt
	c.Cached += o.Cached
	c.Tokens += o.Tokens
	for r, v := range o.Refused {
		if c.Refused == nil {
			c.Refused = make(map[string]uint64)
		}
		c.Refused[r] += v
	}
	if len(o.FirstToken) == len(Bounds)+1 {
		if c.FirstToken == nil {
			c.FirstToken = make([]uint64, len(Bounds)+1)
		}
		for i, v := range o.FirstToken {
			c.FirstToken[i] += v
		}
	}
}

// Quantile returns an upper bound of a quantile of the time to first token, or the
// last of Bounds if the quantile exceeds it. It returns false if no request was
// answered.
func (c *Counts) Quantile(q float64) (time.Duration, bool) {
	var total, sum uint64
	for _, v := range c.FirstToken {
		total += v
	}
	if total == 0 {
		return 0, false
	}
	for i, v := range c.FirstToken {
		sum += v
		if float64(sum) >= q*float64(total) && i < len(Bounds) {
			return Bounds[i], true
		}
	}
	return Bounds[len(Bounds)-1], true
}

// Group identifies the requests that are counted together.
type Group struct {
	Workspace string
	Class     string
}

// Line holds the counters of one group.
type Line struct {
	Group
	Counts
}

// Batch is the entry that a host appends periodically.
type Batch struct {
	Number uint64 // Number counts the batches of a writer from 1.
	From   time.Time
	To     time.Time
	Lines  []Line
	Once   []OnceLine
	Lost   uint64 // Lost counts outcomes that this host could not buffer.
}

// maxPendingOnceLines limits the lines that are buffered until the next flush.
const maxPendingOnceLines = 4096

// Gatherer collects outcomes for the next batch. It is not safe for concurrent use.
type Gatherer struct {
	number uint64
	from   time.Time
	groups map[Group]*Counts
	once   []OnceLine
	lost   uint64
}

// NewGatherer returns a gatherer whose first batch starts at now.
func NewGatherer(now time.Time) *Gatherer {
	return &Gatherer{from: now, groups: make(map[Group]*Counts)}
}

// Record adds an outcome.
func (g *Gatherer) Record(o Outcome) {
	key := Group{Workspace: o.Workspace, Class: o.Class}
	c := g.groups[key]
	if c == nil {
		c = &Counts{}
		g.groups[key] = c
	}
	c.record(o)
	if o.Once == nil {
		return
	}
	if len(g.once) >= maxPendingOnceLines {
		g.lost++
		return
	}
	g.once = append(g.once, *o.Once)
}

// Flush returns the batch as an entry and starts the next one. It returns false if
// the batch is empty.
func (g *Gatherer) Flush(now time.Time) (replayer.Entry, bool) {
	if len(g.groups) == 0 && g.lost == 0 {
		return replayer.Entry{}, false
	}
	g.number++
	b := Batch{Number: g.number, From: g.from, To: now, Once: g.once, Lost: g.lost}
	for k, c := range g.groups {
		b.Lines = append(b.Lines, Line{Group: k, Counts: *c})
	}
	sort.Slice(b.Lines, func(i, j int) bool { return b.Lines[i].less(b.Lines[j].Group) })
	*g = Gatherer{number: g.number, from: now, groups: make(map[Group]*Counts)}
	return replayer.NewEntry(KindBatch, b), true
}

func (g Group) less(o Group) bool {
	if g.Workspace != o.Workspace {
		return g.Workspace < o.Workspace
	}
	return g.Class < o.Class
}
