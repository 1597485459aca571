// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/follower"
)

// checkDelay is the time from an abandoned attempt to the check of its upstream: long
// enough for the request to terminate the upstream, and shorter than a restart. The
// former takes up to 0.4 s, the latter 1 s or more.
const checkDelay = 600 * time.Millisecond

// watcher checks whether upstreams terminate after attempts there were abandoned, which
// this host would otherwise not notice without another request in progress.
type watcher struct {
	opts *Options

	mu      sync.Mutex
	recheck map[string]bool // recheck is keyed by start and says whether to repeat a pending check.
}

// watch schedules a check of an upstream at which an attempt was abandoned.
func (w *watcher) watch(u follower.Upstream) {
	if w.opts.Terminated == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, watched := w.recheck[u.InstanceID()]; watched {
		w.recheck[u.InstanceID()] = true
		return
	}
	if w.recheck == nil {
		w.recheck = make(map[string]bool)
	}
	w.recheck[u.InstanceID()] = false
	w.schedule(u)
}

func (w *watcher) schedule(u follower.Upstream) {
	w.opts.Timer.After(checkDelay, func(time.Time) { go w.check(u) })
}

// check records that the upstream terminated if it did, and schedules another check if
// attempts were abandoned after this one was scheduled.
func (w *watcher) check(u follower.Upstream) {
	if w.opts.Terminated(u.Address) {
		w.opts.Quarantine.InstanceEnded(w.opts.Timer.Now(), u.InstanceID())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.recheck[u.InstanceID()] {
		delete(w.recheck, u.InstanceID())
		return
	}
	w.recheck[u.InstanceID()] = false
	w.schedule(u)
}
