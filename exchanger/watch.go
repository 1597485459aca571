// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/follower"
)

// watchTime is when a host looks whether an upstream has ended at which it has given up a
// request: such requests end theirs within 0.4 s, and an upstream is away for 1 s at least.
const watchTime = 600 * time.Millisecond

// watcher looks after upstreams at which requests were given up. Nothing is under way there
// any more by which this host would notice their end, and the next request may be sent to
// another host.
type watcher struct {
	opts *Options

	mu    sync.Mutex
	again map[string]bool // again has the starts that are watched, and whether another look is due.
}

// left takes in that a request was given up at an upstream.
func (w *watcher) left(u follower.Upstream) {
	if w.opts.Gone == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, watched := w.again[u.Start()]; watched {
		w.again[u.Start()] = true
		return
	}
	if w.again == nil {
		w.again = make(map[string]bool)
	}
	w.again[u.Start()] = false
	w.later(u)
}

func (w *watcher) later(u follower.Upstream) {
	w.opts.Timer.After(watchTime, func(time.Time) { go w.look(u) })
}

// look asks whether the upstream has ended. Requests that were given up since the look was
// due are looked after by another one.
func (w *watcher) look(u follower.Upstream) {
	if w.opts.Gone(u.Address) {
		w.opts.Quarantine.Gone(w.opts.Timer.Now(), u.Start())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.again[u.Start()] {
		delete(w.again, u.Start())
		return
	}
	w.again[u.Start()] = false
	w.later(u)
}
