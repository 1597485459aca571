// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import "bytes"

// maxEventBytes limits the length of an event. Each stream may hold that much, and an event holds a few tokens.
const maxEventBytes = 128 << 10

// eventLength returns the length of the first event in b with the blank line that ends it, or 0 if b has no whole
// event. Lines end with LF, CRLF or CR. ended reports that nothing follows b: a CR at its end is the end of a line
// then, and otherwise may be the first half of a CRLF.
func eventLength(b []byte, ended bool) int {
	for length := 0; ; {
		line, next := cutLine(b[length:], ended)
		length += next
		if next == 0 {
			return 0
		}
		if len(line) == 0 {
			return length
		}
	}
}

// cutLine returns the first line in b and the length of that line with its end, or 0 if b has no whole line.
func cutLine(b []byte, ended bool) (line []byte, length int) {
	i := bytes.IndexAny(b, "\r\n")
	switch {
	case i < 0:
		return nil, 0
	case b[i] == '\n':
		return b[:i], i + 1
	case i+1 < len(b) && b[i+1] == '\n':
		return b[:i], i + 2
	case i+1 < len(b) || ended:
		return b[:i], i + 1
	}
	return nil, 0
}

// eventID returns the value of an event's id field, or "".
func eventID(event []byte) string {
	for len(event) > 0 {
		line, length := cutLine(event, true)
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
		event = event[length:]
	}
	return ""
}
