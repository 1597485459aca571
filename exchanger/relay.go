// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"bytes"
	"io"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/placer"
)

// relay is the caller's side of a stream: whole events, across upstreams.
type relay struct {
	lastID string
}

// eventEnd is the empty line that ends an event.
const eventEnd = "\n\n"

// maxEventBytes bounds one event; a longer one is no event.
const maxEventBytes = 1 << 20

// relay passes on the events of a stream as they come. Only whole events are
// passed on, so that another upstream can go on after the last.
func (d *delivery) relay(answer Answer, ticket *placer.Ticket) dispatcher.Result {
	var pending []byte
	buf := make([]byte, 16<<10)
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			ticket.Sign(d.opts.Timer.Now())
			pending = append(pending, buf[:n]...)
			rest, fail := d.events(answer, pending, ticket)
			if fail != nil {
				return *fail
			}
			pending = append(pending[:0], rest...)
		}
		switch {
		case err == io.EOF:
			return d.endStream(answer, pending)
		case err != nil:
			return broken(err)
		case len(pending) > maxEventBytes:
			return dispatcher.Failed(&forwarder.Failure{
				Cause: forwarder.CauseMalformed, Ran: forwarder.RanYes, Detail: "an event of the stream has no end",
			})
		}
	}
}

// events passes on the whole events at the beginning of b and returns the rest.
func (d *delivery) events(answer Answer, b []byte, ticket *placer.Ticket) ([]byte, *dispatcher.Result) {
	whole, last := d.wholeEvents(b)
	if whole == 0 {
		return b, nil
	}
	ticket.First(d.opts.Timer.Now())
	err := d.begin(answer)
	if err == nil {
		err = d.responder.Write(b[:whole])
	}
	if err == nil {
		err = d.responder.Flush()
	}
	if err != nil {
		return nil, d.callerLeft()
	}
	d.stream.lastID = later(d.stream.lastID, last)
	return b[whole:], nil
}

// wholeEvents returns the length of the whole events at the beginning of b, and
// the latest of their IDs.
func (d *delivery) wholeEvents(b []byte) (length int, last string) {
	for {
		i := bytes.Index(b[length:], []byte(eventEnd))
		if i < 0 {
			return length, last
		}
		next := length + i + len(eventEnd)
		if id := eventID(b[length:next]); id != "" {
			d.outcome.Events++
			last = later(last, id)
		}
		length = next
	}
}

// later returns the ID that comes later: IDs grow, so the longer or greater one.
func later(a, b string) string {
	if len(b) > len(a) || len(b) == len(a) && b > a {
		return b
	}
	return a
}

func (d *delivery) callerLeft() *dispatcher.Result {
	d.outcome.Reason = ReasonCallerGone
	return &dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
}

// begin writes the head of the first upstream's answer.
func (d *delivery) begin(answer Answer) error {
	if d.stream != nil {
		return nil
	}
	d.stream = &relay{}
	d.outcome.Status = answer.Status()
	d.outcome.First = d.opts.Timer.Now().Sub(d.request.Start)
	return d.responder.Begin(answer, -1)
}

// endStream ends a stream whose upstream has ended it. Bytes after the last
// whole event are passed on: the upstream's answer is whole with them.
func (d *delivery) endStream(answer Answer, rest []byte) dispatcher.Result {
	err := d.begin(answer)
	if err == nil && len(rest) > 0 {
		err = d.responder.Write(rest)
	}
	if err != nil {
		return *d.callerLeft()
	}
	return dispatcher.Result{Verdict: dispatcher.Done, Reached: true}
}

// eventID returns the value of an event's id field, or "".
func eventID(event []byte) string {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
		event = rest
	}
	return ""
}
