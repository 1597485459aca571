// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import "time"

// usage is the work started for workspaces in the current and the previous second.
type usage struct {
	work  map[usageKey]*work
	epoch time.Time // epoch is the start of the current second.
}

type usageKey struct{ group, workspace string }

type work struct{ current, previous float64 }

const usageInterval = time.Second

// add adds the work of an item that starts.
func (u *usage) add(now time.Time, it *Item) {
	if it.Group == "" {
		return
	}
	u.expire(now)
	if u.work == nil {
		u.work = make(map[usageKey]*work)
	}
	key := usageKey{it.Group, it.Workspace}
	w := u.work[key]
	if w == nil {
		w = &work{}
		u.work[key] = w
	}
	w.current += it.Cost
}

// expire begins a new second if the current one is over.
func (u *usage) expire(now time.Time) {
	age := now.Sub(u.epoch)
	if age < usageInterval {
		return
	}
	u.epoch = now
	for key, w := range u.work {
		w.current, w.previous = 0, w.current
		if w.previous == 0 || age >= 2*usageInterval {
			delete(u.work, key)
		}
	}
}

// of returns the work started for a workspace in the last one to two seconds.
func (u *usage) of(group, workspace string) float64 {
	if w := u.work[usageKey{group, workspace}]; w != nil {
		return w.current + w.previous
	}
	return 0
}
