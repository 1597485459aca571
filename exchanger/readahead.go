// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"bytes"
	"io"
	"net/http"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/matcher"
)

// reader returns a reader of an attempt's answer, from its beginning.
func (d *delivery) reader(a *attempt, s *standby) io.Reader {
	a.read = 0
	return &countingReader{from: d.unread(a, s), attempt: a}
}

// unread returns a reader of what has been read ahead of an attempt's answer, and of the rest.
func (d *delivery) unread(a *attempt, s *standby) io.Reader {
	start := bytes.NewReader(a.start)
	if a.whole {
		return start
	}
	rest := s.reader(&watchedReader{body: a.answer, ticket: a.choice.Ticket, timer: d.opts.Timer})
	if start.Len() == 0 {
		return rest
	}
	return io.MultiReader(start, rest)
}

// readAhead reads the answer of an attempt until a part of it can be forwarded: the first event of a stream, or
// else as much as is buffered. It returns false, with the result of the attempt, if none can.
func (d *delivery) readAhead(a *attempt) (dispatcher.Result, bool) {
	if !d.fits(a) {
		return misfitResult(a.answer), false
	}
	r := &watchedReader{body: a.answer, ticket: a.choice.Ticket, timer: d.opts.Timer}
	buf := make([]byte, 16<<10)
	for !a.whole && !d.forwardable(a) {
		n, err := r.Read(buf)
		a.start = append(a.start, buf[:n]...)
		a.read += n
		switch {
		case err == io.EOF:
			a.whole = true
		case err != nil:
			return d.cut(a, EndingEarly, err), false
		}
	}
	if d.streams(a.answer) && !d.forwardable(a) {
		if e, err := streamEnding(a.answer.Framing(), false, len(a.start)); err != nil {
			return d.cut(a, e, err), false
		}
	}
	if a.answer.Status() < http.StatusInternalServerError {
		return dispatcher.Result{}, true
	}
	if a.whole {
		d.fallback = &bufferedAnswer{answer: a.answer, body: a.start}
	}
	return dispatcher.Result{Verdict: dispatcher.MayHaveRun, Reached: true}, false
}

// forwardable reports whether what has been read of an answer can be forwarded.
func (d *delivery) forwardable(a *attempt) bool {
	if d.streams(a.answer) {
		return eventLength(a.start, a.whole) > 0 || len(a.start) > maxEventBytes
	}
	return len(a.start) > maxBufferedBytes
}

// streams reports whether an answer is a stream of events.
func (d *delivery) streams(a Answer) bool {
	return d.route.Kind == matcher.KindStream && a.Status() == http.StatusOK
}
