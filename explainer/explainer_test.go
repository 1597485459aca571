// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package explainer

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExplain(t *testing.T) {
	f, err := os.Open("testdata/log.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	for id, want := range map[string][]string{
		"refused": {"every upstream that was asked refused", "attempt 2 at u2", "before: StoreLost Upstreams", "before: OrderGiven", "Accepted"},
		"unknown": {"may have run", "last failure: EOF"},
		"cut":     {"broke off after part of it"},
		"lost":    {"sent to u1, no end", "the host was killed"},
		"late":    {"had much to read", "30000 tokens waited"},
	} {
		story, ok := Explain(lines, id)
		assert.Assert(t, ok, id)
		for _, w := range want {
			assert.Assert(t, strings.Contains(story, w), "%s: %q is not in\n%s", id, w, story)
		}
		assert.Assert(t, !strings.Contains(story, "Refused"), "another host's beliefs are no cause")
	}
	_, ok := Explain(lines, "nobody")
	assert.Assert(t, !ok)
}

func TestSummarize(t *testing.T) {
	f, err := os.Open("testdata/log.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	s := Summarize(lines)
	assert.Equal(t, s.Requests, 6)
	assert.Equal(t, s.Failed, 5)
	assert.Equal(t, s.Unknown, 0)
	assert.Equal(t, len(s.Causes), 5)
	assert.Assert(t, strings.Contains(s.String(), "the host was killed or lost power"), s.String())
}
