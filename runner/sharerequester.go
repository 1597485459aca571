// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package runner

import (
	"context"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/controller"
)

// Times of requests for a larger share of a limit.
const (
	minShareRequestInterval = time.Second            // for one workspace
	shareRequestTimeout     = 200 * time.Millisecond // bounds the wait of a caller's request
	assumedUsageInterval    = 50 * time.Millisecond  // interval that the usage read is assumed to cover
)

// shareRequester requests larger shares between the periodic requests, because a
// workspace that was idle at this host has only the minimum share. It implements
// server.ShareRequester.
type shareRequester struct {
	host *Host

	mu          sync.Mutex
	requestedAt map[string]time.Time
	waiters     map[string]chan struct{} // waiters are closed when a workspace's limit is set.
}

func newShareRequester(h *Host) *shareRequester {
	return &shareRequester{host: h, requestedAt: make(map[string]time.Time), waiters: make(map[string]chan struct{})}
}

// RequestShare implements server.ShareRequester.
func (r *shareRequester) RequestShare(ctx context.Context, workspace string) bool {
	now := r.host.timer.Now()
	r.mu.Lock()
	if now.Sub(r.requestedAt[workspace]) < minShareRequestInterval {
		r.mu.Unlock()
		return false
	}
	r.requestedAt[workspace] = now
	ch := make(chan struct{})
	r.waiters[workspace] = ch
	r.mu.Unlock()
	r.host.loop.post(controller.UsageRead{Usage: r.host.limiter.Read(), Interval: assumedUsageInterval})
	t := time.NewTimer(shareRequestTimeout)
	defer t.Stop()
	select {
	case <-ch:
	case <-t.C:
	case <-ctx.Done():
	}
	return true
}

// limitSet wakes the request that waits for a workspace's limit.
func (r *shareRequester) limitSet(workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ch := r.waiters[workspace]; ch != nil {
		close(ch)
		delete(r.waiters, workspace)
	}
}
