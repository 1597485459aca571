// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

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

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/emulator"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/internal/deployment"
	"amaranthgate.example/amaranthgate/runner"
	"amaranthgate.example/amaranthgate/server"
)

// ClaimsOptions configure the measurement of requests that may run only once.
type ClaimsOptions struct {
	Hosts      int
	Rate       float64 // requests per second, half of them with a claim
	For        time.Duration
	LogLatency time.Duration
	Faults     bool // inject faults of the log, and stop the owner of a range halfway
}

// ClaimsResult is the cost and the correctness of claims.
type ClaimsResult struct {
	Plain        *Histogram // response times without a claim
	Claimed      *Histogram // response times with a claim
	Failed       int
	Appends      float64       // appends to the log per second
	TakeOver     time.Duration // time from an owner's stop to the next claim in its range
	Keys         int           // number of keys sent
	RanTwice     int           // number of requests that ran more than once
	NotRun       int           // number of requests reported as not run
	NotRunButRan int           // number of those that ran

	notRunBodies []string
}

// Claims measures calls with and without a claim, and the take-over of a range
// of claims after its owner has stopped.
func Claims(ctx context.Context, opts ClaimsOptions) (ClaimsResult, error) {
	res := ClaimsResult{Plain: NewHistogram(), Claimed: NewHistogram()}
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
	time.Sleep(4 * time.Second) // until the ranges have owners and the hosts their shares of the limits
	before := d.Log.Appends()
	start := time.Now()
	if opts.Faults {
		faultCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go cycleFaults(faultCtx, d.Log)
		owner, others := splitOwner(d)
		if owner == nil {
			return res, errors.New("experimenter: no host owns the range")
		}
		d.Hosts = others
		time.AfterFunc(opts.For/2, func() { owner.Close() })
	}
	res.sendCalls(ctx, d, opts)
	res.Appends = float64(d.Log.Appends()-before) / time.Since(start).Seconds()
	res.audit(d.Services)
	if !opts.Faults {
		res.TakeOver, err = takeOver(ctx, d)
	}
	return res, err
}

// audit compares the reported outcomes with the services' executions.
func (r *ClaimsResult) audit(services []*emulator.Service) {
	runs := make(map[string]int)
	for _, s := range services {
		for body, n := range s.Runs() {
			runs[body] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			r.RanTwice++
		}
	}
	r.NotRun = len(r.notRunBodies)
	for _, body := range r.notRunBodies {
		if runs[body] > 0 {
			r.NotRunButRan++
		}
	}
}

// cycleFaults has the log lose answers, be slow and be down in turn, with
// pauses, until ctx ends.
func cycleFaults(ctx context.Context, log *emulator.Log) {
	faults := []emulator.LogFault{{LoseAnswers: 0.3}, {}, {Slow: 100 * time.Millisecond}, {}, {Down: true}, {}}
	for i := 0; ctx.Err() == nil; i++ {
		log.SetFault(faults[i%len(faults)])
		time.Sleep(1500 * time.Millisecond)
	}
	log.SetFault(emulator.LogFault{})
}

// sendCalls sends calls at a fixed rate, every second one with a claim.
func (r *ClaimsResult) sendCalls(ctx context.Context, d *deployment.Deployment, opts ClaimsOptions) {
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
			body := fmt.Sprintf("call %d", i)
			ok, notRun := call(ctx, client, d.Callers(i/2%len(d.Hosts)), key, body)
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			if key != "" {
				r.Keys++
			}
			switch {
			case notRun:
				r.Failed++
				r.notRunBodies = append(r.notRunBodies, body)
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

// call calls the plain service, with a claim if key is not empty. notRun
// reports whether the call failed with the assurance that it did not run.
func call(ctx context.Context, client *http.Client, address, key, body string) (ok, notRun bool) {
	req, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+address+"/services/"+deployment.Service+"/slots",
		bytes.NewReader([]byte(body)),
	)
	if err != nil {
		return false, false
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Token)
	if key != "" {
		req.Header.Set(server.HeaderKey, key)
		req.Header.Set(server.HeaderAttempt, "1")
		req.Header.Set(server.HeaderDeadline, "3s")
	}
	resp, err := client.Do(req)
	if err != nil {
		return false, false
	}
	defer resp.Body.Close()
	var p server.Problem
	answer, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK {
		return err == nil, false
	}
	return false, json.Unmarshal(answer, &p) == nil && p.Ran == forwarder.RanNo
}

// splitOwner returns the host that owns the first range of claims, or nil, and
// the other hosts.
func splitOwner(d *deployment.Deployment) (owner *runner.Host, others []*runner.Host) {
	lease := d.Hosts[0].Dump().Control.Leases[claimer.LeaseName(0)]
	for _, h := range d.Hosts {
		if h.Dump().Control.Writer == lease.Holder {
			owner = h
		} else {
			others = append(others, h)
		}
	}
	return owner, others
}

// takeOver stops the owner of the first range of claims and returns the time
// until the next claim in it succeeds.
func takeOver(ctx context.Context, d *deployment.Deployment) (time.Duration, error) {
	owner, others := splitOwner(d)
	if owner == nil {
		return 0, errors.New("experimenter: no host owns the range")
	}
	d.Hosts = others
	start := time.Now()
	owner.Close()
	client := newHTTPClient()
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("after-%d", i)
		if claimer.NewKey(deployment.Workspace, key).Range() != 0 {
			continue
		}
		if ok, _ := call(ctx, client, d.Callers(0), key, key); ok {
			return time.Since(start), nil
		}
	}
	return 0, ctx.Err()
}

// Print writes a result as a table.
func (r ClaimsResult) Print(w io.Writer) {
	fmt.Fprintf(w, "calls without a claim    %s  (%d)\n", r.Plain, r.Plain.Count())
	fmt.Fprintf(w, "calls with a claim       %s  (%d)\n", r.Claimed, r.Claimed.Count())
	fmt.Fprintf(w, "added at p50             %s\n", round(r.Claimed.Quantile(0.5)-r.Plain.Quantile(0.5)))
	fmt.Fprintf(w, "failed                   %d\n", r.Failed)
	fmt.Fprintf(w, "keys                     %d\n", r.Keys)
	fmt.Fprintf(w, "keys that ran twice      %d\n", r.RanTwice)
	fmt.Fprintf(w, "refused as not run       %d, of which ran %d\n", r.NotRun, r.NotRunButRan)
	fmt.Fprintf(w, "appends per second       %.0f\n", r.Appends)
	fmt.Fprintf(w, "take-over                %s\n", round(r.TakeOver))
}
