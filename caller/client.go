// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package caller is a client of the system. It looks up the hosts' addresses, caches
// them for their time to live, and fails over to the next address if a host does not
// respond.
//
// # Usage
//
//	c := caller.New(caller.Options{Seeds: []string{"10.0.0.1:8080"}, Token: token})
//	resp, err := c.Do(ctx, caller.Request{Path: "/v1/completions", Body: body})
//	defer resp.Body.Close()
//
// A request whose Repeatable is false and that has no idempotency key is retried
// only if no connection was made. Other requests are retried after any transport
// error.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/internal/verifier"
	"amaranthgate.example/amaranthgate/server"
)

// Options configures a client.
type Options struct {
	Seeds            []string // Seeds are host addresses for the first lookup.
	Token            string
	AvailabilityZone string
	Transport        http.RoundTripper // Transport is optional.
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client

	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// New returns a client. It looks up addresses at the first request.
func New(opts Options) *Client {
	if opts.Transport == nil {
		opts.Transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	}
	return &Client{opts: opts, http: &http.Client{Transport: verifier.Transport{RoundTripper: opts.Transport}}}
}

// addressTimeout limits the lookup at one seed address.
const addressTimeout = 2 * time.Second

// Addresses returns the addresses of the hosts to use, best first.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	cached, fresh := c.addresses, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return cached, nil
	}
	lastErr := errors.New("caller: no seed addresses")
	for _, seed := range append(append([]string(nil), cached...), c.opts.Seeds...) {
		ans, err := c.fetchAddresses(ctx, seed)
		if err != nil || len(ans.Addresses) == 0 {
			lastErr = errors.Wrapf(err, "caller: get addresses from %s", seed)
			if err == nil {
				lastErr = errors.Errorf("caller: %s returned no addresses", seed)
			}
			continue
		}
		list := make([]string, len(ans.Addresses))
		for i, a := range ans.Addresses {
			list[i] = a.Address
		}
		c.mu.Lock()
		c.addresses, c.expires = list, time.Now().Add(ans.TimeToLive.Std())
		c.mu.Unlock()
		return list, nil
	}
	return nil, lastErr
}

func (c *Client) fetchAddresses(ctx context.Context, address string) (server.AddressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var ans server.AddressAnswer
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses?AvailabilityZone="+c.opts.AvailabilityZone, nil)
	if err != nil {
		return ans, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return ans, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ans, errors.Errorf("unexpected status %d", resp.StatusCode)
	}
	return ans, json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&ans)
}

// Request is a request to the system.
type Request struct {
	Method     string // Method is POST if empty.
	Path       string
	Body       []byte
	Header     http.Header
	Key        string // Key is an optional idempotency key.
	Repeatable *bool  // Repeatable overrides the system's default.
}

// Do sends a request to the best address, and retries it at the next ones while
// that is safe. The caller must close the body of the response.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	list, err := c.Addresses(ctx)
	if err != nil {
		return nil, err
	}
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	lastErr := errors.New("caller: no addresses")
	for i, address := range list {
		resp, err := c.send(ctx, address, r, i == 0)
		if err == nil {
			return resp, nil
		}
		lastErr = errors.Wrapf(err, "caller: request to %s", address)
		c.dropAddress(address)
		if !c.retryable(r, err) || ctx.Err() != nil {
			break
		}
	}
	return nil, lastErr
}

// retryable reports whether a request that failed with err may be sent again.
func (c *Client) retryable(r Request, err error) bool {
	if r.Key != "" || r.Repeatable == nil || *r.Repeatable {
		return true
	}
	var notSent notSentError
	return errors.As(err, &notSent)
}

// notSentError means that no connection was made.
type notSentError struct{ error }

// dropAddress removes an address that did not respond, and expires the cached list.
func (c *Client) dropAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
	for i, a := range c.addresses {
		if a == address {
			c.addresses = append(append([]string(nil), c.addresses[:i]...), c.addresses[i+1:]...)
			return
		}
	}
}

func (c *Client) send(ctx context.Context, address string, r Request, first bool) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	if req.Header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Authorization", "Bearer "+c.opts.Token)
	if r.Key != "" {
		req.Header.Set(server.HeaderKey, r.Key)
		if first && req.Header.Get(server.HeaderAttempt) == "" {
			req.Header.Set(server.HeaderAttempt, "1")
		}
	}
	if r.Repeatable != nil {
		req.Header.Set(server.HeaderRepeatable, boolText(*r.Repeatable))
	}
	connected := false
	req = req.WithContext(traceConnection(req.Context(), &connected))
	resp, err := c.http.Do(req)
	if err != nil && !connected {
		return nil, notSentError{err}
	}
	return resp, err
}

func boolText(b bool) string {
	if b {
		return "true"
	}
	return "false"
}
