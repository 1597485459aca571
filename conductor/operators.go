// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/registrar"
	"amaranthgate.example/amaranthgate/throttler"
	"amaranthgate.example/amaranthgate/tracker"
)

// Dump is the state of a host. It contains no workspace tokens.
type Dump struct {
	Settings  loader.Settings
	Ready     bool
	Leaving   bool
	Reach     *ReachDump // Reach is what the host knows of its connections to upstreams; nil if it does not watch them.
	Open      int64
	Version   uint64 // Version is that of the configuration in force; 0 if there is none.
	Named     map[string]follower.VersionHistory
	Evacuated map[string]bool // Evacuated are availability zones whose upstreams get no new requests.
	StoreEra  uint64          // StoreEra is the newest era that the store has stated to this host.
	Feeds     map[follower.Feed]FeedDump
	Hosts     []tracker.HostRecord
	Upstreams []follower.Upstream
	Placement placer.Dump
	Barred    []quarantiner.Entry // Barred are requests that are no longer sent to any upstream.
	Repeated  []quarantiner.Entry // Repeated are requests under which several upstreams have ended.
	// Parts are parts of prompts under which several upstreams have ended, and BarredParts those of them that are barred.
	Parts       []quarantiner.Entry
	BarredParts []quarantiner.Entry
	// RateLimits are the rate limits that upstreams have declared.
	RateLimits []throttler.Dump
	Contention *arbiter.Dump  // Contention is what waits at this host and at others; nil if hosts have no common order.
	Streams    registrar.Dump // Streams is what this host knows of where streams began.
	Suspects   int            // Suspects counts requests under which upstreams have ended.
	// PartSuspects counts parts of prompts under which upstreams have ended.
	PartSuspects int
}

// divideEntries divides entries of the quarantine into those of requests and of parts of prompts.
func divideEntries(entries []quarantiner.Entry) (requests, parts []quarantiner.Entry) {
	for _, w := range entries {
		if w.OfPart() {
			parts = append(parts, w)
		} else {
			requests = append(requests, w)
		}
	}
	return requests, parts
}

// Dump returns the current state of the host.
func (h *Host) Dump() Dump {
	view := h.view.Load()
	d := Dump{
		Settings:  h.opts.Settings.Redacted(),
		Ready:     h.Ready(),
		Leaving:   h.Leaving(),
		Reach:     h.reach.dump(h.opts.Timer.Now()),
		Open:      h.open.Load(),
		Named:     view.Versions,
		Evacuated: view.Evacuated,
		StoreEra:  h.opts.Store.Era(),
		Feeds:     h.dumpFeeds(),
		Hosts:     *h.hosts.Load(),
		Placement: h.placer.Dump(h.opts.Timer.Now()),
		Suspects:  h.quarantine.Len(),
		Streams:   h.registrar.Dump(),

		RateLimits: h.throttler.Dump(h.opts.Timer.Now()),

		PartSuspects: h.quarantine.Parts(),
	}
	d.Barred, d.BarredParts = divideEntries(h.quarantine.Bars(h.opts.Timer.Now()))
	d.Repeated, d.Parts = divideEntries(h.quarantine.Entries(h.opts.Timer.Now()))
	if h.contention.arbiter != nil {
		c := h.contention.arbiter.Dump(h.opts.Timer.Now())
		d.Contention = &c
	}
	for u := range view.Upstreams.All() {
		d.Upstreams = append(d.Upstreams, *u)
	}
	if view.Table != nil {
		d.Version = view.Table.Version()
	}
	return d
}

// FeedDump says up to where a host knows a feed.
type FeedDump struct {
	Era    uint64        // Era is that of Offset.
	Offset int64         // Offset is the one after the last known record.
	Newest int64         // Newest is the offset of the newest known record.
	Digest uint32        // Digest is that of the known records; it is the same at all hosts at one offset.
	Missed int           // Missed counts records that other hosts had and this one had passed without them.
	Age    time.Duration // Age is the time since the host last knew all records; negative if it never did.
}

func (h *Host) dumpFeeds() map[follower.Feed]FeedDump {
	out := make(map[follower.Feed]FeedDump)
	for name, f := range *h.feeds.Load() {
		d := FeedDump{Era: f.Position.Era, Offset: f.Position.Offset, Newest: f.Newest.Offset, Digest: f.Digest, Missed: f.Missed, Age: -1}
		if !f.CurrentAt.IsZero() {
			d.Age = h.opts.Timer.Now().Sub(f.CurrentAt)
		}
		out[name] = d
	}
	return out
}

// operators serves the operators' endpoints: metrics, state dump and quarantine.
func (h *Host) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		h.counters.write(w)
	})
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(h.Dump()) // the client can retry
	})
	mux.HandleFunc("POST /quarantine/lift", h.lift)
	return mux
}

// lift removes a request from the quarantine.
func (h *Host) lift(w http.ResponseWriter, r *http.Request) {
	operator, token, ok := r.BasicAuth()
	if !ok || !slices.Contains(h.opts.Settings.OperatorDigests, configurer.TokenDigest(token)) {
		http.Error(w, "an operator's token is needed", http.StatusUnauthorized)
		return
	}
	var id quarantiner.Identity
	if err := id.UnmarshalText([]byte(r.FormValue("identity"))); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lifted := h.quarantine.Lift(h.opts.Timer.Now(), id)
	h.log.Info().Stringer("Identity", id).Str("Operator", operator).Bool("Known", lifted).Msg(logger.BarLifted)
	if !lifted {
		http.Error(w, "no upstream has ended under this request, as far as this host knows", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
