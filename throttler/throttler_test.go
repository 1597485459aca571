// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package throttler

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

var start = time.Unix(1000, 0)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// newTest returns the Throttler of a host in a fleet of n hosts, with requests waiting.
func newTest(host, n, waiting int) *Throttler {
	t := New(Options{Host: hostName(host), Waiting: func() int { return waiting }})
	var live []string
	for i := range n {
		live = append(live, hostName(i))
	}
	t.SetHosts(start, live, n)
	return t
}

func hostName(i int) string { return fmt.Sprint("host-", i) }

// statementCase is a sequence of statements as one host sees them. A step is "answer SENT AT RATE", by
// an answer to a request, or "host AT RATE SEQUENCE", by another host; times are in milliseconds.
type statementCase struct {
	Name  string
	Steps []string
	Want  Limit
}

func TestStatements(t *testing.T) {
	text, err := os.ReadFile("testdata/statements.jsonc")
	assert.NilError(t, err)
	var cases []statementCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			th := newTest(0, 1, 0)
			for _, step := range c.Steps {
				applyStep(t, th, step)
			}
			c.Want.Instance = "u"
			assert.DeepEqual(t, th.Limits(start), []Limit{c.Want})
		})
	}
}

func applyStep(t *testing.T, th *Throttler, step string) {
	t.Helper()
	var sent, when int
	var rate float64
	var sequence uint64
	verb, rest, _ := strings.Cut(step, " ")
	switch verb {
	case "answer":
		_, err := fmt.Sscan(rest, &sent, &when, &rate)
		assert.NilError(t, err)
		th.Declare(at(when), at(sent), "u", rate)
	case "host":
		_, err := fmt.Sscan(rest, &when, &rate, &sequence)
		assert.NilError(t, err)
		th.Merge(at(when), []Limit{{Instance: "u", PerSecond: rate, Sequence: sequence}})
	default:
		t.Fatalf("unknown step %q", step)
	}
}

// TestSumStaysBelowBound checks for all sizes of limits that their owners, and one owner too many, let
// pass less than 1.5 times the limit and 5 requests in 4 s.
func TestSumStaysBelowBound(t *testing.T) {
	const window = 4
	for limit := 0.01; limit < 2000; limit *= 1.01 {
		s := &state{Limit: Limit{Instance: "u", PerSecond: limit}, hostsVersion: -1}
		s.divide(start, "h", []string{"h"}, 1<<20, 0)
		owners := math.Round(limit / s.rate)
		each := s.capacity() + s.rate*(window+permitTTL.Seconds())
		assert.Assert(t, (owners+1)*each <= 1.5*window*limit+5, "%v a second: %v owners, %v each", limit, owners, each)
	}
}

// TestWithdrawnLimitIsToldForAWhile checks that hosts do not tell of a withdrawn limit for ever.
func TestWithdrawnLimitIsToldForAWhile(t *testing.T) {
	th := newTest(0, 1, 0)
	th.Declare(at(10), start, "u", 2)
	th.Declare(at(30), at(20), "u", 0)
	assert.Equal(t, len(th.Limits(at(30).Add(withdrawnTTL))), 1)
	assert.Equal(t, len(th.Limits(at(31).Add(withdrawnTTL))), 0)
}

// TestOwnerAccumulatesOneToken checks that an owner that sends nothing for long does not save up
// tokens.
func TestOwnerAccumulatesOneToken(t *testing.T) {
	th := newTest(0, 1, 0)
	th.Declare(start, start, "u", 2)
	assert.Assert(t, !th.Allows(start, "u"))
	assert.Assert(t, !th.Take(at(400), "u"))
	taken := 0
	for th.Take(at(60_000), "u") {
		taken++
	}
	assert.Equal(t, taken, 1)
}

// TestTurns checks that an owner hands out tokens to the hosts that wait, itself among them, in turn.
func TestTurns(t *testing.T) {
	th := newTest(0, 1, 1)
	th.Declare(start, start, "u", 1)
	served := make(map[string]int)
	for i := range 600 {
		now := at(100 * i)
		th.ReceiveAsks(now, "a", []Ask{{Instance: "u", Count: 5}})
		th.ReceiveAsks(now, "b", []Ask{{Instance: "u", Count: 1}})
		th.Want(now, "u")
		for _, m := range th.Step(now) {
			served[m.To] += len(m.Grants)
		}
		if th.Take(now, "u") {
			served["self"]++
		}
	}
	total := th.Stats().Granted + th.Stats().Taken
	assert.Assert(t, total >= 58 && total <= 60, "%d", total)
	assert.Assert(t, served["self"] >= 19 && served["self"] <= 21, "%v", served)
	assert.Assert(t, th.Stats().Granted >= 38, "%v", th.Stats())
}

// TestLatePermitsExpire checks that a token that arrives late is not used: its owner has handed it out
// for an earlier window.
func TestLatePermitsExpire(t *testing.T) {
	owner := firstRanked([]string{hostName(0), hostName(1)}, "u", 1)[0]
	other := 0
	if owner == hostName(0) {
		other = 1
	}
	th := newTest(other, 2, 3)
	th.Declare(start, start, "u", 0.5)
	th.Want(start, "u")
	asked := th.Step(start)
	assert.Equal(t, asked[0].To, owner)
	grant := Grant{Instance: "u", Sent: asked[0].Asks[0].Sent, Count: 1}
	late := start.Add(permitTTL + time.Millisecond)
	th.ReceiveGrants(late, []Grant{grant})
	assert.Assert(t, !th.Allows(late, "u"))
	th.ReceiveGrants(at(50), []Grant{grant})
	assert.Assert(t, th.Allows(at(50), "u") && th.Take(at(50), "u") && !th.Take(at(50), "u"))
}

// TestFewWaitingAskFewOwners checks that a host does not ask for more tokens than requests wait.
func TestFewWaitingAskFewOwners(t *testing.T) {
	for _, waiting := range []int{1, 2, 5, 30} {
		th := newTest(0, 40, waiting)
		th.Declare(start, start, "u", 10)
		th.Want(start, "u")
		asked := 0
		for _, m := range th.Step(start) {
			for _, a := range m.Asks {
				asked += a.Count
			}
		}
		assert.Equal(t, asked, waiting)
	}
}

// TestUnlistedUpstreamIsForgotten checks that the limit of an upstream that has ended is dropped, and
// no earlier than its last statements may still arrive.
func TestUnlistedUpstreamIsForgotten(t *testing.T) {
	th := newTest(0, 1, 0)
	th.Declare(start, start, "u", 2)
	gone := func(string) bool { return false }
	th.Retain(start, gone)
	th.Retain(start.Add(unlistedTTL), gone)
	assert.Assert(t, th.Active())
	th.Retain(start.Add(unlistedTTL+time.Second), gone)
	assert.Assert(t, !th.Active() && len(th.Limits(start)) == 0)
}

// TestNewHostOwnsNothing checks that a host that does not know the others sends nothing under a limit.
func TestNewHostOwnsNothing(t *testing.T) {
	th := New(Options{Host: "host-0"})
	th.Declare(start, start, "u", 100)
	assert.Assert(t, !th.Allows(at(10_000), "u"))
}

func BenchmarkAllowsWithoutLimits(b *testing.B) {
	th := newTest(0, 8, 0)
	for b.Loop() {
		th.Allows(start, "u")
	}
}
