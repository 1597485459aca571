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

// rankFactor is how many times the share of the next rank a rank gets while both wait.
// The more urgent one is then only held up when it asks for four fifths of all engines
// by itself, and the less urgent one never stands still.
const rankFactor = 4

// item is the request as it waits.
func (e *exchange) item(ask *placer.Ask) *scheduler.Item {
	it := &scheduler.Item{
		Class:           strconv.Itoa(e.rank()) + "/" + e.route.Name, // a workspace's rank goes before the route's
		ClassWeight:     math.Pow(rankFactor, -float64(e.rank())),
		Rank:            e.rank(),
		WorkspaceWeight: 1,
		Cost:            1,
		Latest:          e.end,
	}
	if e.workspace != nil {
		it.Workspace = e.workspace.Name
	}
	if ask.Prompt == nil {
		return it
	}
	it.Cost = float64(ask.Prompt.Tokens() + ask.Prompt.Output)
	least := placer.LeastTime(ask.Prompt)
	it.Latest = e.end.Add(-least)
	if e.route.Objective > 0 {
		it.Due = e.request.Start.Add(e.route.Objective - least)
	}
	return it
}

// Wake looks whether upstreams can begin requests that wait: after one had more room,
// and from time to time.
func (x *Exchanger) Wake(now time.Time) { x.gate.Wake(now) }

// Waiting returns the number of requests that wait for an upstream.
func (x *Exchanger) Waiting() int { return x.gate.Waiting() }

// Close refuses all requests that wait, as not run, and from now on those that would
// have to.
func (x *Exchanger) Close() { x.gate.Close() }
