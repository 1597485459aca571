// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/deployment"
)

// TestDemoServes runs the whole path: a caller asks for addresses, gets a
// stream, a refusal and a kept answer.
func TestDemoServes(t *testing.T) {
	ctx := t.Context()
	d, err := startDemo(ctx, io.Discard)
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
