// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package caller is a client of the system: it asks for the hosts' addresses,
// keeps the answer for its time to live, goes to the next address when one does
// not answer, and reads answers and streams.
//
// # Usage
//
//	c := caller.New(caller.Options{Seeds: []string{"10.0.0.1:8080"}, Token: token})
//	resp, err := c.Do(ctx, caller.Request{Path: "/v1/completions", Body: body})
//	defer resp.Body.Close()
//
// A request goes to another address only if it cannot have run: when no
// connection was made, when the answer says so, or when it may be repeated. A
// request with an idempotency key keeps its key, so it may always be tried
// again.
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

	"amaranthgate.example/amaranthgate/server"
)

// Options set up a client.
type Options struct {
	Seeds            []string // Seeds are addresses of any hosts, to ask first.
	Token            string
	AvailabilityZone string
	Transport        http.RoundTripper // Transport is http.DefaultTransport's kin if nil.
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// New returns a client that has asked nobody yet.
func New(opts Options) *Client {
	if opts.Transport == nil {
		opts.Transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	}
	return &Client{opts: opts, http: &http.Client{Transport: opts.Transport}}
}

// askTimeout bounds a question for addresses.
const askTimeout = 2 * time.Second

// Addresses returns the hosts to use, the best first.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	kept, fresh := c.addresses, time.Now().Before(c.until)
	c.mu.Unlock()
	if fresh {
		return kept, nil
	}
	last := errors.New("caller: no seeds")
	for _, seed := range append(append([]string(nil), kept...), c.opts.Seeds...) {
		ans, err := c.ask(ctx, seed)
		if err != nil || len(ans.Addresses) == 0 {
			last = errors.Wrapf(err, "caller: ask %s", seed)
			if err == nil {
				last = errors.Errorf("caller: %s knows no addresses yet", seed)
			}
			continue
		}
		list := make([]string, len(ans.Addresses))
		for i, a := range ans.Addresses {
			list[i] = a.Address
		}
		c.mu.Lock()
		c.addresses, c.until = list, time.Now().Add(ans.TimeToLive.Std())
		c.mu.Unlock()
		return list, nil
	}
	return nil, last
}

func (c *Client) ask(ctx context.Context, address string) (server.AddressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
		return ans, errors.Errorf("status %d", resp.StatusCode)
	}
	return ans, json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&ans)
}

// Request is one request of a caller.
type Request struct {
	Method     string // Method is POST if empty.
	Path       string
	Body       []byte
	Header     http.Header
	Key        string // Key is the idempotency key, if any.
	Repeatable *bool  // Repeatable overrides what the system takes by default.
}

// Do sends a request to the best address and goes on to the next ones as far
// as that is safe. The caller must close the body of the response.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	list, err := c.Addresses(ctx)
	if err != nil {
		return nil, err
	}
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	last := errors.New("caller: no addresses")
	for i, address := range list {
		resp, err := c.send(ctx, address, r, i == 0)
		if err == nil {
			return resp, nil
		}
		last = errors.Wrapf(err, "caller: %s", address)
		c.forget(address)
		if !c.safe(r, err) || ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

// safe reports whether a request whose answer failed to come may be sent
// again.
func (c *Client) safe(r Request, err error) bool {
	if r.Key != "" || r.Repeatable == nil || *r.Repeatable {
		return true
	}
	var notSent notSentError
	return errors.As(err, &notSent)
}

// notSentError says that no connection was made.
type notSentError struct{ error }

// forget drops an address that did not answer; the next request asks again.
func (c *Client) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
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
	req = req.WithContext(withConnected(req.Context(), &connected))
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
