// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package administrator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/reporter"
	"amaranthgate.example/amaranthgate/tracker"
)

// Configuration is the configuration in force on this host.
type Configuration struct {
	Revision uint64
	Document *configurer.Document // Document is nil before the first revision.
	Results  []configurer.Result  // Results holds the results of the latest changes, oldest first.
}

// Control is the interface to the host's control plane. It must be safe for concurrent use.
type Control interface {
	Current() Configuration
	// Publish publishes a change and waits until it is read back. It reports false if the result
	// is not known yet.
	Publish(ctx context.Context, d configurer.Delta) (configurer.Result, bool)
	Hosts() []tracker.HostRecord
	// Report returns the service report and reports whether it is complete.
	Report() (reporter.Report, bool)
	// Dump returns the host's state for debugging, without secrets.
	Dump() any
}

// Options configures an Administrator.
type Options struct {
	Control Control
	Digests []string // Digests holds the SHA-256 digests of operators' tokens.
	Log     zerolog.Logger
	Metrics func(w io.Writer) // Metrics writes the metrics in the Prometheus text format.
}

// Administrator serves requests of operators.
type Administrator struct {
	opts Options
}

// New returns an Administrator.
func New(opts Options) *Administrator { return &Administrator{opts: opts} }

// publishTimeout bounds the time to wait until a change is read back.
const publishTimeout = 4 * time.Second

// maxDocumentBytes bounds the body of a request.
const maxDocumentBytes = 16 << 20

// Handler returns the HTTP handler for operators.
func (a *Administrator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/configuration", a.getConfiguration)
	mux.HandleFunc("POST /v1/configuration", a.postConfiguration)
	mux.HandleFunc("GET /v1/changes/{id}", a.getChange)
	mux.HandleFunc("GET /v1/hosts", a.getHosts)
	mux.HandleFunc("GET /v1/report", a.getReport)
	mux.HandleFunc("GET /debug/state", a.getState)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { a.opts.Metrics(w) })
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	a.addConsole(mux)
	return http.NewCrossOriginProtection().Handler(a.authenticate(mux))
}

type operatorKey struct{}

// authenticate rejects requests without an operator's token.
func (a *Administrator) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		user, token, ok := r.BasicAuth()
		if !ok {
			token, ok = strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			user = r.Header.Get("Amaranthgate-Operator")
		}
		if !ok || !slices.Contains(a.opts.Digests, configurer.TokenDigest(token)) {
			w.Header().Set("WWW-Authenticate", `Basic realm="amaranthgate"`)
			http.Error(w, "operators only", http.StatusUnauthorized)
			return
		}
		if user == "" {
			user = "operator"
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, user)))
	})
}

func operatorOf(r *http.Request) string {
	user, _ := r.Context().Value(operatorKey{}).(string)
	return user
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// ConfigurationAnswer is the body of GET /v1/configuration.
type ConfigurationAnswer struct {
	Revision uint64
	Digest   string
	Document *configurer.Document
}

func (a *Administrator) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	cur := a.opts.Control.Current()
	ans := ConfigurationAnswer{Revision: cur.Revision, Document: cur.Document}
	if cur.Document != nil {
		ans.Digest = cur.Document.Digest()
	}
	writeJSON(w, http.StatusOK, ans)
}

// PublishRequest is the body of POST /v1/configuration.
type PublishRequest struct {
	ID       string // ID identifies the change; if empty, the host generates one.
	Base     uint64 // Base is the revision on which the document is based.
	Document json.RawMessage
}

// PublishAnswer is the answer to POST /v1/configuration and GET /v1/changes/{id}. Known is false
// if the change was not read back in time; its result can be queried later.
type PublishAnswer struct {
	Known  bool
	ID     string
	Result *configurer.Result `json:",omitempty"`
	Faults []string           `json:",omitempty"`
}

