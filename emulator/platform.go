// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package emulator

import (
	"encoding/json"
	"net/http"

	"amaranthgate.example/amaranthgate/connector"
)

// PlatformHandler serves the log and the host list at one address. It also
// serves their administration: PUT and DELETE /v1/hosts/{name}, PUT
// /v1/upstreams/{name} and PUT /faults/log.
func PlatformHandler(log *Log, list *HostList) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/streams/", log.Handler())
	mux.Handle("GET /v1/hosts", list.Handler())
	mux.HandleFunc("PUT /v1/hosts/{name}", putListed(list.PutHost))
	mux.HandleFunc("PUT /v1/upstreams/{name}", putListed(list.PutUpstream))
	mux.HandleFunc("DELETE /v1/hosts/{name}", func(_ http.ResponseWriter, r *http.Request) {
		list.RemoveHost(r.PathValue("name"))
	})
	mux.HandleFunc("PUT /faults/log", func(w http.ResponseWriter, r *http.Request) {
		var f LogFault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		log.SetFault(f)
	})
	return mux
}

func putListed(put func(connector.ListedHost)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var h connector.ListedHost
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.Host = r.PathValue("name")
		put(h)
	}
}
