// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/timer"
)

// lateView is a ViewSource that becomes ready after some calls of Load.
type lateView struct {
	loads atomic.Int32
	after int32
	early *follower.View // early is the view before; nil for an empty one.
	view  *follower.View
}

func (b *lateView) Load() *follower.View {
	if b.loads.Add(1) <= b.after {
		return cmp.Or(b.early, &follower.View{})
	}
	return b.view
}

// handle has an Exchanger with this view handle a request, whose upstreams answer at once, and returns the status.
func (b *lateView) handle(r *Request) (int, Outcome) {
	p := placer.New(placer.Options{})
	p.Update(b.view)
	sender := &blockingSender{release: make(chan struct{})}
	close(sender.release)
	x := New(Options{Views: b, Placer: p, Sender: sender, Budget: retrier.NewSharedBudgets(retrier.Allowance{}), Timer: timer.NewSystem()})
	caller := &recorder{}
	o := x.Handle(context.Background(), r, caller)
	return caller.status, o
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
			r := &Request{ID: "1", Start: time.Now(), Method: "POST", Host: "h", Path: "/r/x", Key: "key", Timeout: c.patience}
			status, _ := b.handle(r)
			assert.Equal(t, status, c.want)
		})
	}
}

// TestPassedOnRequestsNeedTheirConfiguration guards against requests that are passed on and decided by an older
// configuration than the one that decided them before.
func TestPassedOnRequestsNeedTheirConfiguration(t *testing.T) {
	for _, c := range []struct {
		name          string
		configuration uint64 // configuration is the version at the host that passed the request on.
		after         int32  // after is the number of loads until this host has version 2.
		want          int
	}{
		{"the same", 2, 0, http.StatusOK},
		{"an older one", 1, 0, http.StatusOK},
		{"arrives in a moment", 2, 1, http.StatusOK},
		{"does not arrive", 2, 1 << 30, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &lateView{after: c.after, early: versionedView(1), view: versionedView(2)}
			r := &Request{
				ID: "1", Start: time.Now(), Method: "POST", Host: "h", Path: "/r/x", Key: "key", Timeout: time.Second,
				PassedBy: "host", Configuration: c.configuration,
			}
			status, o := b.handle(r)
			assert.Equal(t, status, c.want)
			if c.want != http.StatusOK {
				assert.Equal(t, o.Reason, ReasonNotReady)
				assert.Assert(t, !isFinal(o.Reason), "the other host tries the next one")
			}
		})
	}
}

// versionedView returns a view with a version of the configuration.
func versionedView(version uint64) *follower.View {
	view := testView("Idempotent")
	view.Table = matcher.New(matcher.Parts{
		Version: version, Services: []matcher.Service{{Name: "s"}}, Workspaces: []matcher.Workspace{{Name: "w", Keys: []string{"key"}}},
		Routes: []matcher.Route{{
			Name: "r", Host: "h", PathPrefix: "/r/", Kind: matcher.KindIdempotent, MaxAttempts: 2, Timeout: time.Second,
			Services: []matcher.Share{{Service: "s", Weight: 1}},
		}},
	})
	return view
}
