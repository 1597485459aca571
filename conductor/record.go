// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"github.com/rs/zerolog"

	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/placer"
)

// record writes the one line of a request: what became of it, and for each
// attempt what the choice was based on. Requests that went well are left out
// below the level debug.
func (h *Host) record(r *exchanger.Request, o exchanger.Outcome) {
	ev := h.log.Debug()
	if o.Late || o.Reason != exchanger.ReasonNone || o.Status >= 500 {
		ev = h.log.Info()
	}
	if !ev.Enabled() {
		return
	}
	ev.Str("RequestID", r.ID).Int("Status", o.Status).Str("Route", o.Route)
	if o.Reason != exchanger.ReasonNone {
		ev.Str("Reason", string(o.Reason)).Str("Detail", o.Detail)
	}
	if len(o.Choices) > 0 {
		ev.Array("Attempts", attempts(o.Choices))
	}
	ev.Bool("Late", o.Late).Int("Events", o.Events).Dur("First", o.First).Dur("Took", o.Took).Msg("request")
}

// attempts writes choices into a log line.
type attempts []placer.Choice

// MarshalZerologArray writes each choice as an object.
func (a attempts) MarshalZerologArray(arr *zerolog.Array) {
	for i := range a {
		arr.Object((*attempt)(&a[i]))
	}
}

type attempt placer.Choice

// MarshalZerologObject writes the upstream and what its choice was based on.
func (c *attempt) MarshalZerologObject(e *zerolog.Event) {
	b := c.Basis
	e.Str("Upstream", c.Upstream.ID).Dur("Estimate", b.Estimate).Int("Requests", b.Work.Requests).
		Int("Pending", b.Work.Pending).Int("Memory", b.Work.Memory).Int("Missing", b.Missing).Int("Moved", b.Moved).
		Uint64("Weights", c.Weights).Dur("PeersAge", b.PeersAge)
}
