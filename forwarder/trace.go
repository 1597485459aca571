// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

// Trace says on which connection a request was sent, and what was received there before its answer.
type Trace struct {
	Connection   uint64 // Connection is the number of the connection in its Pool, from 1; 0 if there was none.
	Earlier      int    // Earlier is the number of requests that the connection carried before.
	Foreign      int    // Foreign is the number of answers to other requests that were skipped.
	ForeignBytes int64  // ForeignBytes is the length of their bodies.
}
