// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package timer

import (
	"context"
	"time"
)

// WithDeadline returns a context that is done at the given time of s, which includes suspended time, or when
// its parent is.
func WithDeadline(parent context.Context, s Service, at time.Time) (context.Context, context.CancelFunc) {
	left := at.Sub(s.Now())
	ctx, cancel := context.WithCancelCause(parent)
	d := &deadline{Context: ctx, at: time.Now().Add(left)}
	if left <= 0 {
		cancel(context.DeadlineExceeded)
		return d, func() {}
	}
	stop := s.After(left, func(time.Time) { cancel(context.DeadlineExceeded) })
	return d, func() {
		stop()
		cancel(context.Canceled)
	}
}

// deadline is a context that distinguishes its own expiry from its parent's end.
type deadline struct {
	context.Context
	at time.Time // at is on the clock of time.Now.
}

// Deadline implements context.Context.
func (d *deadline) Deadline() (time.Time, bool) {
	if parent, ok := d.Context.Deadline(); ok && parent.Before(d.at) {
		return parent, true
	}
	return d.at, true
}

// Err implements context.Context.
func (d *deadline) Err() error {
	err := d.Context.Err()
	if err != nil && context.Cause(d.Context) == context.DeadlineExceeded {
		return context.DeadlineExceeded
	}
	return err
}
