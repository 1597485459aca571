// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// clockWindow is the time in which the earliest-read message corrects a clock that is ahead.
const clockWindow = 10 * time.Second

// clockReading is what the upstreams' clock showed in a message, in milliseconds, and when the message was read.
type clockReading struct {
	millis int64
	at     time.Time
}

// reading returns the time on the upstreams' clock by this reading. It lags by the delay of the message.
func (r clockReading) reading(now time.Time) int64 {
	return r.millis + now.Sub(r.at).Milliseconds()
}

// lags reports whether another message was read with less delay.
func (r clockReading) lags(other clockReading) bool { return r.millis < other.reading(r.at) }

// clock estimates the upstreams' clock by the messages that were read with the least delay. A message that waited while
// this host was suspended would set it back, so that old statements would seem new.
type clock struct {
	clockReading
	// next is the reading with the least delay of those that lag, since nextFrom.
	next     clockReading
	nextFrom time.Time
}

// With returns the clock after a message has been read. Messages that all lag for clockWindow set the clock back, since
// clocks run at different rates.
func (c clock) With(millis int64, now time.Time) clock {
	r := clockReading{millis: millis, at: now}
	if !c.known() || !r.lags(c.clockReading) {
		return clock{clockReading: r}
	}
	if c.nextFrom.IsZero() {
		c.next, c.nextFrom = r, now
	}
	if !r.lags(c.next) {
		c.next = r
	}
	if now.Sub(c.nextFrom) < clockWindow {
		return c
	}
	return clock{clockReading: c.next}
}

// known reports whether any message has been read.
func (c clock) known() bool { return c.millis != 0 }
