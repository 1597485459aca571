// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"io"

	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/timer"
)

// watchedReader reads an answer and records the activity of its upstream. Only the time within Read counts as
// silence: while the caller does not take what was read, the upstream may be unable to send.
type watchedReader struct {
	body   io.Reader
	ticket *placer.Ticket
	timer  timer.Service
}

// Read reads from the answer.
func (r *watchedReader) Read(b []byte) (int, error) {
	r.ticket.Resume(r.timer.Now())
	n, err := r.body.Read(b)
	if n > 0 {
		r.ticket.RecordActivity(r.timer.Now())
	}
	r.ticket.Pause()
	return n, err
}
