// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"io"
	"net/http"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/forwarder"
)

// maxBufferedBytes is the largest body that is buffered before the caller gets the
// header. An attempt whose answer is cut can then be retried or reported as failed.
const maxBufferedBytes = 256 << 10

// bufferedAnswer is an answer with its complete body.
type bufferedAnswer struct {
	answer Answer
	body   []byte
}

// forwardWhole reads a whole answer and forwards it, or keeps it as the fallback if its
// status is a server error. from reads its body.
func (d *delivery) forwardWhole(a *attempt, from io.Reader) dispatcher.Result {
	body, err := io.ReadAll(io.LimitReader(from, maxBufferedBytes+1))
	if err != nil {
		return d.cut(a, EndingEarly, err)
	}
	answer := a.answer
	a.choice.Ticket.First(d.opts.Timer.Now())
	if answer.Status() < http.StatusInternalServerError {
		d.observeLead()
	}
	if len(body) > maxBufferedBytes {
		return d.forwardLong(a, from, body)
	}
	d.reportEnd(a, EndingFramed, nil)
	buffered := &bufferedAnswer{answer: answer, body: body}
	if answer.Status() >= http.StatusInternalServerError {
		d.fallback = buffered
		return dispatcher.Result{Verdict: dispatcher.MayHaveRun, Reached: true}
	}
	d.forwardBuffered(buffered)
	return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
}

// cut reports that an attempt's answer has been broken off, and returns the result of the attempt.
func (d *delivery) cut(a *attempt, e Ending, err error) dispatcher.Result {
	d.reportEnd(a, e, err)
	f := &forwarder.Failure{Cause: forwarder.CauseCut, Ran: forwarder.RanYes, Detail: err.Error()}
	return dispatcher.Failed(f)
}

func (d *delivery) forwardBuffered(b *bufferedAnswer) {
	d.outcome.Status = b.answer.Status()
	d.outcome.First = d.opts.Timer.Now().Sub(d.request.Start)
	err := d.responder.Begin(b.answer, int64(len(b.body)))
	if err == nil {
		err = d.responder.Write(b.body)
	}
	if err != nil {
		d.outcome.Reason = ReasonCallerGone
	}
}

// forwardLong forwards an answer that is too large to be buffered. start is the part
// already read.
func (d *delivery) forwardLong(a *attempt, from io.Reader, start []byte) dispatcher.Result {
	d.final = true
	d.outcome.Status = a.answer.Status()
	d.outcome.First = d.opts.Timer.Now().Sub(d.request.Start)
	err := d.responder.Begin(a.answer, -1)
	if err == nil {
		err = d.responder.Write(start)
	}
	buf := make([]byte, 32<<10)
	for err == nil {
		var n int
		var readErr error
		n, readErr = from.Read(buf)
		if n > 0 {
			err = d.responder.Write(buf[:n])
		}
		switch {
		case readErr == io.EOF:
			d.reportEnd(a, EndingFramed, nil)
			return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
		case readErr != nil:
			d.reportEnd(a, EndingEarly, readErr)
			d.outcome.Reason, d.outcome.Detail = ReasonInterrupted, readErr.Error()
			d.responder.Abort()
			return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
		}
	}
	d.outcome.Reason = ReasonCallerGone
	return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
}
