// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

type silenceCase struct {
	Name   string
	Steps  []string
	Silent []string
	Told   int
}

func TestSilence(t *testing.T) {
	text, err := os.ReadFile("testdata/silence.jsonc")
	assert.NilError(t, err)
	var cases []silenceCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { playSilence(t, c) })
	}
}

func playSilence(t *testing.T, c silenceCase) {
	p := testPlacer(testView(5, 1))
	engines := []string{"e0", "e1", "e2", "e3", "e4"}
	sent := make(map[string]*Ticket) // the newest request of each engine
	told := 0
	now := start
	for _, step := range c.Steps {
		fields := append(strings.Fields(step), "")
		at, err := time.ParseDuration(fields[0])
		assert.NilError(t, err)
		id := fields[2]
		if fields[1] != "stand" {
			for ; now.Before(start.Add(at)); now = now.Add(100 * time.Millisecond) {
				p.Watch(now)
			}
		}
		now = start.Add(at)
		switch fields[1] {
		case "send":
			others := slices.DeleteFunc(slices.Clone(engines), func(e string) bool { return e == id })
			choice, verdict := p.Choose(now, &Ask{Service: "engines", SaltOf: saltOf(""), Exclude: others, Prompt: &Prompt{Model: "m", Parts: []Part{{"x", 50}, {"y", 80}}}})
			assert.Equal(t, verdict, Chosen)
			choice.Ticket.OnSilent(func() { told++ })
			sent[id] = choice.Ticket
		case "first":
			sent[id].First(now)
		case "sign":
			sent[id].Sign(now)
		case "done":
			sent[id].Done(now, ResultServed)
		}
	}
	silent := []string{}
	for _, id := range engines {
		if p.of(id).suspect(now) {
			silent = append(silent, id)
		}
	}
	assert.DeepEqual(t, silent, c.Silent)
	assert.Equal(t, told, c.Told)
}

// TestPatience: an upstream that has to fetch first may take longer without a sign.
func TestPatience(t *testing.T) {
	reading := &Ticket{expected: 100 * time.Millisecond}
	fetching := &Ticket{expected: 100 * time.Millisecond, fetching: true}
	streaming := &Ticket{expected: time.Second, fetching: true, first: true}
	assert.Equal(t, reading.patience(), 700*time.Millisecond)
	assert.Equal(t, fetching.patience(), 1450*time.Millisecond)
	assert.Equal(t, streaming.patience(), 900*time.Millisecond)
}

// TestStandingStillTeachesNothing: how long a request took that was under way while this host
// stood still says nothing of its upstream, whether the host looks about first after that or
// the answer is read first.
func TestStandingStillTeachesNothing(t *testing.T) {
	const still = 3 * time.Second
	for _, lookFirst := range []bool{true, false} {
		p := testPlacer(testView(1, 1))
		p.Watch(start)
		c, verdict := p.Choose(start, askFor("shared", "own"))
		assert.Equal(t, verdict, Chosen)
		hold := c.Ticket.target.hold
		awake := start.Add(still)
		if lookFirst {
			p.Watch(awake)
		}
		c.Ticket.First(awake)
		c.Ticket.Done(awake, ResultServed)
		assert.Equal(t, c.Ticket.target.slow.factor(awake), 1.0)
		assert.Equal(t, c.Ticket.target.hold, hold)
	}
}
