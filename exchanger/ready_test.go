// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/timer"
)

// lateView is a ViewSource that becomes ready after some calls of Load.
type lateView struct {
	loads atomic.Int32
	after int32
	view  *follower.View
}

func (b *lateView) Load() *follower.View {
	if b.loads.Add(1) <= b.after {
		return &follower.View{}
	}
	return b.view
}

// TestHostBecomesReady checks that a request waits for a starting host within the limit,
// and is refused at once if the caller gives no timeout.
func TestHostBecomesReady(t *testing.T) {
	for _, c := range []struct {
		name     string
		after    int32
		patience time.Duration
		want     int
	}{
		{"ready at once", 0, time.Minute, http.StatusOK},
		{"ready in a moment", 1, time.Minute, http.StatusOK},
		{"a caller that names no time", 3, 0, http.StatusServiceUnavailable},
		{"not ready in time", 1 << 30, 100 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &lateView{after: c.after, view: testView("Idempotent")}
			p := placer.New(placer.Options{})
			p.Update(b.view)
			sender := &blockingSender{release: make(chan struct{})}
			close(sender.release)
			x := New(Options{Views: b, Placer: p, Sender: sender, Budget: retrier.NewSharedBudgets(retrier.Allowance{}), Timer: timer.NewSystem()})
			caller := &recorder{}
			r := &Request{ID: "1", Start: time.Now(), Method: "POST", Host: "h", Path: "/r/x", Key: "key", Timeout: c.patience}
			x.Handle(context.Background(), r, caller)
			assert.Equal(t, caller.status, c.want)
		})
	}
}
