// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package activator

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGauge plays how the use of a zone goes and counts what is told to all hosts.
func TestGauge(t *testing.T) {
	text, err := os.ReadFile("testdata/gauge.json")
	assert.NilError(t, err)
	var cases []struct {
		Name  string
		Steps []struct {
			Use float64
			For int // For is in seconds.
		}
		Most  int     // Most is the largest number of times that something is told.
		Above float64 // Above and Below bound what was told last.
		Below float64
	}
	assert.NilError(t, json.Unmarshal(text, &cases))
	const step = 400 * time.Millisecond
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var g Gauge
			now, told, times := time.Unix(1000, 0), 0.0, 0
			for _, s := range c.Steps {
				for end := now.Add(time.Duration(s.For) * time.Second); now.Before(end); now = now.Add(step) {
					figure, changed := g.Update(now, s.Use)
					told = figure
					if changed {
						times++
					}
				}
			}
			assert.Assert(t, times <= c.Most, "told %d times", times)
			assert.Assert(t, told >= c.Above && told <= c.Below, "told %.3f last", told)
		})
	}
}
