// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"bytes"
	"context"
	"go/parser"
	"go/token"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/emulator"
	"amaranthgate.example/amaranthgate/internal/deployment"
)

// TestDemoShows checks that the demonstration completes all its steps and prints the
// system's addresses.
func TestDemoShows(t *testing.T) {
	d, err := startDemo(t.Context(), io.Discard)
	assert.NilError(t, err)
	defer d.Close()
	var out bytes.Buffer
	assert.NilError(t, d.Tour(t.Context(), &out), out.String())
	assert.NilError(t, d.WriteCommands(&out))
	for _, address := range []string{d.Callers(), d.Directory(), d.Operators()} {
		assert.Assert(t, strings.Contains(out.String(), "http://"+address+"/"))
	}
}

// demoOnly are packages that the demonstration needs in addition to a deployed host, for
// the emulated platform and upstreams.
var demoOnly = map[string]bool{
	"platform/demonstrator": true, "platform/standin": true, "internal/freeport": true,
}

// TestDemoIsDeployed checks that the demonstration imports only packages of a deployed host
// and those in demoOnly.
func TestDemoIsDeployed(t *testing.T) {
	demo, deployed := make(map[string]bool), make(map[string]bool)
	addImports(t, demo, "demo.go")
	addImports(t, deployed, "platform.go")
	for name := range demo {
		assert.Assert(t, deployed[name] || demoOnly[name], "only the demonstration imports %s", name)
	}
	assert.Assert(t, demo["platform/demonstrator"] && demo["loader"])
	assert.Assert(t, deployed["conductor"] && deployed["exchanger"] && deployed["placer"])
}

// addImports adds the packages of this module that a file imports, directly or indirectly.
func addImports(t *testing.T, found map[string]bool, file string) {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	assert.NilError(t, err)
	for _, spec := range f.Imports {
		name, internal := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), "amaranthgate.example/amaranthgate/")
		if !internal || found[name] {
			continue
		}
		found[name] = true
		files, err := filepath.Glob(filepath.Join("../..", name, "*.go"))
		assert.NilError(t, err)
		for _, next := range files {
			if !strings.HasSuffix(next, "_test.go") {
				addImports(t, found, next)
			}
		}
	}
}

// TestDeploymentServes checks a stream, a rejected request and a request whose saved
// answer is returned again, all sent to hosts with the emulated log.
func TestDeploymentServes(t *testing.T) {
	ctx := t.Context()
	d, err := deployment.Start(ctx, deployment.Options{
		Hosts:      3,
		Engines:    2,
		Services:   1,
		LogLatency: 2 * time.Millisecond,
		Engine:     emulator.EngineOptions{PrefillRate: 20000, TokenInterval: 25 * time.Millisecond, LoadTime: time.Second},
		Logs:       io.Discard,
	})
	assert.NilError(t, err)
	defer d.Close()
	seed := d.Hosts[0].Addresses().Callers

	var out, errOut bytes.Buffer
	code := Run(ctx, []string{"amaranthgate", "send", "--seed", seed, "--token", deployment.Token, "--model", deployment.Model, "--prompt", "Good morning", "--max-tokens", "4"}, &out, &errOut)
	assert.Equal(t, code, ExitOK, errOut.String())
	assert.Equal(t, len(strings.Fields(out.String())), 4)

	code = Run(ctx, []string{"amaranthgate", "send", "--seed", seed, "--token", deployment.Token, "--model", "none", "--prompt", "x"}, &out, &errOut)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(errOut.String(), "reason UnknownModel, ran: No"), errOut.String())

	first := post(t, ctx, "http://"+seed+"/services/Booking/slots", "slot-1", "Tuesday")
	again := post(t, ctx, "http://"+d.Hosts[1].Addresses().Callers+"/services/Booking/slots", "slot-1", "Tuesday")
	assert.Equal(t, first, again)
	assert.Equal(t, d.Services[0].Executions("Tuesday"), 1)
}

func post(t *testing.T, ctx context.Context, url, key, body string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+deployment.Token)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, string(b))
	return string(b)
}
