// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package administrator

import (
	"crypto/rand"
	"embed"
	"encoding/base64"
	"encoding/json"
	"html/template"
	"net/http"
	"strconv"
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/reporter"
)

//go:embed templates/*.html
var templateFiles embed.FS

var templates = template.Must(template.New("").Funcs(template.FuncMap{
	"quantile": func(c reporter.Counts, q float64) string {
		d, ok := c.Quantile(q)
		if !ok {
			return "–"
		}
		return "≤ " + d.String()
	},
	"time": func(t time.Time) string {
		if t.IsZero() {
			return "–"
		}
		return t.UTC().Format("2006-01-02 15:04:05")
	},
}).ParseFS(templateFiles, "templates/*.html"))

// addConsole registers the pages of the console.
func (a *Administrator) addConsole(mux *http.ServeMux) {
	mux.HandleFunc("GET /{$}", a.overview)
	mux.HandleFunc("GET /document", a.document)
	mux.HandleFunc("GET /list/{kind}", a.list)
	mux.HandleFunc("GET /edit/{kind}", a.edit)
	mux.HandleFunc("POST /review", a.review)
	mux.HandleFunc("POST /publish", a.publishForm)
	mux.HandleFunc("POST /rebase", a.rebase)
	mux.HandleFunc("GET /change", a.change)
	mux.HandleFunc("GET /report", a.report)
	mux.HandleFunc("GET /report/plot.svg", a.plot)
}

// page is the data of every template.
type page struct {
	Title    string
	Operator string
	Kinds    []kind
	Body     any
}

func (a *Administrator) render(w http.ResponseWriter, r *http.Request, status int, name, title string, body any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; img-src 'self'; form-action 'self'")
	w.WriteHeader(status)
	p := page{Title: title, Operator: operatorOf(r), Kinds: kinds, Body: body}
	if err := templates.ExecuteTemplate(w, name, p); err != nil {
		a.opts.Log.Error().Err(err).Str("Page", name).Msg(logger.PageFailed)
	}
}

type overviewPage struct {
	HostsAnswer
	Results []configurer.Result // Results holds the latest results, newest first.
}

func (a *Administrator) overview(w http.ResponseWriter, r *http.Request) {
	p := overviewPage{HostsAnswer: a.hosts()}
	results := a.opts.Control.Current().Results
	for i := len(results) - 1; i >= 0 && len(p.Results) < 20; i-- {
		p.Results = append(p.Results, results[i])
	}
	a.render(w, r, http.StatusOK, "overview.html", "Overview", p)
}

// documentPage is the form to edit the whole document.
type documentPage struct {
	Base   uint64
	Text   string
	Faults []string
}

func (a *Administrator) document(w http.ResponseWriter, r *http.Request) {
	cur := a.opts.Control.Current()
	p := documentPage{Base: cur.Revision}
	if cur.Document != nil {
		p.Text = string(cur.Document.Encode())
	}
	a.render(w, r, http.StatusOK, "document.html", "Document", p)
}

// changeForm is a pending change, carried from page to page in hidden inputs.
type changeForm struct {
	ID    string
	Base  uint64
	Patch string // Patch is a merge patch in base64.
}

type reviewPage struct {
	changeForm
	Differences []configurer.Difference
	Faults      []string
	Rebased     bool
}

// review shows the differences that a form makes, before they are published.
func (a *Administrator) review(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxDocumentBytes)
	cur := a.opts.Control.Current()
	doc, faults := a.documentFromForm(r, cur)
	if len(faults) > 0 {
		a.render(w, r, http.StatusUnprocessableEntity, "faults.html", "Not valid", faults)
		return
	}
	base, err := strconv.ParseUint(r.FormValue("Base"), 10, 64)
	if err != nil || base != cur.Revision {
		a.conflict(w, r, changeForm{ID: rand.Text(), Base: base}, cur, nil)
		return
	}
	a.showReview(w, r, cur, doc, false)
}

func (a *Administrator) showReview(w http.ResponseWriter, r *http.Request, cur Configuration, doc *configurer.Document, rebased bool) {
	d, err := configurer.NewDelta(rand.Text(), operatorOf(r), cur.Revision, cur.Document, doc)
	if err != nil {
		a.render(w, r, http.StatusInternalServerError, "faults.html", "Not valid", []string{err.Error()})
		return
	}
	a.render(w, r, http.StatusOK, "review.html", "Review", reviewPage{
		changeForm:  changeForm{ID: d.ID, Base: d.Base, Patch: base64.StdEncoding.EncodeToString(d.Patch)},
		Differences: configurer.Differences(cur.Document, doc),
		Rebased:     rebased,
	})
}

