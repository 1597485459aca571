// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package logger

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestVolumeIsBounded checks that many successful requests neither exceed the limit nor displace failures,
// and that omitted lines are counted.
func TestVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "info")
	const flood = 100 * RoutineLines
	for range flood {
		l.Routine().Msg(UpstreamChosen)
	}
	l.Failure().Msg(RequestEnded)
	l.ReportOmitted()
	l.ReportOmitted()
	text := out.String()
	assert.Assert(t, strings.Count(text, UpstreamChosen) < flood/10)
	assert.Equal(t, strings.Count(text, UpstreamChosen)+int(l.Omitted()), flood)
	assert.Equal(t, strings.Count(text, RequestEnded), 1)
	assert.Equal(t, strings.Count(text, LinesLeftOut), 1)
}

// TestPageListsKinds checks that docs/LOGS.md has a row for each event and no others.
func TestPageListsKinds(t *testing.T) {
	page, err := os.ReadFile("../docs/LOGS.md")
	assert.NilError(t, err)
	var rows []string
	for _, line := range strings.Split(string(page), "\n") {
		if name, _, ok := strings.Cut(strings.TrimPrefix(line, "| `"), "` |"); ok && strings.HasPrefix(line, "| `") {
			rows = append(rows, name)
		}
	}
	assert.DeepEqual(t, rows, Kinds)
}
