// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"time"

	"amaranthgate.example/amaranthgate/logger"
)

// saveTimeout bounds a call to the store to save or restore state.
const saveTimeout = time.Second

// savedState is the state kept in the platform's store for hosts that start after the whole fleet
// was down. Only the host that is first in rank writes it. The zero value is ready to use.
type savedState struct {
	restored    bool
	versionAges savedVersionAges
	bars        savedBars
}

// update restores the saved state once, and saves what is due.
func (n *savedState) update(h *Host) {
	switch {
	case !n.restored:
		n.restored = n.restore(h)
	case h.saveAgain.Swap(false) && !n.compare(h):
		h.saveAgain.Store(true)
	}
	n.versionAges.update(h)
	n.bars.update(h)
}

// restore reads the saved state and reports whether it succeeded.
func (n *savedState) restore(h *Host) bool {
	saved, err := h.readSaved()
	if err != nil {
		return false
	}
	if ages := h.decodeVersionAges(saved); len(ages) > 0 {
		h.post(VersionAgesRestored{VersionAges: ages})
	}
	if entries := n.bars.restore(h, saved); len(entries) > 0 {
		h.quarantine.Merge(h.opts.Timer.Now(), entries) // before bars that no longer hold are removed
		h.post(QuarantineRestored{Entries: entries})
	}
	return true
}

// compare reads what the store still has of the saved state, so that the rest is saved again, and reports
// whether it succeeded. Bars that were removed and are back are removed again.
func (n *savedState) compare(h *Host) bool {
	saved, err := h.readSaved()
	if err != nil {
		return false
	}
	n.versionAges, n.bars = savedVersionAges{}, savedBars{}
	for key := range saved {
		if id, ok := parseBarKey(key); ok {
			n.bars.add(id)
		}
	}
	return true
}

// readSaved reads all saved values by key.
func (h *Host) readSaved() (map[string][]byte, error) {
	ctx, cancel := context.WithTimeout(h.ctx, saveTimeout)
	defer cancel()
	start := h.opts.Timer.Now()
	saved, err := h.opts.Store.Saved(ctx)
	h.counters.storeCall("notes", start, h.opts.Timer.Now(), err)
	if err != nil {
		h.log.Warn().Err(err).Msg(logger.NamingsUnread)
	}
	return saved, err
}

// save saves a value under a key; an empty value removes the key.
func (h *Host) save(key string, value []byte) error {
	ctx, cancel := context.WithTimeout(h.ctx, saveTimeout)
	defer cancel()
	start := h.opts.Timer.Now()
	err := h.opts.Store.Save(ctx, key, value)
	h.counters.storeCall("note", start, h.opts.Timer.Now(), err)
	return err
}
