// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// TestEventLength checks where events end, with each kind of line end.
func TestEventLength(t *testing.T) {
	text, err := os.ReadFile("testdata/events.jsonc")
	assert.NilError(t, err)
	var cases []struct {
		Bytes   string
		Ended   bool
		Lengths []int
	}
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(strconv.Quote(c.Bytes), func(t *testing.T) {
			rest := []byte(c.Bytes)
			for _, want := range c.Lengths {
				assert.Equal(t, eventLength(rest, c.Ended), want)
				rest = rest[want:]
			}
			assert.Equal(t, eventLength(rest, c.Ended), 0)
		})
	}
}

// TestEventID checks that the ID of an event is found with each kind of line end.
func TestEventID(t *testing.T) {
	for _, event := range []string{"id: 7\ndata: x\n\n", "data: x\r\nid:7\r\n\r\n", ": note\rid: 7 \r\r"} {
		assert.Equal(t, eventID([]byte(event)), "7")
	}
	assert.Equal(t, eventID([]byte("data: id: 7\n\n")), "")
}
