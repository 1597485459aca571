// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package hedger repeats idempotent calls that have not returned after a time.
//
// A call on a connection that has fallen silent returns at its time limit only, while the same call on
// another connection would return at once. Do makes a second call beside such a one and returns the first success.
//
// # Usage
//
//	page, err := hedger.Do(ctx, 250*time.Millisecond, read, readOnNewConnection)
package hedger

import (
	"context"
	"time"
)

// outcome is what a call has returned.
type outcome[T any] struct {
	value T
	err   error
}

// Do makes the first call, and the second one if the first has not returned after delay. It returns the value of
// whichever succeeds first and cancels the context of the other, or the error of the first call if both fail. The
// calls must be idempotent and must return soon after their context is done.
func Do[T any](ctx context.Context, delay time.Duration, first, second func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	primary := start(ctx, first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case o := <-primary:
		return o.value, o.err
	case <-timer.C:
	}
	secondary := start(ctx, second)
	var failed *outcome[T]
	for {
		select {
		case o := <-primary:
			if o.err == nil || secondary == nil {
				return o.value, o.err
			}
			failed, primary = &o, nil
		case o := <-secondary:
			switch {
			case o.err == nil:
				return o.value, nil
			case failed != nil:
				return failed.value, failed.err
			}
			secondary = nil
		}
	}
}

func start[T any](ctx context.Context, call func(ctx context.Context) (T, error)) <-chan outcome[T] {
	done := make(chan outcome[T], 1)
	go func() {
		v, err := call(ctx)
		done <- outcome[T]{v, err}
	}()
	return done
}