// documentFromForm applies a form to the current document and returns the result with its faults.
func (a *Administrator) documentFromForm(r *http.Request, cur Configuration) (*configurer.Document, []string) {
	if text := r.FormValue("Document"); text != "" {
		doc, faults := configurer.Parse([]byte(text))
		var out []string
		for _, f := range faults {
			out = append(out, f.String())
		}
		return doc, out
	}
	if cur.Document == nil {
		return nil, []string{"there is no document yet: begin with the whole document"}
	}
	k, ok := kindOf(r.FormValue("Kind"))
	if !ok {
		return nil, []string{"there is no such kind"}
	}
	doc, faults := k.apply(cur.Document, r)
	if len(faults) > 0 {
		return nil, faults
	}
	for _, f := range doc.Validate() {
		faults = append(faults, f.String())
	}
	return doc, faults
}

// readChange reads a pending change with its decoded patch.
func readChange(w http.ResponseWriter, r *http.Request) (changeForm, []byte, error) {
	r.Body = http.MaxBytesReader(w, r.Body, maxDocumentBytes)
	base, err := strconv.ParseUint(r.FormValue("Base"), 10, 64)
	if err != nil {
		return changeForm{}, nil, err
	}
	f := changeForm{ID: r.FormValue("ID"), Base: base, Patch: r.FormValue("Patch")}
	patch, err := base64.StdEncoding.DecodeString(f.Patch)
	return f, patch, err
}

func (a *Administrator) publishForm(w http.ResponseWriter, r *http.Request) {
	f, patch, err := readChange(w, r)
	if err != nil {
		a.render(w, r, http.StatusBadRequest, "faults.html", "Not valid", []string{err.Error()})
		return
	}
	cur := a.opts.Control.Current()
	if res, ok := findResult(cur, f.ID); ok {
		a.showResult(w, r, f, cur, PublishAnswer{Known: true, ID: f.ID, Result: &res}, patch)
		return
	}
	if f.Base != cur.Revision {
		a.conflict(w, r, f, cur, patch)
		return
	}
	doc, err := configurer.ApplyPatch(cur.Document, patch)
	if err != nil {
		a.render(w, r, http.StatusUnprocessableEntity, "faults.html", "Not valid", []string{err.Error()})
		return
	}
	ans := a.publish(r.Context(), operatorOf(r), f.ID, f.Base, doc)
	a.showResult(w, r, f, a.opts.Control.Current(), ans, patch)
}

type resultPage struct {
	PublishAnswer
	HostsAnswer
}

func (a *Administrator) showResult(w http.ResponseWriter, r *http.Request, f changeForm, cur Configuration, ans PublishAnswer, patch []byte) {
	if ans.Known && ans.Result.Fate == configurer.FateConflict {
		a.conflict(w, r, f, cur, patch)
		return
	}
	a.render(w, r, publishStatus(ans), "result.html", "Change", resultPage{PublishAnswer: ans, HostsAnswer: a.hosts()})
}

type conflictPage struct {
	changeForm
	Current uint64
	Since   []configurer.Result     // Since holds the changes accepted after the base revision.
	Mine    string                  // Mine is the operator's patch.
	Theirs  []configurer.Difference // Theirs is what the patch would change in the current document.
}

// conflict shows a conflicting change and the changes accepted since its base revision.
func (a *Administrator) conflict(w http.ResponseWriter, r *http.Request, f changeForm, cur Configuration, patch []byte) {
	p := conflictPage{changeForm: f, Current: cur.Revision}
	for _, res := range cur.Results {
		if res.Fate == configurer.FateAccepted && res.Revision > f.Base {
			p.Since = append(p.Since, res)
		}
	}
	if patch != nil {
		var indented json.RawMessage = patch
		if b, err := json.MarshalIndent(indented, "", "  "); err == nil {
			p.Mine = string(b)
		}
		p.Theirs = patchDifferences(cur.Document, patch)
	}
	a.render(w, r, http.StatusConflict, "conflict.html", "Conflict", p)
}

// patchDifferences returns what a patch would change in a document; nil if it does not apply.
func patchDifferences(cur *configurer.Document, patch []byte) []configurer.Difference {
	doc, err := configurer.ApplyPatch(cur, patch)
	if err != nil {
		return nil
	}
	return configurer.Differences(cur, doc)
}

// rebase applies a conflicting change to the revision in force and shows it for review.
func (a *Administrator) rebase(w http.ResponseWriter, r *http.Request) {
	_, patch, err := readChange(w, r)
	cur := a.opts.Control.Current()
	var doc *configurer.Document
	if err == nil {
		doc, err = configurer.ApplyPatch(cur.Document, patch)
	}
	if err != nil {
		a.render(w, r, http.StatusUnprocessableEntity, "faults.html", "Not valid", []string{err.Error()})
		return
	}
	a.showReview(w, r, cur, doc, true)
}

// change shows the result of a change, for an operator who did not receive the answer.
func (a *Administrator) change(w http.ResponseWriter, r *http.Request) {
	id := r.FormValue("ID")
	ans := PublishAnswer{ID: id}
	if res, ok := findResult(a.opts.Control.Current(), id); ok {
		ans.Known, ans.Result = true, &res
	}
	a.render(w, r, http.StatusOK, "result.html", "Change", resultPage{PublishAnswer: ans, HostsAnswer: a.hosts()})
}
