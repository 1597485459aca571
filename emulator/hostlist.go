// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package emulator

import (
	"net/http"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/connector"
)

// HostList emulates the platform's host list. Changes become visible after a
// lag.
type HostList struct {
	lag time.Duration
	now func() time.Time

	mu      sync.Mutex
	changes []listChange
}

type listChange struct {
	at       time.Time
	upstream bool
	removed  bool
	entry    connector.ListedHost
}

// NewHostList returns an empty list whose changes become visible after lag.
func NewHostList(lag time.Duration) *HostList { return &HostList{lag: lag, now: time.Now} }

// PutHost adds or replaces one of the system's hosts.
func (h *HostList) PutHost(e connector.ListedHost) { h.put(listChange{entry: e}) }

// PutUpstream adds or replaces the host of an upstream.
func (h *HostList) PutUpstream(e connector.ListedHost) { h.put(listChange{entry: e, upstream: true}) }

// RemoveHost removes one of the system's hosts.
func (h *HostList) RemoveHost(name string) {
	h.put(listChange{entry: connector.ListedHost{Host: name}, removed: true})
}

func (h *HostList) put(c listChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.at = h.now()
	h.changes = append(h.changes, c)
}

// Answer returns the visible state of the list.
func (h *HostList) Answer() connector.HostListAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	visible := h.now().Add(-h.lag)
	var a connector.HostListAnswer
	for _, c := range h.changes {
		if c.at.After(visible) {
			break
		}
		if c.upstream {
			a.Upstreams = applyChange(a.Upstreams, c)
		} else {
			a.Hosts = applyChange(a.Hosts, c)
		}
	}
	return a
}

func applyChange(list []connector.ListedHost, c listChange) []connector.ListedHost {
	for i := range list {
		if list[i].Host != c.entry.Host {
			continue
		}
		if c.removed {
			return append(list[:i], list[i+1:]...)
		}
		list[i] = c.entry
		return list
	}
	if c.removed {
		return list
	}
	return append(list, c.entry)
}

// Handler serves the list over HTTP.
func (h *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Answer()) })
	return mux
}
