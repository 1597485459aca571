// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"io"
	"net/http"
	"strconv"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/forwarder"
)

// streamProgress is what the caller has received of a stream, across attempts.
type streamProgress struct {
	lastID string
}

// forwardStream forwards the events of a stream as they arrive. Only complete events
// are forwarded, so that another upstream can resume after the last one. from reads the body of the answer.
func (d *delivery) forwardStream(a *attempt, from io.Reader) dispatcher.Result {
	var pending []byte
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			pending = append(pending, buf[:n]...)
			rest, fail := d.forwardEvents(a, pending, false)
			if fail != nil {
				return *fail
			}
			pending = append(pending[:0], rest...)
		}
		switch {
		case err == io.EOF:
			return d.endStream(a, pending)
		case err != nil:
			return d.cut(a, EndingEarly, err)
		case len(pending) > maxEventBytes:
			return dispatcher.Failed(&forwarder.Failure{
				Cause: forwarder.CauseMalformed, Ran: forwarder.RanYes, Detail: "an event of the stream has no end",
			})
		}
	}
}

// fits reports whether the answer of an attempt can follow what the caller has received. A stream is continued by
// another stream of the same origin only; a server error is never forwarded after a part of one.
func (d *delivery) fits(a *attempt) bool {
	status := a.answer.Status()
	if status == http.StatusOK && d.origin.Known() && a.origin != d.origin {
		return false
	}
	return d.stream == nil || status == http.StatusOK || status >= http.StatusInternalServerError
}

// misfitResult is the result of an attempt whose answer does not fit.
func misfitResult(answer Answer) dispatcher.Result {
	return dispatcher.Failed(&forwarder.Failure{
		Cause: forwarder.CauseMalformed, Ran: forwarder.RanYes, Status: answer.Status(),
		Detail: "the upstream did not continue the stream, but answered " + strconv.Itoa(answer.Status()),
	})
}

// forwardEvents forwards the complete events at the beginning of b and returns the rest. ended reports that the answer
// ends with b.
func (d *delivery) forwardEvents(a *attempt, b []byte, ended bool) ([]byte, *dispatcher.Result) {
	length, last := d.completeEvents(b, ended)
	if length == 0 {
		return b, nil
	}
	if !a.events {
		a.events = true
		d.recordBegun(a)
	}
	a.choice.Ticket.First(d.opts.Timer.Now())
	d.observeLead()
	if d.stream == nil {
		d.recordOrigin(a.origin)
	}
	err := d.beginStream(a.answer)
	if err == nil {
		err = d.responder.Write(b[:length])
	}
	if err == nil {
		err = d.responder.Flush()
	}
	if err != nil {
		return nil, d.callerLeft()
	}
	d.stream.lastID = laterID(d.stream.lastID, last)
	return b[length:], nil
}

// completeEvents returns the length of the complete events at the beginning of b and
// the latest of their IDs.
func (d *delivery) completeEvents(b []byte, ended bool) (length int, last string) {
	for {
		n := eventLength(b[length:], ended)
		if n == 0 {
			return length, last
		}
		next := length + n
		if id := eventID(b[length:next]); id != "" {
			d.outcome.Events++
			last = laterID(last, id)
		}
		length = next
	}
}

// laterID returns the later of two IDs, which are ascending decimal numbers.
func laterID(a, b string) string {
	if len(b) > len(a) || len(b) == len(a) && b > a {
		return b
	}
	return a
}

func (d *delivery) callerLeft() *dispatcher.Result {
	d.outcome.Reason = ReasonCallerGone
	return &dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
}

// beginStream writes the header of the answer, unless an earlier attempt did.
func (d *delivery) beginStream(answer Answer) error {
	if d.stream != nil {
		return nil
	}
	d.stream = &streamProgress{}
	d.outcome.Status = answer.Status()
	d.outcome.First = d.opts.Timer.Now().Sub(d.request.Start)
	return d.responder.Begin(answer, -1)
}

// endStream ends a stream after the end of the upstream's answer, of which pending has not been forwarded.
func (d *delivery) endStream(a *attempt, pending []byte) dispatcher.Result {
	rest, fail := d.forwardEvents(a, pending, true)
	if fail != nil {
		return *fail
	}
	if e, err := streamEnding(a.answer.Framing(), a.events, len(rest)); err != nil {
		return d.cut(a, e, err)
	}
	d.reportEnd(a, EndingFramed, nil)
	if d.beginStream(a.answer) != nil {
		return *d.callerLeft()
	}
	return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
}
