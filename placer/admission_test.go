// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// admissionCase is the load of the engines and the expected verdict for a request.
type admissionCase struct {
	Name    string
	Engines [][3]int // Engines has for each the requests, the tokens to prefill and the memory.
	Tokens  int      // Tokens is the length of the prompt; 0 for 16,800.
	Resting bool     // Resting reports that the engines are in backoff.
	Want    Verdict
}

func TestAdmission(t *testing.T) {
	text, err := os.ReadFile("testdata/admission.jsonc")
	assert.NilError(t, err)
	var cases []admissionCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			p := testPlacer(testView(len(c.Engines), 1))
			for i, w := range c.Engines {
				tg := p.targetByInstance(fmt.Sprint("e", i))
				tg.peers = Work{Requests: w[0], Pending: w[1], Memory: w[2]}
				if c.Resting {
					tg.markUnreachable(start)
				}
			}
			req := askFor("x", "own")
			if c.Tokens > 0 {
				req.Prompt.Parts[0].Tokens = c.Tokens - req.Prompt.Parts[1].Tokens
			}
			_, verdict := p.Choose(start, req)
			assert.Equal(t, verdict, c.Want)
		})
	}
}

// TestFits checks that a prompt does not fit only if it exceeds the memory of every engine.
func TestFits(t *testing.T) {
	p := testPlacer(testView(2, 1))
	assert.Assert(t, p.Fits("engines", &Prompt{Parts: []Part{{"x", 50000}, {"y", 10000}}}))
	assert.Assert(t, !p.Fits("engines", &Prompt{Parts: []Part{{"x", 50000}, {"y", 10001}}}))
	assert.Assert(t, p.Fits("nobody", &Prompt{Parts: []Part{{"x", 99999}}}))
}

// TestEndOfRequestNotifiesRoom checks that the first token and the end of a request both call
// OnRoom.
func TestEndOfRequestNotifiesRoom(t *testing.T) {
	eased := 0
	p := New(Options{OnRoom: func() { eased++ }})
	p.Update(testView(1, 1))
	var last Choice
	for {
		c, verdict := p.Choose(start, askFor(fmt.Sprint("shared", last.Basis.Work.Requests), "own"))
		if verdict == Busy {
			break
		}
		last = c
	}
	before := eased
	last.Ticket.First(start.Add(time.Second))
	last.Ticket.Done(start.Add(2*time.Second), ResultServed)
	assert.Equal(t, eased, before+2)
}

// TestContendersTakeTurns checks that hosts with waiting requests do not use the same free memory
// of an engine at once, and that a host without contenders does not wait.
func TestContendersTakeTurns(t *testing.T) {
	hosts := []string{"a", "b", "c", "d"}
	placers := make(map[string]*Placer)
	for _, h := range hosts {
		p := New(Options{Host: h, Waiting: func() int { return 1 }})
		p.Update(testView(1, 1))
		placers[h] = p
	}
	full := map[string]Work{"e0": {Requests: 4, Memory: 59000}}
	room := map[string]Work{"e0": {Requests: 2, Memory: 30000}} // for one more request
	for _, p := range placers {
		for _, h := range hosts {
			if p.opts.Host != h {
				p.ApplyReport(start, h, Report{Work: map[string]Work{}, Waiting: 1})
			}
		}
		p.ApplyReport(start, "x", Report{Work: full})
		p.ApplyReport(start.Add(time.Second), "x", Report{Work: room})
	}
	chosen := 0
	for at := time.Duration(0); at < 50*time.Millisecond; at += turnInterval {
		now := start.Add(time.Second + at)
		for _, p := range placers {
			if _, verdict := p.Choose(now, askFor("x", "own")); verdict == Chosen {
				chosen++
			}
		}
		for _, h := range hosts { // reports arrive before the next turn
			r := placers[h].Report()
			for _, p := range placers {
				if p.opts.Host != h {
					p.ApplyReport(now, h, r)
				}
			}
		}
	}
	assert.Equal(t, chosen, 1)

	alone := New(Options{Host: "d"})
	alone.Update(testView(1, 1))
	alone.ApplyReport(start, "x", Report{Work: full})
	alone.ApplyReport(start.Add(time.Second), "x", Report{Work: room})
	_, verdict := alone.Choose(start.Add(time.Second), askFor("x", "own"))
	assert.Equal(t, verdict, Chosen)
}
