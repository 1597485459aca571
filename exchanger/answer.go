// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"io"
	"net/http"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/placer"
)

// heldBytes is the largest answer that is read whole before the caller gets its
// head. One that breaks off on the way can then be asked for again, or is a
// failure, and never a success cut short.
const heldBytes = 256 << 10

// held is an answer that was read whole.
type held struct {
	answer Answer
	body   []byte
}

// plain reads a whole answer and passes it on, or holds it back when another
// upstream may do better.
func (d *delivery) plain(answer Answer, ticket *placer.Ticket) dispatcher.Result {
	body, err := io.ReadAll(io.LimitReader(answer, heldBytes+1))
	if err != nil {
		return broken(err)
	}
	ticket.First(d.opts.Timer.Now())
	if len(body) > heldBytes {
		return d.long(answer, body)
	}
	h := &held{answer: answer, body: body}
	if answer.Status() >= http.StatusInternalServerError {
		d.held = h
		return dispatcher.Result{Verdict: dispatcher.MayHaveRun, Reached: true}
	}
	d.passOn(h)
	return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
}

func broken(err error) dispatcher.Result {
	f := &forwarder.Failure{Cause: forwarder.CauseCut, Ran: forwarder.RanYes, Detail: err.Error()}
	return dispatcher.Failed(f)
}

func (d *delivery) passOn(h *held) {
	d.outcome.Status = h.answer.Status()
	d.outcome.First = d.opts.Timer.Now().Sub(d.request.Start)
	err := d.responder.Begin(h.answer, int64(len(h.body)))
	if err == nil {
		err = d.responder.Write(h.body)
	}
	if err != nil {
		d.outcome.Reason = ReasonCallerGone
	}
}

// long passes on an answer that is too large to be held.
func (d *delivery) long(answer Answer, start []byte) dispatcher.Result {
	d.outcome.Status = answer.Status()
	d.outcome.First = d.opts.Timer.Now().Sub(d.request.Start)
	err := d.responder.Begin(answer, -1)
	if err == nil {
		err = d.responder.Write(start)
	}
	buf := make([]byte, 32<<10)
	for err == nil {
		var n int
		var end error
		n, end = answer.Read(buf)
		if n > 0 {
			err = d.responder.Write(buf[:n])
		}
		switch {
		case end == io.EOF:
			return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
		case end != nil:
			d.outcome.Reason, d.outcome.Detail = ReasonInterrupted, end.Error()
			d.responder.Abort()
			return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
		}
	}
	d.outcome.Reason = ReasonCallerGone
	return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
}
