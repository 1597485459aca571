// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package hedger

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	errFirst  = errors.New("first")
	errSecond = errors.New("second")
)

// returns is a call that returns at once.
func returns(value string, err error) func(context.Context) (string, error) {
	return func(context.Context) (string, error) { return value, err }
}

// hangs is a call that returns when its context is done.
func hangs(ctx context.Context) (string, error) {
	<-ctx.Done()
	return "", ctx.Err()
}

// after is a call that returns an error once another one has been made.
func after(made <-chan struct{}, err error) func(context.Context) (string, error) {
	return func(context.Context) (string, error) {
		<-made
		return "", err
	}
}

// TestDo checks what is returned for each order in which two calls end.
func TestDo(t *testing.T) {
	made := make(chan struct{})
	close(made)
	for _, c := range []struct {
		name          string
		delay         time.Duration
		first, second func(context.Context) (string, error)
		want          string
		err           error
	}{
		{"first succeeds", time.Hour, returns("a", nil), returns("b", nil), "a", nil},
		{"first fails at once", time.Hour, returns("", errFirst), returns("b", nil), "", errFirst},
		{"first hangs", 0, hangs, returns("b", nil), "b", nil},
		{"both fail", 0, after(made, errFirst), returns("", errSecond), "", errFirst},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := Do(t.Context(), c.delay, c.first, c.second)
			assert.Equal(t, got, c.want)
			assert.Assert(t, errors.Is(err, c.err) || c.err == nil && err == nil, "%v", err)
		})
	}
}

// TestDoWaits checks that a failure of the second call does not end the first one.
func TestDoWaits(t *testing.T) {
	failed := make(chan struct{})
	first := func(context.Context) (string, error) {
		<-failed
		return "a", nil
	}
	second := func(context.Context) (string, error) {
		defer close(failed)
		return "", errSecond
	}
	got, err := Do(t.Context(), 0, first, second)
	assert.NilError(t, err)
	assert.Equal(t, got, "a")
}

// TestDoEndsWithContext checks that Do returns when its context is done.
func TestDoEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Do(ctx, 0, hangs, hangs)
	assert.Assert(t, errors.Is(err, context.Canceled))
}
