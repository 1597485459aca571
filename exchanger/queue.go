// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"math"
	"strconv"
	"time"

	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/scheduler"
)

// rankFactor is the ratio of the queue weights of a rank and the next less urgent one,
// which is therefore slowed but not starved. The more urgent one is held up only when it
// asks for more than four fifths of all engines by itself.
const rankFactor = 4

// class returns the name of the request's class. A workspace's rank overrides the route's.
func (e *exchange) class() string { return strconv.Itoa(e.rank()) + "/" + e.route.Name }

// queueItem returns the queue item of the request.
func (e *exchange) queueItem(ask *placer.PlacementRequest) *scheduler.Item {
	it := &scheduler.Item{
		Class:           e.class(),
		ClassWeight:     math.Pow(rankFactor, -float64(e.rank())),
		Rank:            e.rank(),
		WorkspaceWeight: 1,
		Cost:            1,
		Latest:          e.latestStart(),
		Group:           e.service,
		Entered:         e.opts.Timer.Now(),
		First:           e.first,
		Rate:            func() (float64, bool) { return e.opts.Placer.LimitedRate(e.opts.Timer.Now(), ask) },
	}
	if e.workspace != nil {
		it.Workspace = e.workspace.Name
	}
	if ask.Prompt == nil {
		return it
	}
	it.Cost = float64(ask.Prompt.Tokens() + ask.Prompt.Output)
	least := placer.MinFirstTokenTime(ask.Prompt)
	it.Latest = e.deadline.Add(-least)
	if e.route.Objective > 0 {
		it.Due, it.Lead = e.first.Add(e.route.Objective-least), least
	}
	return it
}

// Wake admits waiting requests for which upstreams have room. It must be called when
// an upstream gets more room, and periodically.
func (x *Exchanger) Wake(now time.Time) { x.gate.Wake(now) }

// Waiting returns the number of requests waiting for an upstream.
func (x *Exchanger) Waiting() int { return x.gate.Waiting() }

// Close refuses all waiting requests, and later ones that would have to wait, as not
// run.
func (x *Exchanger) Close() {
	x.closed.Store(true)
	x.gate.Close()
}
