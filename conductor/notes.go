// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"time"

	"amaranthgate.example/amaranthgate/logger"
)

// noteTimeout bounds a call to the store for a note.
const noteTimeout = time.Second

// notes is what one host, the first in rank, keeps in the platform's store for hosts that
// start after a loss of all. The zero value is ready.
type notes struct {
	recalled bool
	namings  namingNotes
	bars     barNotes
}

// keep recalls once what was noted before, and notes what is due.
func (n *notes) keep(h *Host) {
	if !n.recalled {
		n.recalled = n.recall(h)
	}
	n.namings.keep(h)
	n.bars.keep(h)
}

// recall reads what hosts of before have noted, and reports whether it could.
func (n *notes) recall(h *Host) bool {
	ctx, cancel := context.WithTimeout(h.ctx, noteTimeout)
	defer cancel()
	asked := h.opts.Timer.Now()
	noted, err := h.opts.Store.Notes(ctx)
	h.counters.store("notes", asked, h.opts.Timer.Now(), err)
	if err != nil {
		h.log.Warn().Err(err).Msg(logger.NamingsUnread)
		return false
	}
	if namings := h.namingsIn(noted); len(namings) > 0 {
		h.post(NamingsRecalled{Namings: namings})
	}
	if words := n.bars.recall(h, noted); len(words) > 0 {
		h.post(EndsRecalled{Words: words})
	}
	return true
}

// noteDown keeps a value under a key; an empty one drops the key.
func (h *Host) noteDown(key string, value []byte) error {
	ctx, cancel := context.WithTimeout(h.ctx, noteTimeout)
	defer cancel()
	asked := h.opts.Timer.Now()
	err := h.opts.Store.Note(ctx, key, value)
	h.counters.store("note", asked, h.opts.Timer.Now(), err)
	return err
}
