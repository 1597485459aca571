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

// ClaimsOptions set up the measurement of requests that may run only once.
type ClaimsOptions struct {
	Hosts      int
	Rate       float64 // Rate is in requests per second, half of them with a claim.
	For        time.Duration
	LogLatency time.Duration
	Faults     bool // Faults lets the log fail in turns, and ends an owner's process in the middle.
}

// ClaimsResult is what claims cost.
type ClaimsResult struct {
	Plain    *Times // Plain is the time of calls without a claim.
	Claimed  *Times // Claimed is the time of calls with one.
	Failed   int
	Appends  float64       // Appends is the log's appends per second during the load.
	TakeOver time.Duration // TakeOver is the time from the end of an owner's process to the next claim in its range.
	Keys     int           // Keys is the number of keys sent.
	Twice    int           // Twice is the number of keys that ran more than once.
	NotRun   int           // NotRun is the number of keys that were refused as not run.
	Lies     int           // Lies is the number of those that ran.

	notRun []string
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
	if opts.Faults {
		faultCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go failInTurns(faultCtx, d.Log)
		owner, others := splitOwner(d)
		if owner == nil {
			return res, errors.New("experimenter: nobody owns the range")
		}
		d.Hosts = others
		time.AfterFunc(opts.For/2, func() { owner.Close() })
	}
	res.load(ctx, d, opts)
	res.Appends = float64(d.Log.Appends()-before) / time.Since(start).Seconds()
	res.audit(d.Services)
	if !opts.Faults {
		res.TakeOver, err = takeOver(ctx, d)
	}
	return res, err
}

// audit compares what was said with what the services ran.
func (r *ClaimsResult) audit(services []*emulator.Service) {
	runs := make(map[string]int)
	for _, s := range services {
		for body, n := range s.Runs() {
			runs[body] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			r.Twice++
		}
	}
	r.NotRun = len(r.notRun)
	for _, body := range r.notRun {
		if runs[body] > 0 {
			r.Lies++
		}
	}
}

// failInTurns lets the log lose answers, be slow and be down, with pauses.
func failInTurns(ctx context.Context, log *emulator.Log) {
	turns := []emulator.LogFault{{LoseAnswers: 0.3}, {}, {Slow: 100 * time.Millisecond}, {}, {Down: true}, {}}
	for i := 0; ctx.Err() == nil; i++ {
		log.SetFault(turns[i%len(turns)])
		time.Sleep(1500 * time.Millisecond)
	}
	log.SetFault(emulator.LogFault{})
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
				r.notRun = append(r.notRun, body)
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

// call calls the plain service, once if it has a key. notRun tells that it was
// refused as not run.
func call(ctx context.Context, client *http.Client, address, key, body string) (ok, notRun bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/services/"+deployment.Service+"/slots", bytes.NewReader([]byte(body)))
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

// splitOwner returns the host that owns the first range of claims, and the
// others.
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

// takeOver ends the process that owns the first range and returns when the next
// claim there is won.
func takeOver(ctx context.Context, d *deployment.Deployment) (time.Duration, error) {
	owner, others := splitOwner(d)
	if owner == nil {
		return 0, errors.New("experimenter: nobody owns the range")
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

// Print writes a result.
func (r ClaimsResult) Print(w io.Writer) {
	fmt.Fprintf(w, "calls without a claim    %s  (%d)\n", r.Plain, r.Plain.Count())
	fmt.Fprintf(w, "calls with a claim       %s  (%d)\n", r.Claimed, r.Claimed.Count())
	fmt.Fprintf(w, "added at p50             %s\n", round(r.Claimed.At(0.5)-r.Plain.At(0.5)))
	fmt.Fprintf(w, "failed                   %d\n", r.Failed)
	fmt.Fprintf(w, "keys                     %d\n", r.Keys)
	fmt.Fprintf(w, "keys that ran twice      %d\n", r.Twice)
	fmt.Fprintf(w, "refused as not run       %d, of which ran %d\n", r.NotRun, r.Lies)
	fmt.Fprintf(w, "appends per second       %.0f\n", r.Appends)
	fmt.Fprintf(w, "take-over                %s\n", round(r.TakeOver))
}
