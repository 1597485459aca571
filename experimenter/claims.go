// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/internal/deployment"
	"amaranthgate.example/amaranthgate/runner"
)

// ClaimsOptions set up the measurement of requests that may run only once.
type ClaimsOptions struct {
	Hosts      int
	Rate       float64 // Rate is in requests per second, half of them with a claim.
	For        time.Duration
	LogLatency time.Duration
}

// ClaimsResult is what claims cost.
type ClaimsResult struct {
	Plain    *Times // Plain is the time of calls without a claim.
	Claimed  *Times // Claimed is the time of calls with one.
	Failed   int
	Appends  float64       // Appends is the log's appends per second during the load.
	TakeOver time.Duration // TakeOver is the time from the end of an owner's process to the next claim in its range.
	Twice    int           // Twice is the number of keys that ran more than once.
}

// Claims measures calls with and without a claim in one run, and the take-over
// after an owner has died.
func Claims(ctx context.Context, opts ClaimsOptions) (ClaimsResult, error) {
	res := ClaimsResult{Plain: NewTimes(), Claimed: NewTimes()}
	d, err := deployment.Start(ctx, deployment.Options{
		Hosts: opts.Hosts, Services: 4, LogLatency: opts.LogLatency,
		Document: func(doc *configurer.Document) {
			w := &doc.Workspaces[0]
			w.RequestsPerSecond, w.Burst, w.Concurrency = 1e6, 1e6, 1e6
			for i := range doc.Upstreams {
				doc.Upstreams[i].Slots = 4096
			}
		},
	})
	if err != nil {
		return res, err
	}
	defer d.Close()
	time.Sleep(4 * time.Second) // duties are taken, grants have come
	before := d.Log.Appends()
	start := time.Now()
	res.load(ctx, d, opts)
	res.Appends = float64(d.Log.Appends()-before) / time.Since(start).Seconds()
	for _, s := range d.Services {
		for _, n := range s.Runs() {
			if n > 1 {
				res.Twice++
			}
		}
	}
	res.TakeOver, err = takeOver(ctx, d)
	return res, err
}

func (r *ClaimsResult) load(ctx context.Context, d *deployment.Deployment, opts ClaimsOptions) {
	client := newHTTPClient()
	var mu sync.Mutex
	var all sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < opts.For && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / opts.Rate * float64(time.Second)))))
		all.Add(1)
		go func() {
			defer all.Done()
			key := ""
			if i%2 == 0 {
				key = fmt.Sprintf("key-%d", i)
			}
			sent := time.Now()
			ok := call(ctx, client, d.Callers(i/2%len(d.Hosts)), key, fmt.Sprintf("call %d", i))
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !ok:
				r.Failed++
			case key == "":
				r.Plain.Add(took)
			default:
				r.Claimed.Add(took)
			}
		}()
	}
	all.Wait()
}

// call calls the plain service, once if it has a key.
func call(ctx context.Context, client *http.Client, address, key, body string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/services/"+deployment.Service+"/slots", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// takeOver ends the process that owns the first range and returns when the next
// claim there is won.
func takeOver(ctx context.Context, d *deployment.Deployment) (time.Duration, error) {
	lease := d.Hosts[0].Dump().Control.Leases[claimer.LeaseName(0)]
	var others []*runner.Host
	var owner *runner.Host
	for _, h := range d.Hosts {
		if h.Dump().Control.Writer == lease.Holder {
			owner = h
		} else {
			others = append(others, h)
		}
	}
	if owner == nil {
		return 0, fmt.Errorf("experimenter: nobody owns the range")
	}
	d.Hosts = others
	start := time.Now()
	owner.Close()
	client := newHTTPClient()
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("after-%d", i)
		if claimer.NewKey(deployment.Workspace, key).Range() == 0 && call(ctx, client, d.Callers(0), key, key) {
			return time.Since(start), nil
		}
	}
	return 0, ctx.Err()
}

// Print writes a result.
func (r ClaimsResult) Print(w io.Writer) {
	fmt.Fprintf(w, "calls without a claim    %s  (%d)\n", r.Plain, r.Plain.Count())
	fmt.Fprintf(w, "calls with a claim       %s  (%d)\n", r.Claimed, r.Claimed.Count())
	fmt.Fprintf(w, "added at p50             %s\n", round(r.Claimed.At(0.5)-r.Plain.At(0.5)))
	fmt.Fprintf(w, "failed                   %d\n", r.Failed)
	fmt.Fprintf(w, "keys that ran twice      %d\n", r.Twice)
	fmt.Fprintf(w, "appends per second       %.0f\n", r.Appends)
	fmt.Fprintf(w, "take-over                %s\n", round(r.TakeOver))
}
