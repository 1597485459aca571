// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package quarantiner

import (
	"cmp"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// partsOf returns the identities of parts that are separated by commas.
func partsOf(list string) []Identity {
	var out []Identity
	for _, name := range strings.Split(list, ",") {
		out = append(out, IdentifyPart("", "m", name))
	}
	return out
}

// TestParts runs the scripted events and checks the standing of requests by the parts of their prompts.
func TestParts(t *testing.T) {
	text, err := os.ReadFile("testdata/parts.jsonc")
	assert.NilError(t, err)
	var cases []struct {
		Name  string
		Steps []step
	}
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { runParts(t, c.Steps) })
	}
}

func runParts(t *testing.T, steps []step) {
	now := time.Unix(1000, 0)
	hosts := map[string]*Ledger{}
	at := func(name string) *Ledger {
		if hosts[name] == nil {
			o := Options{}
			if name == "t" {
				o.Tries = func(Identity) bool { return true }
			}
			hosts[name] = New(o)
		}
		return hosts[name]
	}
	for i, s := range steps {
		now = now.Add(cmp.Or(s.After.Std(), time.Second))
		l := at(s.Host)
		l.Expire(now)
		switch verb := strings.Fields(s.Do); verb[0] {
		case "ended":
			l.Ended(now, Evidence{Request: identityOf(verb[1]), Parts: partsOf(verb[2])}, verb[3], now.Add(-time.Second))
		case "begun":
			l.Begun(now, partsOf(verb[1]))
		case "tell":
			at(verb[1]).Merge(now, l.TakeChanges(now))
		case "tell-all":
			at(verb[1]).Merge(now, l.Entries(now))
		case "ask":
			got, part := l.PartsStanding(now, partsOf(verb[1]))
			assert.Equal(t, string(got), s.Want, "step %d: %s at %s", i+1, s.Do, s.Host)
			assert.Equal(t, got != Free, part != Identity{})
		default:
			t.Fatalf("unknown step %q", s.Do)
		}
	}
}

// TestIdentifyPart checks that workspace, model and part, and the boundaries between them, affect the identity, and that
// no request has the same.
func TestIdentifyPart(t *testing.T) {
	seen := map[Identity]string{}
	for _, p := range [][3]string{{"", "m", "a"}, {"w", "m", "a"}, {"", "n", "a"}, {"", "m", "b"}, {"m", "", "a"}, {"", "ma", ""}} {
		id := IdentifyPart(p[0], p[1], p[2])
		other, double := seen[id]
		assert.Assert(t, !double, "%v is taken for %s", p, other)
		seen[id] = fmt.Sprint(p)
	}
	assert.Assert(t, IdentifyPart("", "m", "a") != Identify(Parts{Method: "m", Host: "a"}))
}

// TestBegunIsBounded checks that parts of which answers have begun are forgotten.
func TestBegunIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(Options{})
	for i := range 3 * maxBegun {
		l.Begun(now, []Identity{partOf(i)})
	}
	assert.Assert(t, len(l.begun.newer)+len(l.begun.older) <= 2*maxBegun)
	assert.Assert(t, l.begun.has(now, partOf(0)))
	assert.Assert(t, !l.begun.has(now.Add(2*begunTTL), partOf(0)))
	assert.Equal(t, l.Len(), 0)
}

// BenchmarkBegun3 measures the update when an answer to a prompt of three shared parts begins.
func BenchmarkBegun3(b *testing.B) {
	now := time.Unix(1000, 0)
	l := New(Options{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Begun(now, []Identity{partOf(0), partOf(1), partOf(i % 100)})
	}
}
