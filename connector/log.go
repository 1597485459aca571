// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/internal/verifier"
	"amaranthgate.example/amaranthgate/replayer"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// AppendAnswer is the body of the response to an append.
type AppendAnswer struct {
	Offset uint64
}

// Log is a client of the platform's append-only log.
type Log struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

// NewLog returns a client of the log at a base URL. An append takes at most
// timeout, a read at most timeout longer than its wait.
func NewLog(base string, timeout time.Duration) *Log {
	return &Log{base: base, timeout: timeout, client: newClient()}
}

func newClient() *http.Client {
	return &http.Client{Transport: verifier.Transport{RoundTripper: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}}
}

// Append appends a record to a stream and returns its offset. After an error the
// record may or may not be in the log.
func (l *Log) Append(ctx context.Context, stream string, body []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "connector: append")
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	var a AppendAnswer
	if err := doJSON(l.client, req, &a); err != nil {
		return 0, errors.Wrap(err, "connector: append")
	}
	return a.Offset, nil
}

// Read returns up to limit records from an offset on. If there are none, it waits
// up to wait for one.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (replayer.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout+wait)
	defer cancel()
	u := fmt.Sprintf("%s?From=%d&Limit=%d&Wait=%s", l.url(stream), from, limit, wait)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return replayer.Page{}, errors.Wrap(err, "connector: read")
	}
	var p replayer.Page
	if err := doJSON(l.client, req, &p); err != nil {
		return replayer.Page{}, errors.Wrap(err, "connector: read")
	}
	return p, nil
}

func (l *Log) url(stream string) string {
	return l.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// doJSON sends a request and decodes the JSON response into dst.
func doJSON(c *http.Client, req *http.Request, dst any) error {
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxResponseBytes)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, 256))
		return errors.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return json.NewDecoder(body).Decode(dst)
}
