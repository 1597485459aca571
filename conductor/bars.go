// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"strings"
	"time"

	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/quarantiner"
)

// Barred requests are saved in the platform's store, so that a fleet that restarts as a whole does
// not lose more upstreams before it bars them again.

// savedBarPrefix begins the key of a saved bar; the identity in hexadecimal follows.
const savedBarPrefix = "barred/"

// parseBarKey returns the identity that a store key names.
func parseBarKey(key string) (quarantiner.Identity, bool) {
	var id quarantiner.Identity
	text, ok := strings.CutPrefix(key, savedBarPrefix)
	return id, ok && id.UnmarshalText([]byte(text)) == nil
}

// savedBar is a bar as it is stored.
type savedBar struct {
	Entry quarantiner.Entry `cbor:"1,keyasint"`
	At    int64             `cbor:"2,keyasint"` // At is when it was saved, in Unix milliseconds.
}

// savedBars tracks which bars are saved. The zero value is ready to use.
type savedBars struct {
	saved map[quarantiner.Identity]bool
}

// update saves new bars and removes those that no longer hold.
func (b *savedBars) update(h *Host) {
	if h.quarantine.Len() == 0 && h.quarantine.Parts() == 0 && len(b.saved) == 0 {
		return
	}
	barred := make(map[quarantiner.Identity]bool)
	for _, w := range h.quarantine.Bars(h.opts.Timer.Now()) {
		barred[w.Identity] = true
		if !b.saved[w.Identity] && h.saveBar(w) {
			b.add(w.Identity)
		}
	}
	for id := range b.saved {
		if !barred[id] && h.save(savedBarPrefix+id.String(), nil) == nil {
			delete(b.saved, id)
		}
	}
}

func (b *savedBars) add(id quarantiner.Identity) {
	if b.saved == nil {
		b.saved = make(map[quarantiner.Identity]bool)
	}
	b.saved[id] = true
}

func (h *Host) saveBar(w quarantiner.Entry) bool {
	value, err := codec.Marshal(savedBar{Entry: w, At: time.Now().UnixMilli()})
	if err != nil {
		panic("conductor: bar cannot be encoded: " + err.Error())
	}
	if err = h.save(savedBarPrefix+w.Identity.String(), value); err != nil {
		h.log.Warn().Err(err).Stringer("Identity", w.Identity).Msg(logger.BarUnnoted)
	}
	return err == nil
}

// restore returns the saved bars.
func (b *savedBars) restore(h *Host, saved map[string][]byte) []quarantiner.Entry {
	var entries []quarantiner.Entry
	for key, value := range saved {
		id, ok := parseBarKey(key)
		if !ok || len(value) == 0 {
			continue
		}
		var n savedBar
		if err := codec.Unmarshal(value, &n); err != nil || n.Entry.Identity != id {
			h.log.Warn().AnErr("Failure", err).Str("Key", key).Msg(logger.BarUnread)
			continue
		}
		n.Entry.Age = max(0, n.Entry.Age) + max(0, time.Since(time.UnixMilli(n.At)))
		entries = append(entries, n.Entry)
		b.add(id)
	}
	return entries
}
