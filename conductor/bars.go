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

// Bars of requests that end upstreams, noted in the platform's store: a write for each bar,
// and one for its end. After a loss of all hosts such a request would have to end three more
// upstreams before it is known again.

// barPrefix begins the key of a noted bar; the identity in hexadecimal digits follows.
const barPrefix = "barred/"

// barOf returns the identity that a note's key names.
func barOf(key string) (quarantiner.Identity, bool) {
	var id quarantiner.Identity
	text, ok := strings.CutPrefix(key, barPrefix)
	return id, ok && id.UnmarshalText([]byte(text)) == nil
}

// notedBar is the value of a note.
type notedBar struct {
	Word quarantiner.Word `cbor:"1,keyasint"`
	At   int64            `cbor:"2,keyasint"` // At is when it was noted, in milliseconds of the time of day.
}

// barNotes remembers which bars are noted. The zero value is ready.
type barNotes struct {
	noted map[quarantiner.Identity]bool
}

// keep notes new bars, and drops the notes of those that are no more.
func (b *barNotes) keep(h *Host) {
	if h.quarantine.Len() == 0 && len(b.noted) == 0 {
		return
	}
	stands := make(map[quarantiner.Identity]bool)
	for _, w := range h.quarantine.Bars(h.opts.Timer.Now()) {
		stands[w.Identity] = true
		if !b.noted[w.Identity] && h.noteBar(w) {
			b.add(w.Identity)
		}
	}
	for id := range b.noted {
		if !stands[id] && h.noteDown(barPrefix+id.String(), nil) == nil {
			delete(b.noted, id)
		}
	}
}

func (b *barNotes) add(id quarantiner.Identity) {
	if b.noted == nil {
		b.noted = make(map[quarantiner.Identity]bool)
	}
	b.noted[id] = true
}

func (h *Host) noteBar(w quarantiner.Word) bool {
	value, err := codec.Marshal(notedBar{Word: w, At: time.Now().UnixMilli()})
	if err != nil {
		panic("conductor: bar cannot be encoded: " + err.Error())
	}
	if err = h.noteDown(barPrefix+w.Identity.String(), value); err != nil {
		h.log.Warn().Err(err).Stringer("Identity", w.Identity).Msg(logger.BarUnnoted)
	}
	return err == nil
}

// recall returns what is noted of bars.
func (b *barNotes) recall(h *Host, noted map[string][]byte) []quarantiner.Word {
	var words []quarantiner.Word
	for key, value := range noted {
		id, ok := barOf(key)
		if !ok || len(value) == 0 {
			continue
		}
		var n notedBar
		if err := codec.Unmarshal(value, &n); err != nil || n.Word.Identity != id {
			h.log.Warn().AnErr("Failure", err).Str("Key", key).Msg(logger.BarUnread)
			continue
		}
		n.Word.Age = max(0, n.Word.Age) + max(0, time.Since(time.UnixMilli(n.At)))
		words = append(words, n.Word)
		b.add(id)
	}
	return words
}
