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

// admissionCase is what is under way at engines, and what comes of a request.
type admissionCase struct {
	Name    string
	Engines [][3]int // Engines has for each the requests, the tokens to be read and the memory.
	Resting bool     // Resting tells that the engines could not be reached lately.
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
				tg := p.targets[fmt.Sprint("e", i)]
				tg.peers = Work{Requests: w[0], Pending: w[1], Memory: w[2]}
				if c.Resting {
					tg.unreached(start)
				}
			}
			ask := askFor("x", "own")
			ask.Prompt.Output = 20
			_, verdict := p.Choose(start, ask)
			assert.Equal(t, verdict, c.Want)
		})
	}
}

// TestEndsGiveRoom: each end of a request tells that there is room again.
func TestEndsGiveRoom(t *testing.T) {
	eased := 0
	p := New(Options{Eased: func() { eased++ }})
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
