// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package runner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/controller"
	"amaranthgate.example/amaranthgate/internal/wire"
)

// Intervals that are no settings.
const (
	listInterval   = time.Second
	usageInterval  = time.Second
	reportInterval = 5 * time.Second
	wakeInterval   = 50 * time.Millisecond
	loadTimeout    = time.Second
	maxLoadBytes   = 1 << 20
)

// pollHostList asks for the platform's host list.
func (h *Host) pollHostList() {
	for h.ctx.Err() == nil {
		a, err := h.list.Fetch(h.ctx)
		if err == nil {
			h.loop.post(controller.HostsListed{Answer: a})
		}
		pause(h.ctx, listInterval)
	}
}

// pollLoads asks the upstreams that this host watches for their load.
func (h *Host) pollLoads() {
	client := &http.Client{Timeout: loadTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for h.ctx.Err() == nil {
		var watched []configurer.Upstream
		h.loop.call(func(_ time.Time, n *controller.Node) { watched = n.Watched() })
		var all sync.WaitGroup
		for _, u := range watched {
			all.Add(1)
			go func() {
				defer all.Done()
				h.askLoad(client, u)
			}()
		}
		all.Wait()
		pause(h.ctx, h.settings.Timing.LoadPoll.Std())
	}
}

func (h *Host) askLoad(client *http.Client, u configurer.Upstream) {
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return nil, errors.Wrap(err, "runner: load")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "runner: load")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("runner: load: status %d", resp.StatusCode)
	}
	var rep wire.LoadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&rep); err != nil {
		return nil, errors.Wrap(err, "runner: load")
	}
	return &rep, nil
}

// startTicks subscribes what happens by time.
func (h *Host) startTicks() {
	stops := []func(){
		h.timer.Every(usageInterval, func(time.Time) {
			h.loop.post(controller.UsageRead{Usage: h.limiter.Read(), Interval: usageInterval})
		}),
		h.timer.Every(reportInterval, h.flushOutcomes),
		h.timer.Every(wakeInterval, h.server.Wake),
	}
	h.goDo(func() {
		<-h.ctx.Done()
		for _, stop := range stops {
			stop()
		}
	})
}
