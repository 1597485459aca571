// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package reserver

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// step is a step of a script. Claims have names.
type step struct {
	At    duration.Duration
	Claim string
	Do    string
	Bytes int64
	// Head and Idle are the timeouts of a sweep.
	Head, Idle duration.Duration
	Refused    bool                // Refused reports that there is no room.
	Evicts     map[string]Eviction // Evicts are the claims that the step evicts.
}

// TestScripts plays what connections do at given times.
func TestScripts(t *testing.T) {
	text, err := os.ReadFile("testdata/scripts.jsonc")
	assert.NilError(t, err)
	var scripts []struct {
		Name        string
		Bytes       int64
		Connections int
		Steps       []step
	}
	_, faults := strictjson.Decode(text, &scripts)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			b, claims, evicted := New(Options{Bytes: s.Bytes, Connections: s.Connections}), make(map[string]*Claim), make(map[string]Eviction)
			for i := range s.Steps {
				clear(evicted)
				st := &s.Steps[i]
				refused := !st.play(b, claims, evicted)
				assert.Equal(t, refused, st.Refused, "step %d: %+v", i, st)
				assert.Equal(t, fmt.Sprint(evicted), fmt.Sprint(st.Evicts), "step %d: %+v", i, st)
			}
		})
	}
}

// play plays a step and reports whether there was room.
func (s *step) play(b *Budget, claims map[string]*Claim, evicted map[string]Eviction) bool {
	now, c := time.Unix(1000, 0).Add(s.At.Std()), claims[s.Claim]
	switch s.Do {
	case "Open":
		claims[s.Claim] = b.Open(now, func(e Eviction) { evicted[s.Claim] = e })
		return claims[s.Claim] != nil
	case "Begin":
		c.Begin(now)
	case "Body":
		c.ReadBody(now)
	case "Grow":
		return c.Grow(now, s.Bytes)
	case "Arrived":
		c.Arrived(now, int(s.Bytes))
	case "Run":
		c.Run()
	case "Rest":
		c.Rest(now)
	case "Linger":
		c.Linger(now)
	case "Close":
		c.Close()
	case "Sweep":
		b.Sweep(now, Timeouts{Head: s.Head.Std(), Idle: s.Idle.Std()})
	default:
		panic("reserver: unknown step " + s.Do)
	}
	return true
}

// TestBudgetIsNeverExceeded searches for orders of calls after which more is held than the options allow, or what was given back is
// still counted, or a request that has been read loses what it holds.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, connections, count = 300_000, 4, 8
		b, now := New(Options{Bytes: limit, Connections: connections}), time.Unix(1000, 0)
		claims, running, lost := make([]*Claim, count), make([]bool, count), make([]bool, count)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, count-1).Draw(t, "claim")
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if claims[i] == nil || lost[i] {
				running[i], lost[i] = false, false
				claims[i] = b.Open(now, func(e Eviction) {
					if running[i] {
						t.Fatalf("claim %d of a running request was evicted: %s", i, e)
					}
					lost[i] = true
				})
				continue
			}
			switch rapid.IntRange(0, 7).Draw(t, "call") {
			case 0:
				claims[i].Begin(now)
			case 1:
				claims[i].ReadBody(now)
				running[i] = false
			case 2, 3:
				claims[i].Grow(now, int64(rapid.IntRange(1, 100_000).Draw(t, "bytes")))
			case 4:
				claims[i].Run()
				running[i] = true
			case 5:
				claims[i].Rest(now)
				running[i] = false
			case 6:
				claims[i].Close()
				claims[i] = nil
			case 7:
				b.Sweep(now, Timeouts{Head: time.Second, Idle: 3 * time.Second})
			}
			held, open := int64(0), 0
			for c := range b.claims {
				held += c.bytes
				open++
			}
			if b.held != held || held > limit || open > connections {
				t.Fatalf("%d bytes held, %d counted, %d connections", held, b.held, open)
			}
		}
	})
}
