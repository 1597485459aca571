// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import "net/http"

// Framing says what marks the end of the body of an answer.
type Framing string

// Values of Framing.
const (
	FramingLength Framing = "Length" // FramingLength means that the length is declared.
	FramingChunks Framing = "Chunks" // FramingChunks means that the last chunk is marked.
	// FramingConnection means that the connection is closed after the body. An upstream that crashes may close it
	// in the same way.
	FramingConnection Framing = "Connection"
)

// framingOf returns the framing of a response that has a body.
func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramingChunks
	case resp.ContentLength >= 0:
		return FramingLength
	}
	return FramingConnection
}
