// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"io"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/forwarder"
)

// Ending says where the body of an upstream's answer ended.
type Ending string

// Values of Ending.
const (
	EndingFramed       Ending = "Framed"       // EndingFramed means that it ended as its framing says.
	EndingInsideEvent  Ending = "InsideEvent"  // EndingInsideEvent means that it ended as framed, but inside an event.
	EndingWithoutEvent Ending = "WithoutEvent" // EndingWithoutEvent means that the connection of a stream ended before an event.
	EndingEarly        Ending = "Early"        // EndingEarly means that it ended before the end that its framing marks.
)

// Errors of streams that have been broken off.
var (
	errInsideEvent  = errors.New("exchanger: the stream ended inside an event")
	errWithoutEvent = errors.New("exchanger: the connection was closed before an event of the stream")
)

// streamEnding returns where a stream has ended that ended as framed, and an error if it has been broken off there. It
// has if it ended inside an event, of which rest bytes were received, or if it had no events and only the close of
// its connection marked its end.
func streamEnding(f forwarder.Framing, events bool, rest int) (Ending, error) {
	switch {
	case rest > 0:
		return EndingInsideEvent, errInsideEvent
	case !events && f == forwarder.FramingConnection:
		return EndingWithoutEvent, errWithoutEvent
	}
	return EndingFramed, nil
}

// AnswerEnd describes the end of an upstream's answer that the upstream, or the way to it, has caused.
type AnswerEnd struct {
	RequestID string
	Upstream  string // Upstream is empty if the request was passed on.
	PassedTo  string // PassedTo is the host to which the request was passed on; empty if it was not.
	Status    int
	Framing   forwarder.Framing
	Ending    Ending
	Bytes     int    // Bytes is the length of the body received.
	Events    int    // Events is the number of events that the caller has received of all attempts.
	Detail    string // Detail is the error with which it ended; empty if it ended as framed.
}

// reportEnd reports the end of an attempt's answer, unless this host has ended the attempt.
func (d *delivery) reportEnd(a *attempt, e Ending, err error) {
	if a.ctx.Err() != nil {
		return
	}
	if e != EndingFramed {
		d.outcome.BrokenOff++
	}
	if d.opts.AnswerEnded == nil {
		return
	}
	end := AnswerEnd{
		RequestID: d.request.ID, Upstream: a.choice.Upstream.ID, Status: a.answer.Status(),
		Framing: a.answer.Framing(), Ending: e, Bytes: a.read, Events: d.outcome.Events,
	}
	if a.choice.host != nil {
		end.PassedTo = a.choice.host.Name
	}
	if err != nil {
		end.Detail = err.Error()
	}
	d.opts.AnswerEnded(end)
}

// countingReader counts the bytes that are read of an attempt's answer.
type countingReader struct {
	from    io.Reader
	attempt *attempt
}

// Read reads from the answer.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	r.attempt.read += n
	return n, err
}
