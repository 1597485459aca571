// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/controller"
	"amaranthgate.example/amaranthgate/internal/verifier"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/logger"
)

// Intervals and limits that are not configurable.
const (
	hostListInterval = time.Second
	usageInterval    = time.Second
	reportInterval   = 5 * time.Second
	wakeInterval     = 100 * time.Millisecond
	loadTimeout      = time.Second
	maxResponseBytes = 16 << 20
)

// pollHostList polls the platform's host list.
func (h *Host) pollHostList() {
	for h.ctx.Err() == nil {
		a, err := h.hostList.Fetch(h.ctx)
		if err == nil {
			h.loop.post(controller.HostsListed{Answer: a})
		}
		sleep(h.ctx, hostListInterval)
	}
}

// pollLoads polls the load of the upstreams that this host watches.
func (h *Host) pollLoads() {
	client := &http.Client{Timeout: loadTimeout, Transport: verifier.Transport{RoundTripper: &http.Transport{MaxIdleConnsPerHost: 1}}}
	for h.ctx.Err() == nil {
		var watched []configurer.Upstream
		h.loop.do(func(_ time.Time, n *controller.Node) { watched = n.Watched() })
		var wg sync.WaitGroup
		for _, u := range watched {
			wg.Add(1)
			go func() {
				defer wg.Done()
				h.queryLoad(client, u)
			}()
		}
		wg.Wait()
		sleep(h.ctx, h.settings.Timing.LoadPoll.Std())
	}
}

func (h *Host) queryLoad(client *http.Client, u configurer.Upstream) {
	mark := h.registry.Get(u.Name).Meter.Mark()
	rep, err := fetchLoad(h.ctx, client, u.Address)
	if err != nil {
		rep = nil
	}
	if h.ctx.Err() == nil {
		h.loop.post(controller.LoadReported{Upstream: u.Name, Report: rep, Mark: mark})
	}
}

func fetchLoad(ctx context.Context, client *http.Client, address string) (*wire.LoadReport, error) {
	var rep wire.LoadReport
	return &rep, getJSON(ctx, client, "http://"+address+"/load", &rep)
}

// getJSON fetches a URL and decodes the JSON response into dst.
func getJSON(ctx context.Context, client *http.Client, url string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "runner: fetch")
	}
	return doJSON(client, req, dst)
}

// doJSON sends a request and decodes the JSON response into dst.
func doJSON(client *http.Client, req *http.Request, dst any) error {
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "runner: fetch")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("runner: fetch: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(dst)
	return errors.Wrap(err, "runner: fetch")
}

// pollCaches polls the cache events of the upstreams that this host issues orders
// to.
func (h *Host) pollCaches() {
	client := &http.Client{Timeout: loadTimeout, Transport: verifier.Transport{RoundTripper: &http.Transport{MaxIdleConnsPerHost: 1}}}
	for h.ctx.Err() == nil {
		var requests []controller.CacheRequest
		h.loop.do(func(_ time.Time, n *controller.Node) { requests = n.CacheRequests() })
		var wg sync.WaitGroup
		for _, q := range requests {
			wg.Add(1)
			go func() {
				defer wg.Done()
				h.queryCache(client, q)
			}()
		}
		wg.Wait()
		sleep(h.ctx, h.settings.Timing.LoadPoll.Std())
	}
}

func (h *Host) queryCache(client *http.Client, q controller.CacheRequest) {
	ev := controller.CacheRead{Upstream: q.Upstream}
	if q.All {
		var all wire.StoredSegments
		if getJSON(h.ctx, client, "http://"+q.Address+"/cache/segments", &all) == nil {
			ev.Segments = &all
		}
	} else {
		var events wire.CacheEvents
		if getJSON(h.ctx, client, fmt.Sprintf("http://%s/cache/events?From=%d", q.Address, q.From), &events) == nil {
			ev.Events = &events
		}
	}
	if h.ctx.Err() == nil {
		h.loop.post(ev)
	}
}

// orderTimeout bounds the delivery of an order. It must be less than the control
// plane's bound.
const orderTimeout = time.Second

var orderClient = &http.Client{Timeout: orderTimeout, Transport: verifier.Transport{RoundTripper: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}}

// issueOrder sends an order to an upstream unless the lease has expired.
func (h *Host) issueOrder(a controller.SendOrder) {
	done := controller.OrderDone{Upstream: a.Upstream, Order: a.Order}
	body, err := json.Marshal(a.Order)
	if err == nil && h.timer.Now().Before(a.Until) {
		var ans wire.OrderAnswer
		if err = h.postOrder(a.Address, body, &ans); err == nil {
			done.Answer = &ans
		}
	}
	ev := h.logger.Info()
	if err != nil {
		ev = h.logger.Warn().Err(err)
	}
	ev.Str("Upstream", a.Upstream).Str("Order", string(a.Order.Kind)).Uint64("Fencing", a.Order.Fencing).
		Bool("Accepted", done.Answer != nil && done.Answer.Accepted).Msg(logger.OrderGiven)
	if h.ctx.Err() == nil {
		h.loop.post(done)
	}
}

func (h *Host) postOrder(address string, body []byte, ans *wire.OrderAnswer) error {
	req, err := http.NewRequestWithContext(h.ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "runner: send order")
	}
	req.Header.Set("Content-Type", "application/json")
	return doJSON(orderClient, req, ans)
}

// startTimers starts the periodic tasks.
func (h *Host) startTimers() {
	stops := []func(){
		h.timer.Every(usageInterval, func(time.Time) {
			h.loop.post(controller.UsageRead{Usage: h.limiter.Read(), Interval: usageInterval})
		}),
		h.timer.Every(reportInterval, h.flushOutcomes),
		h.timer.Every(wakeInterval, h.server.Wake),
	}
	h.spawn(func() {
		<-h.ctx.Done()
		for _, stop := range stops {
			stop()
		}
	})
}
