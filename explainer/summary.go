// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package explainer

import (
	"fmt"
	"slices"
	"strings"

	"amaranthgate.example/amaranthgate/logger"
)

// Summary counts the requests that failed or were late, by cause.
type Summary struct {
	Requests int // Requests is the number of requests in the lines.
	Failed   int
	Unknown  int // Unknown is the number of failed requests without a known cause.
	Causes   []Cause
}

// Cause is a cause with the number of its requests.
type Cause struct {
	Text    string
	Count   int
	Example string // Example is the ID of one of the requests.
}

// Summarize counts the failed and late requests in lines by cause.
func Summarize(lines []Line) Summary {
	ends := make(map[string]*Line)
	chosen := make(map[string]*Line)
	for i := range lines {
		l := &lines[i]
		switch l.Message {
		case logger.RequestEnded:
			if ends[l.RequestID] == nil || l.PassedBy == "" {
				ends[l.RequestID] = l
			}
		case logger.UpstreamChosen:
			chosen[l.RequestID] = l
		}
	}
	var s Summary
	counts := make(map[string]*Cause)
	add := func(id, text string) {
		s.Failed++
		if text == causeUnderWay {
			s.Unknown++
		}
		c := counts[text]
		if c == nil {
			c = &Cause{Text: text, Example: id}
			counts[text] = c
		}
		c.Count++
	}
	for id, l := range ends {
		s.Requests++
		if l.failed() {
			add(id, l.Cause())
		}
	}
	for id, l := range chosen {
		if ends[id] == nil {
			s.Requests++
			add(id, unendedCause(lines, l))
		}
	}
	for _, c := range counts {
		s.Causes = append(s.Causes, *c)
	}
	slices.SortFunc(s.Causes, compareCauses)
	return s
}

// String returns a table of the causes.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests, %d failed or late, %d of them without a known cause\n", s.Requests, s.Failed, s.Unknown)
	for _, c := range s.Causes {
		fmt.Fprintf(&b, "%7d  %s (such as %s)\n", c.Count, c.Text, c.Example)
	}
	return b.String()
}
