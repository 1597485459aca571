// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/logger"
)

// TestLinesOfLongIDsAreShort guards against lines whose length callers choose, of which thousands may wait to be written.
func TestLinesOfLongIDsAreShort(t *testing.T) {
	var out bytes.Buffer
	h := &Host{log: logger.From(zerolog.New(&out))}
	long := strings.Repeat("x", 15_000)
	h.logRequest(&exchanger.Request{ID: long, StreamID: long}, exchanger.Outcome{Status: 503, Reason: exchanger.ReasonFull, BarredPart: long, Resumed: true})
	for line := range strings.Lines(out.String()) {
		assert.Assert(t, len(line) < 2000, "%d bytes", len(line))
	}
	assert.Assert(t, out.Len() > 0)
}
