// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package runner_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/emulator"
	"amaranthgate.example/amaranthgate/internal/deployment"
	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/server"
)

var refuseFault = emulator.EngineFault{Refuse: true}

// inputCase is the raw bytes that a caller sends and the expected response.
type inputCase struct {
	Name   string
	Lines  []string // Lines are the request line and the headers.
	Body   string
	Repeat int // Repeat is the number of times that Body is sent.
	Slow   bool
	Status int
	Reason server.Reason
}

// TestBadInput checks that invalid requests get a clear error and reach no upstream.
func TestBadInput(t *testing.T) {
	raw, err := os.ReadFile("testdata/inputs.jsonc")
	assert.NilError(t, err)
	var file struct{ Cases []inputCase }
	_, faults := strictjson.Decode(raw, &file)
	assert.Equal(t, len(faults), 0, "%v", faults)
	d := start(t, deployment.Options{Hosts: 1, Engines: 1, Services: 1, Settings: func(s *loader.Settings) {
		s.Limits.BodyBytes = 1 << 16
		s.Limits.ReadTimeout = duration.Duration(500 * time.Millisecond)
	}})
	for _, c := range file.Cases {
		status, p, err := rawRequest(d.Callers(0), c)
		assert.NilError(t, err, c.Name)
		assert.Equal(t, status, c.Status, c.Name)
		if c.Reason != "" {
			assert.Equal(t, p.Reason, c.Reason, c.Name)
			assert.Equal(t, string(p.Ran), "No", c.Name)
		}
	}
	assert.Equal(t, d.Engines[0].Total(), 0)
	assert.Equal(t, len(d.Services[0].Runs()), 0)
}

func rawRequest(address string, c inputCase) (int, server.Problem, error) {
	var p server.Problem
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, p, err
	}
	defer conn.Close()
	body := strings.Repeat(c.Body, max(1, c.Repeat))
	head := strings.ReplaceAll(strings.Join(c.Lines, "\r\n"), "TOKEN", deployment.Token)
	head = strings.ReplaceAll(head, "LENGTH", fmt.Sprint(len(body)))
	if c.Slow {
		body = body[:len(body)/2]
	}
	if _, err := io.WriteString(conn, head+"\r\n\r\n"+body); err != nil {
		return 0, p, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, p, err
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&p)
	return resp.StatusCode, p, nil
}

// browser is an operator's HTTP client of the console, without JavaScript.
type browser struct {
	t    *testing.T
	host string
}

func (b browser) get(path string) (int, string) { return b.do(http.MethodGet, path, nil) }