func (a *Administrator) postConfiguration(w http.ResponseWriter, r *http.Request) {
	var req PublishRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDocumentBytes)).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, PublishAnswer{Faults: []string{err.Error()}})
		return
	}
	doc, faults := configurer.Parse(req.Document)
	if len(faults) > 0 {
		ans := PublishAnswer{ID: req.ID}
		for _, f := range faults {
			ans.Faults = append(ans.Faults, f.String())
		}
		writeJSON(w, http.StatusUnprocessableEntity, ans)
		return
	}
	if req.ID == "" {
		req.ID = rand.Text()
	}
	ans := a.publish(r.Context(), operatorOf(r), req.ID, req.Base, doc)
	writeJSON(w, publishStatus(ans), ans)
}

// publish publishes a document on a base revision. If the base is not in force on this host, it
// returns a conflict without appending the change.
func (a *Administrator) publish(ctx context.Context, author, id string, base uint64, doc *configurer.Document) PublishAnswer {
	cur := a.opts.Control.Current()
	if r, ok := findResult(cur, id); ok {
		return PublishAnswer{Known: true, ID: id, Result: &r}
	}
	if base != cur.Revision {
		r := configurer.Result{ID: id, Author: author, Base: base, Fate: configurer.FateConflict, Revision: cur.Revision}
		return PublishAnswer{Known: true, ID: id, Result: &r}
	}
	d, err := configurer.NewDelta(id, author, base, cur.Document, doc)
	if err != nil {
		return PublishAnswer{ID: id, Faults: []string{err.Error()}}
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	r, ok := a.opts.Control.Publish(ctx, d)
	a.opts.Log.Info().Str("Change", id).Str("Author", author).Uint64("Base", base).Bool("Known", ok).Str("Fate", string(r.Fate)).Msg(logger.ChangePublished)
	if !ok {
		return PublishAnswer{ID: id}
	}
	return PublishAnswer{Known: true, ID: id, Result: &r}
}

func publishStatus(a PublishAnswer) int {
	switch {
	case len(a.Faults) > 0:
		return http.StatusUnprocessableEntity
	case !a.Known:
		return http.StatusAccepted
	case a.Result.Fate == configurer.FateConflict:
		return http.StatusConflict
	case a.Result.Fate == configurer.FateInvalid:
		return http.StatusUnprocessableEntity
	}
	return http.StatusOK
}

func findResult(cur Configuration, id string) (configurer.Result, bool) {
	for _, r := range cur.Results {
		if r.ID == id {
			return r, true
		}
	}
	return configurer.Result{}, false
}

func (a *Administrator) getChange(w http.ResponseWriter, r *http.Request) {
	res, ok := findResult(a.opts.Control.Current(), r.PathValue("id"))
	if !ok {
		writeJSON(w, http.StatusNotFound, PublishAnswer{ID: r.PathValue("id")})
		return
	}
	writeJSON(w, http.StatusOK, PublishAnswer{Known: true, ID: res.ID, Result: &res})
}

// HostsAnswer is the body of GET /v1/hosts.
type HostsAnswer struct {
	Revision uint64   // Revision is the highest revision in force on any host.
	InForce  int      // InForce is the number of live hosts with that revision.
	Live     int      // Live is the number of live hosts.
	Laggards []string // Laggards holds the live hosts without that revision.
	Hosts    []tracker.HostRecord
}

func (a *Administrator) hosts() HostsAnswer {
	ans := HostsAnswer{Hosts: a.opts.Control.Hosts()}
	for _, h := range ans.Hosts {
		ans.Revision = max(ans.Revision, h.Revision)
	}
	for _, h := range ans.Hosts {
		if h.State != tracker.HostLive && h.State != tracker.HostLeaving && h.State != tracker.HostSuspect {
			continue
		}
		ans.Live++
		if h.Revision == ans.Revision {
			ans.InForce++
		} else {
			ans.Laggards = append(ans.Laggards, h.Host)
		}
	}
	return ans
}

func (a *Administrator) getHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.hosts())
}

// ReportAnswer is the body of GET /v1/report.
type ReportAnswer struct {
	Complete bool // Complete is false while this host is still reading the reports.
	Report   reporter.Report
}

func (a *Administrator) getReport(w http.ResponseWriter, _ *http.Request) {
	rep, complete := a.opts.Control.Report()
	writeJSON(w, http.StatusOK, ReportAnswer{Complete: complete, Report: rep})
}

func (a *Administrator) getState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.opts.Control.Dump())
}
