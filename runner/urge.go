// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package runner

import (
	"context"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/controller"
)

// Bounds of asking for a larger share of a limit out of turn.
const (
	urgeAgain = time.Second            // urgeAgain is the least time between two questions for one workspace.
	urgeWait  = 200 * time.Millisecond // urgeWait is how long a request waits for the answer, which usually takes a few milliseconds.
	urgeSpan  = 50 * time.Millisecond  // urgeSpan is the time for which the usage since the last reading is taken to stand.
)

// urger asks for larger shares out of turn: a workspace that was idle here has
// only the floor of its limit until this host has asked. It implements
// server.Shares.
type urger struct {
	host *Host

	mu     sync.Mutex
	asked  map[string]time.Time
	change map[string]chan struct{} // change is closed when a workspace's limit is set.
}

func newUrger(h *Host) *urger {
	return &urger{host: h, asked: make(map[string]time.Time), change: make(map[string]chan struct{})}
}

// RequestShare implements server.Shares.
func (u *urger) RequestShare(ctx context.Context, workspace string) bool {
	now := u.host.timer.Now()
	u.mu.Lock()
	if now.Sub(u.asked[workspace]) < urgeAgain {
		u.mu.Unlock()
		return false
	}
	u.asked[workspace] = now
	ch := make(chan struct{})
	u.change[workspace] = ch
	u.mu.Unlock()
	u.host.loop.post(controller.UsageRead{Usage: u.host.limiter.Read(), Interval: urgeSpan})
	t := time.NewTimer(urgeWait)
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	case <-ctx.Done():
	}
	return true
}

// changed tells that a workspace's limit was set.
func (u *urger) changed(workspace string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if ch := u.change[workspace]; ch != nil {
		close(ch)
		delete(u.change, workspace)
	}
}