func (b browser) do(method, path string, form url.Values) (int, string) {
	b.t.Helper()
	req, err := http.NewRequest(method, "http://"+b.host+path, strings.NewReader(form.Encode()))
	assert.NilError(b.t, err)
	req.SetBasicAuth("maria", deployment.Operator)
	if form != nil {
		req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(b.t, err)
	return resp.StatusCode, string(body)
}

var inputTag = regexp.MustCompile(`<input type="(hidden|text)"[^>]*name="([^"]+)" value="([^"]*)"`)

// form returns the fields of the first form in a page that posts to a path.
func form(page, action string) url.Values {
	out := url.Values{}
	_, rest, _ := strings.Cut(page, `action="`+action+`"`)
	rest, _, _ = strings.Cut(rest, "</form>")
	for _, m := range inputTag.FindAllStringSubmatch(rest, -1) {
		out.Set(m[2], strings.NewReplacer("&#43;", "+", "&#34;", `"`, "&amp;", "&").Replace(m[3]))
	}
	return out
}

// TestConsole changes a model through the console's forms: a conflict with another
// operator's change shows both sides, and the rebased change is applied once.
func TestConsole(t *testing.T) {
	d := start(t, deployment.Options{Engines: 1})
	b := browser{t: t, host: d.Hosts[0].Addresses().Operators}
	status, page := b.get("/")
	assert.Equal(t, status, 200)
	eventually(t, "in force on all hosts", func() bool {
		_, page = b.get("/")
		return strings.Contains(page, "Revision 1 is in force on 3 of 3 hosts")
	})
	_, edit := b.get("/edit/Models?Name=" + deployment.Model)
	f := form(edit, "/review")
	assert.Equal(t, f.Get("Version"), "v1")
	f.Set("Version", "v9")
	status, review := b.do(http.MethodPost, "/review", f)
	assert.Equal(t, status, 200, review)
	assert.Assert(t, strings.Contains(review, "/Models/"+deployment.Model+"/Version"), review)

	// Another operator publishes first.
	assert.NilError(t, d.Publish(t.Context(), func(doc *configurer.Document) { doc.Retry.Attempts = 4 }))
	status, conflict := b.do(http.MethodPost, "/publish", form(review, "/publish"))
	assert.Equal(t, status, 409, conflict)
	assert.Assert(t, strings.Contains(conflict, "Your change was not applied"), conflict)
	assert.Assert(t, strings.Contains(conflict, "change-1"), conflict) // the ID of the other change
	assert.Assert(t, strings.Contains(conflict, "v9"), conflict)       // the rejected value

	status, rebased := b.do(http.MethodPost, "/rebase", form(conflict, "/rebase"))
	assert.Equal(t, status, 200, rebased)
	carry := form(rebased, "/publish")
	status, result := b.do(http.MethodPost, "/publish", carry)
	if status == http.StatusAccepted {
		// The log did not answer within the console's timeout. The page says to query
		// the change by its ID.
		eventually(t, "the change is known by its name", func() bool {
			_, result = b.get("/change?ID=" + carry.Get("ID"))
			return strings.Contains(result, "Accepted")
		})
	} else {
		assert.Equal(t, status, 200, result)
	}
	assert.Assert(t, strings.Contains(result, "Accepted"), result)
	doc := d.Hosts[0].Current().Document
	m, _ := doc.Model(deployment.Model)
	assert.Equal(t, m.Version, "v9")
	assert.Equal(t, doc.Retry.Attempts, 4)

	// Publishing the same change again does not apply it twice.
	_, known := b.get("/change?ID=" + carry.Get("ID"))
	assert.Assert(t, strings.Contains(known, "Accepted"), known)
	_, repeated := b.do(http.MethodPost, "/publish", carry)
	assert.Assert(t, strings.Contains(repeated, "Accepted"), repeated)
	assert.Equal(t, d.Hosts[0].Current().Revision, uint64(3))

	bad := form(edit, "/review")
	bad.Set("Base", "3")
	bad.Set("Version", "no version")
	status, refused := b.do(http.MethodPost, "/review", bad)
	assert.Equal(t, status, 422)
	assert.Assert(t, strings.Contains(refused, "is not a version"), refused)
}

// TestReport checks that the report counts answered and refused requests by
// workspace and class.
func TestReport(t *testing.T) {
	d := start(t, deployment.Options{Engines: 1, Services: 1})
	mustSend(t, d.Callers(0), prompt("report", 3, true))
	mustSend(t, d.Callers(1), booking("reported", "once"))
	d.Services[0].SetFault(refuseFault)
	mustSend(t, d.Callers(2), booking("refused", "never"))
	b := browser{t: t, host: d.Hosts[1].Addresses().Operators}
	eventually(t, "the report counts both", func() bool {
		_, page := b.get("/report")
		return strings.Contains(page, "UpstreamFailed 1") && strings.Contains(page, "<td>2</td><td>2</td>")
	})
	status, svg := b.get("/report/plot.svg")
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.HasPrefix(svg, "<?xml") || strings.Contains(svg[:200], "<svg"))
}

// TestOperatorsOnly checks that operator pages require authentication and that the
// state dump has no secrets.
func TestOperatorsOnly(t *testing.T) {
	d := start(t, deployment.Options{Hosts: 1, Engines: 1})
	host := d.Hosts[0].Addresses().Operators
	for _, path := range []string{"/", "/v1/configuration", "/debug/state", "/metrics", "/debug/pprof/"} {
		resp, err := http.Get("http://" + host + path)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, 401, path)
	}
	_, dump := browser{t: t, host: host}.get("/debug/state")
	for _, secret := range []string{deployment.PeerSecret, deployment.BlockSecret, deployment.Token, deployment.Operator} {
		assert.Assert(t, !strings.Contains(dump, secret), secret)
	}
	_, metrics := browser{t: t, host: host}.get("/metrics")
	assert.Assert(t, strings.Contains(metrics, "amaranthgate_ready 1"), metrics)
}
