// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package quarantiner

// recent remembers the identities that were added last: mostServed at least, twice as many
// at most. Its zero value is ready.
type recent struct {
	newer, older map[Identity]struct{}
}

func (r *recent) add(id Identity) {
	if len(r.newer) >= mostServed {
		r.older, r.newer = r.newer, nil
	}
	if r.newer == nil {
		r.newer = make(map[Identity]struct{})
	}
	r.newer[id] = struct{}{}
}

func (r *recent) has(id Identity) bool {
	if _, ok := r.newer[id]; ok {
		return true
	}
	_, ok := r.older[id]
	return ok
}
