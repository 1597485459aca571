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
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
)

func identityOf(name string) Identity { return Identify(Parts{Target: name}) }

// partOf returns the identity of a part.
func partOf(n int) Identity { return IdentifyPart("", "m", fmt.Sprint(n)) }

// evidenceOf returns the evidence of a request without parts.
func evidenceOf(name string) Evidence { return Evidence{Request: identityOf(name)} }

type step struct {
	Host string // Host is where the step happens.
	// Do is "ended REQUEST START" or "ended REQUEST START RUN", "left REQUEST START", "gone REQUEST START",
	// "served REQUEST", "lift REQUEST", "look REQUEST", "tell HOST", "tell-late HOST" or "tell-all HOST".
	Do    string
	After duration.Duration // After is the time before the step; one second if not set.
	Want  string            // Want is the expected standing of the request afterwards.
}

// messageDelay is the delay of a message to a busy host.
const messageDelay = 50 * time.Millisecond

// TestScripts runs the scripted events and checks the standing of requests at each host.
func TestScripts(t *testing.T) {
	text, err := os.ReadFile("testdata/scripts.jsonc")
	assert.NilError(t, err)
	var cases []struct {
		Name  string
		Steps []step
	}
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { runScript(t, c.Steps) })
	}
}

// sentAt returns when the request of an end was sent: RUN before the end, or else at the previous step.
func sentAt(t *testing.T, now time.Time, s step, verb []string) time.Time {
	if len(verb) < 4 {
		return now.Add(-cmp.Or(s.After.Std(), time.Second))
	}
	run, err := time.ParseDuration(verb[3])
	assert.NilError(t, err)
	return now.Add(-run)
}

func runScript(t *testing.T, steps []step) {
	now := time.Unix(1000, 0)
	hosts := map[string]*Ledger{}
	at := func(name string) *Ledger {
		if hosts[name] == nil {
			hosts[name] = New(Options{})
		}
		return hosts[name]
	}
	for i, s := range steps {
		now = now.Add(cmp.Or(s.After.Std(), time.Second))
		l := at(s.Host)
		l.Expire(now)
		verb := strings.Fields(s.Do)
		switch verb[0] {
		case "ended":
			l.Ended(now, evidenceOf(verb[1]), verb[2], sentAt(t, now, s, verb))
		case "left":
			l.Abandoned(now, evidenceOf(verb[1]), verb[2])
		case "gone":
			l.InstanceEnded(now, verb[2])
		case "served":
			l.Served(now, identityOf(verb[1]))
		case "lift":
			l.Lift(now, identityOf(verb[1]))
		case "tell":
			at(verb[1]).Merge(now, l.TakeChanges(now))
		case "tell-late":
			entries := l.TakeChanges(now)
			now = now.Add(messageDelay)
			at(verb[1]).Merge(now, entries)
		case "tell-all":
			at(verb[1]).Merge(now, l.Entries(now))
		case "look":
		default:
			t.Fatalf("unknown step %q", s.Do)
		}
		if s.Want != "" {
			assert.Equal(t, l.Standing(now, identityOf(verb[1])).Standing, Standing(s.Want), "step %d: %s at %s", i, s.Do, s.Host)
		}
	}
}

// TestOrderDoesNotMatter checks that hosts that receive the same words in any order, any number of times,
// reach the same state.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		sources := []*Ledger{New(Options{}), New(Options{}), New(Options{})}
		var entries []Entry
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Second)
			l := sources[rapid.IntRange(0, 2).Draw(t, "host")]
			id := identityOf(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "request")))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				l.Lift(now, id)
			case 1:
				l.Begun(now, []Identity{partOf(rapid.IntRange(0, 1).Draw(t, "begun"))})
			default:
				ev := Evidence{Request: id, Parts: []Identity{partOf(rapid.IntRange(0, 1).Draw(t, "part"))}}
				l.Ended(now, ev, fmt.Sprint("start-", rapid.IntRange(0, 5).Draw(t, "start")), now)
			}
			entries = append(entries, l.Entries(now)...)
		}
		a, b := New(Options{}), New(Options{})
		a.Merge(now, entries)
		b.Merge(now, rapid.Permutation(entries).Draw(t, "order"))
		b.Merge(now, entries)
		assert.Equal(t, a.Digest(), b.Digest())
		for i := range 4 {
			id := identityOf(fmt.Sprint(i))
			assert.Equal(t, a.Standing(now, id).Standing, b.Standing(now, id).Standing)
		}
		for i := range 2 {
			parts := []Identity{partOf(i)}
			s, _ := a.PartsStanding(now, parts)
			other, _ := b.PartsStanding(now, parts)
			assert.Equal(t, s, other)
		}
	})
}

// TestBounds checks that the ledger's size is bounded, that bars outlast suspects, and that identities
// served long ago are dropped.
func TestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(Options{})
	for i := range BarThreshold {
		now = now.Add(time.Second)
		l.Ended(now, evidenceOf("bad"), fmt.Sprint(i), now)
	}
	for i := range 3 * maxRecords {
		now = now.Add(time.Millisecond)
		l.Ended(now, evidenceOf(fmt.Sprint("request-", i)), "start", now)
	}
	assert.Assert(t, l.Len() <= maxRecords)
	assert.Equal(t, l.Standing(now, identityOf("bad")).Standing, Barred)
	assert.Equal(t, l.Standing(now, identityOf(fmt.Sprint("request-", 3*maxRecords-1))).Standing, Suspect)

	served := New(Options{})
	for i := range 3 * minServedKept {
		served.Served(now, identityOf(fmt.Sprint(i)))
	}
	assert.Assert(t, len(served.served.newer)+len(served.served.older) <= 2*minServedKept)
	assert.Assert(t, served.served.has(identityOf(fmt.Sprint(3*minServedKept-1))) && !served.served.has(identityOf("0")))
	assert.Equal(t, served.Digest(), uint64(0))
	assert.Equal(t, served.Len(), 0)
}

// BenchmarkStanding measures the lookup before a request is sent, with 1,000 suspects.
func BenchmarkStanding(b *testing.B) {
	now := time.Unix(1000, 0)
	l := New(Options{})
	for i := range 1000 {
		l.Ended(now, evidenceOf(fmt.Sprint(i)), "start", now)
	}
	id := identityOf("innocent")
	b.ReportAllocs()
	for b.Loop() {
		l.Standing(now, id)
	}
}

// BenchmarkServed measures the update after a request.
func BenchmarkServed(b *testing.B) {
	now := time.Unix(1000, 0)
	l := New(Options{})
	ids := make([]Identity, 4*minServedKept)
	for i := range ids {
		ids[i] = identityOf(fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Served(now, ids[i%len(ids)])
	}
}
