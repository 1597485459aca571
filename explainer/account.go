// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package explainer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"amaranthgate.example/amaranthgate/logger"
)

// Account summarizes the outcome of requests by route and time span, and compares the estimates with the
// results.
type Account struct {
	Spans     []Span
	Estimates Estimates
}

// Span counts the requests of a route that ended within one time span.
type Span struct {
	Route   string
	From    time.Time
	Ended   int
	Late    int
	Failed  int // Failed counts requests without a complete answer, including refused ones.
	Refused int
	Waited  time.Duration // Waited is the total queueing time at hosts.
	Causes  []Cause       // Causes are in order of decreasing frequency.
}

// Estimates sums up the estimates behind the choices of engines.
type Estimates struct {
	Choices  int           // Choices is the number of choices for prompts.
	Missing  int           // Missing is the number of prompt tokens to compute.
	Shared   int           // Shared is the part of Missing in prefixes that other requests share.
	Moved    int           // Moved is the number of tokens of context to transfer.
	Replaced int           // Replaced counts choices of engines with replaced weights.
	Answers  int           // Answers is the number of late answers with an estimate.
	Expected time.Duration // Expected is the total estimated time to the first byte of Answers.
	Took     time.Duration // Took is the total time to the first byte of Answers, without queueing at the host.
}

// Tally returns the account of all requests in lines, in spans of the given length.
func Tally(lines []Line, span time.Duration) Account {
	var a Account
	spans := make(map[string]*Span)
	for i := range lines {
		l := &lines[i]
		switch l.Message {
		case logger.UpstreamChosen:
			a.Estimates.addChoice(&l.Attempt)
		case logger.RequestEnded:
			a.Estimates.addEnd(l)
			if l.PassedBy != "" { // it counts at the host that passed it on
				continue
			}
			key := l.Route + l.Time.Truncate(span).String()
			if spans[key] == nil {
				spans[key] = &Span{Route: l.Route, From: l.Time.Truncate(span)}
			}
			spans[key].add(l)
		}
	}
	for _, s := range spans {
		slices.SortFunc(s.Causes, compareCauses)
		a.Spans = append(a.Spans, *s)
	}
	slices.SortFunc(a.Spans, func(x, y Span) int {
		if x.Route != y.Route {
			return strings.Compare(x.Route, y.Route)
		}
		return x.From.Compare(y.From)
	})
	return a
}

func (s *Span) add(l *Line) {
	s.Ended++
	s.Waited += millis(l.Waited)
	switch {
	case l.Status == 503 || l.Status == 429:
		s.Refused++
		s.Failed++
	case l.Reason != "" || l.Status >= 500:
		s.Failed++
	case l.Late:
		s.Late++
	default:
		return
	}
	text := l.Cause()
	for i := range s.Causes {
		if s.Causes[i].Text == text {
			s.Causes[i].Count++
			return
		}
	}
	s.Causes = append(s.Causes, Cause{Text: text, Count: 1, Example: l.RequestID})
}

// compareCauses orders causes by decreasing count, then by text.
func compareCauses(a, b Cause) int {
	if a.Count != b.Count {
		return b.Count - a.Count
	}
	return strings.Compare(a.Text, b.Text)
}

func (b *Estimates) addChoice(a *Attempt) {
	if a.Missing == 0 && a.Moved == 0 {
		return
	}
	b.Choices++
	b.Missing += a.Missing
	b.Shared += max(0, a.Missing-a.Alone)
	b.Moved += a.Moved
	if a.Replaced {
		b.Replaced++
	}
}

func (b *Estimates) addEnd(l *Line) {
	if len(l.Attempts) != 1 || l.Attempts[0].Missing == 0 || l.First == 0 {
		return
	}
	a := l.Attempts[0]
	b.Answers++
	b.Expected += millis(a.Behind + a.Reading + a.Fetching)
	b.Took += millis(l.First - l.Waited)
}

// millis converts milliseconds to a Duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// String returns a table of the spans with failed or late requests, and the estimates.
func (a Account) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %-8s %6s %6s %6s %7s %9s  causes\n", "route", "from", "ended", "late", "failed", "refused", "waited ms")
	for _, s := range a.Spans {
		if len(s.Causes) == 0 {
			continue
		}
		fmt.Fprintf(&b, "%-12s %-8s %6d %6d %6d %7d %9.0f\n", s.Route, s.From.Format(time.TimeOnly), s.Ended, s.Late, s.Failed, s.Refused,
			s.Waited.Seconds()*1000/float64(s.Ended))
		for _, c := range s.Causes {
			fmt.Fprintf(&b, "%28d  %s (such as %s)\n", c.Count, c.Text, c.Example)
		}
	}
	v := a.Estimates
	fmt.Fprintf(&b, "%d choices for prompts: %d tokens to be read, %d of them shared; %d to be fetched; %d at replaced weights\n",
		v.Choices, v.Missing, v.Shared, v.Moved, v.Replaced)
	if v.Answers > 0 {
		fmt.Fprintf(&b, "%d late answers after one attempt: first byte expected after %.0f ms, came after %.0f ms\n",
			v.Answers, v.Expected.Seconds()*1000/float64(v.Answers), v.Took.Seconds()*1000/float64(v.Answers))
	}
	return b.String()
}
