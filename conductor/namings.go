// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/logger"
)

// Ages of weight versions, noted in the platform's store. Hosts tell each other since when
// weights are replaced; after a loss of all hosts nobody knew, and those that started took
// them for freshly replaced: stores full of two replaced versions were freed 16 s after the
// loss, and 7 M tokens of shared parts were read again meanwhile. An age that was noted
// earlier is a lower bound of the one now.

// notedAges are the ages at which a naming is noted again: five writes for each version.
var notedAges = []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, 15 * time.Second}

// namingNotes is what one host, the first in rank, notes. The zero value is ready.
type namingNotes struct {
	noted map[string]notedAge // noted is by model.
}

type notedAge struct {
	version uint64
	times   int // times is how many of notedAges have been noted.
}

// due returns the namings of the models for which one is to be noted now.
func (n *namingNotes) due(namings []follower.Naming) map[string][]follower.Naming {
	byModel := make(map[string][]follower.Naming)
	newest := make(map[string]follower.Naming)
	for _, named := range namings {
		byModel[named.Model] = append(byModel[named.Model], named)
		if named.Version > newest[named.Model].Version {
			newest[named.Model] = named
		}
	}
	for model, named := range newest {
		had := n.noted[model]
		times := passed(named.Age)
		if times == 0 || had.version == named.Version && had.times >= times {
			delete(byModel, model)
		}
	}
	return byModel
}

// passed returns how many of notedAges an age has reached.
func passed(age time.Duration) int {
	n := 0
	for n < len(notedAges) && age >= notedAges[n] {
		n++
	}
	return n
}

// wrote remembers what was noted.
func (n *namingNotes) wrote(model string, namings []follower.Naming) {
	if n.noted == nil {
		n.noted = make(map[string]notedAge)
	}
	newest := follower.Naming{}
	for _, named := range namings {
		if named.Version > newest.Version {
			newest = named
		}
	}
	n.noted[model] = notedAge{version: newest.Version, times: passed(newest.Age)}
}

// keep notes what is due.
func (n *namingNotes) keep(h *Host) {
	for model, namings := range n.due(h.view.Load().Namings(h.opts.Timer.Now())) {
		if h.noteNamings(model, namings) {
			n.wrote(model, namings)
		}
	}
}

func (h *Host) noteNamings(model string, namings []follower.Naming) bool {
	value, err := codec.Marshal(namings)
	if err != nil {
		panic("conductor: namings cannot be encoded: " + err.Error())
	}
	if err = h.noteDown(model, value); err != nil {
		h.log.Warn().Err(err).Str("Model", model).Msg(logger.NamingsUnnoted)
	}
	return err == nil
}

// namingsIn returns the namings among notes.
func (h *Host) namingsIn(notes map[string][]byte) []follower.Naming {
	var out []follower.Naming
	for model, value := range notes {
		if _, ok := barOf(model); ok {
			continue
		}
		var namings []follower.Naming
		if err := codec.Unmarshal(value, &namings); err != nil {
			h.log.Warn().Err(err).Str("Model", model).Msg(logger.NamingsUnread)
			continue
		}
		out = append(out, namings...)
	}
	return out
}
