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

// TestGauge: changes of use lead to few reports, and the last one is close to the use.
func TestGauge(t *testing.T) {
	text, err := os.ReadFile("testdata/gauge.json")
	assert.NilError(t, err)
	var cases []struct {
		Name  string
		Steps []struct {
			Use float64
			For int // For is in seconds.
		}
		Most  int     // Most bounds the number of reports.
		Above float64 // Above and Below bound the last report.
		Below float64
	}
	assert.NilError(t, json.Unmarshal(text, &cases))
	const step = 400 * time.Millisecond
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var g Gauge
			now, reported, reports := time.Unix(1000, 0), 0.0, 0
			for _, s := range c.Steps {
				for end := now.Add(time.Duration(s.For) * time.Second); now.Before(end); now = now.Add(step) {
					figure, changed := g.Update(now, s.Use)
					reported = figure
					if changed {
						reports++
					}
				}
			}
			assert.Assert(t, reports <= c.Most, "%d reports", reports)
			assert.Assert(t, reported >= c.Above && reported <= c.Below, "last report %.3f", reported)
		})
	}
}
