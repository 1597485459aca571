// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/logger"
)

// Ages of weight versions are saved in the platform's store, so that hosts that start after the
// whole fleet was down know how long ago weights were replaced. A saved age is a lower bound of the
// current one. Without saved ages, starting hosts took all weights for freshly replaced: stores full
// of replaced versions were freed only 16 s after the loss of the fleet, and 7 M tokens of shared
// parts were prefilled again meanwhile.

// saveAges are the ages at which a version is saved again.
var saveAges = []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, 15 * time.Second}

// savedVersionAges tracks which versions are saved. The zero value is ready to use.
type savedVersionAges struct {
	saved map[string]savedAge // saved is by model.
}

type savedAge struct {
	version uint64
	times   int // times is how many of saveAges have been saved.
}

// due returns the version ages to save now, by model.
func (n *savedVersionAges) due(ages []follower.VersionAge) map[string][]follower.VersionAge {
	byModel := make(map[string][]follower.VersionAge)
	newest := make(map[string]follower.VersionAge)
	for _, versionAge := range ages {
		byModel[versionAge.Model] = append(byModel[versionAge.Model], versionAge)
		if versionAge.Version > newest[versionAge.Model].Version {
			newest[versionAge.Model] = versionAge
		}
	}
	for model, versionAge := range newest {
		last := n.saved[model]
		times := agesReached(versionAge.Age)
		if times == 0 || last.version == versionAge.Version && last.times >= times {
			delete(byModel, model)
		}
	}
	return byModel
}

// agesReached returns how many of saveAges an age has reached.
func agesReached(age time.Duration) int {
	n := 0
	for n < len(saveAges) && age >= saveAges[n] {
		n++
	}
	return n
}

func (n *savedVersionAges) markSaved(model string, ages []follower.VersionAge) {
	if n.saved == nil {
		n.saved = make(map[string]savedAge)
	}
	newest := follower.VersionAge{}
	for _, versionAge := range ages {
		if versionAge.Version > newest.Version {
			newest = versionAge
		}
	}
	n.saved[model] = savedAge{version: newest.Version, times: agesReached(newest.Age)}
}

// update saves the version ages that are due.
func (n *savedVersionAges) update(h *Host) {
	for model, ages := range n.due(h.view.Load().VersionAges(h.opts.Timer.Now())) {
		if h.saveVersionAges(model, ages) {
			n.markSaved(model, ages)
		}
	}
}

func (h *Host) saveVersionAges(model string, ages []follower.VersionAge) bool {
	value, err := codec.Marshal(ages)
	if err != nil {
		panic("conductor: version ages cannot be encoded: " + err.Error())
	}
	if err = h.save(model, value); err != nil {
		h.log.Warn().Err(err).Str("Model", model).Msg(logger.NamingsUnnoted)
	}
	return err == nil
}

// decodeVersionAges returns the version ages among saved values.
func (h *Host) decodeVersionAges(saved map[string][]byte) []follower.VersionAge {
	var out []follower.VersionAge
	for model, value := range saved {
		if _, ok := parseBarKey(model); ok {
			continue
		}
		var ages []follower.VersionAge
		if err := codec.Unmarshal(value, &ages); err != nil {
			h.log.Warn().Err(err).Str("Model", model).Msg(logger.NamingsUnread)
			continue
		}
		out = append(out, ages...)
	}
	return out
}
