// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package quarantiner

// recentSet holds the identities added last: at least minServedKept and at most twice as many. Its zero
// value is ready for use.
type recentSet struct {
	newer, older map[Identity]struct{}
}

func (r *recentSet) add(id Identity) {
	if len(r.newer) >= minServedKept {
		r.older, r.newer = r.newer, nil
	}
	if r.newer == nil {
		r.newer = make(map[Identity]struct{})
	}
	r.newer[id] = struct{}{}
}

func (r *recentSet) has(id Identity) bool {
	if _, ok := r.newer[id]; ok {
		return true
	}
	_, ok := r.older[id]
	return ok
}
