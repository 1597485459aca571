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

func named(name string) Identity { return Identify(Parts{Target: name}) }

type step struct {
	Host  string            // Host is where it happens.
	Do    string            // Do is "ended REQUEST START" or "ended REQUEST START RUN", "left REQUEST START", "gone REQUEST START", "served REQUEST", "lift REQUEST" or "tell HOST".
	After duration.Duration // After is the time that passes before; a second if it is not set.
	Want  string            // Want is what the host thinks of the request afterwards, if it names one.
}

// onTheWay is how long a word may take to a host that is busy.
const onTheWay = 50 * time.Millisecond

// TestScripts plays what happens at several hosts and what they think then.
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
		t.Run(c.Name, func(t *testing.T) { play(t, c.Steps) })
	}
}

// sentAt is when the request of an end was sent: as long before as is said, or at the end of
// the step before.
func sentAt(t *testing.T, now time.Time, s step, verb []string) time.Time {
	if len(verb) < 4 {
		return now.Add(-cmp.Or(s.After.Std(), time.Second))
	}
	run, err := time.ParseDuration(verb[3])
	assert.NilError(t, err)
	return now.Add(-run)
}

func play(t *testing.T, steps []step) {
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
			l.Ended(now, named(verb[1]), verb[2], sentAt(t, now, s, verb))
		case "left":
			l.Left(now, named(verb[1]), verb[2])
		case "gone":
			l.Gone(now, verb[2])
		case "served":
			l.Served(now, named(verb[1]))
		case "lift":
			l.Lift(now, named(verb[1]))
		case "tell":
			at(verb[1]).Hear(now, l.News(now))
		case "tell-late":
			words := l.News(now)
			now = now.Add(onTheWay)
			at(verb[1]).Hear(now, words)
		case "tell-all":
			at(verb[1]).Hear(now, l.Words(now))
		case "look":
		default:
			t.Fatalf("unknown step %q", s.Do)
		}
		if s.Want != "" {
			assert.Equal(t, l.Standing(now, named(verb[1])).Standing, Standing(s.Want), "step %d: %s at %s", i, s.Do, s.Host)
		}
	}
}

// TestOrderDoesNotMatter: hosts that hear the same words, in whatever order and however often,
// think the same.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		sources := []*Ledger{New(Options{}), New(Options{}), New(Options{})}
		var words []Word
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Second)
			l := sources[rapid.IntRange(0, 2).Draw(t, "host")]
			id := named(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "request")))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				l.Lift(now, id)
			default:
				l.Ended(now, id, fmt.Sprint("start-", rapid.IntRange(0, 5).Draw(t, "start")), now)
			}
			words = append(words, l.Words(now)...)
		}
		a, b := New(Options{}), New(Options{})
		a.Hear(now, words)
		b.Hear(now, rapid.Permutation(words).Draw(t, "order"))
		b.Hear(now, words)
		assert.Equal(t, a.Digest(), b.Digest())
		for i := range 4 {
			id := named(fmt.Sprint(i))
			assert.Equal(t, a.Standing(now, id).Standing, b.Standing(now, id).Standing)
		}
	})
}

// TestBounds: many different bad requests do not grow the ledger without bound, and bars
// outlast suspects; what was served long ago is forgotten.
func TestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(Options{})
	for i := range Bar {
		now = now.Add(time.Second)
		l.Ended(now, named("bad"), fmt.Sprint(i), now)
	}
	for i := range 3 * mostRecords {
		now = now.Add(time.Millisecond)
		l.Ended(now, named(fmt.Sprint("request-", i)), "start", now)
	}
	assert.Assert(t, l.Len() <= mostRecords)
	assert.Equal(t, l.Standing(now, named("bad")).Standing, Barred)
	assert.Equal(t, l.Standing(now, named(fmt.Sprint("request-", 3*mostRecords-1))).Standing, Suspect)

	served := New(Options{})
	for i := range 3 * mostServed {
		served.Served(now, named(fmt.Sprint(i)))
	}
	assert.Assert(t, len(served.served.newer)+len(served.served.older) <= 2*mostServed)
	assert.Assert(t, served.served.has(named(fmt.Sprint(3*mostServed-1))) && !served.served.has(named("0")))
	assert.Equal(t, served.Digest(), uint64(0))
	assert.Equal(t, served.Len(), 0)
}

// BenchmarkStanding is what each request pays before it is sent, where 1,000 suspects are
// known.
func BenchmarkStanding(b *testing.B) {
	now := time.Unix(1000, 0)
	l := New(Options{})
	for i := range 1000 {
		l.Ended(now, named(fmt.Sprint(i)), "start", now)
	}
	id := named("innocent")
	b.ReportAllocs()
	for b.Loop() {
		l.Standing(now, id)
	}
}

// BenchmarkServed is what each request pays at its end.
func BenchmarkServed(b *testing.B) {
	now := time.Unix(1000, 0)
	l := New(Options{})
	ids := make([]Identity, 4*mostServed)
	for i := range ids {
		ids[i] = named(fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Served(now, ids[i%len(ids)])
	}
}
