// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/emulator"
	"amaranthgate.example/amaranthgate/internal/deployment"
	"amaranthgate.example/amaranthgate/internal/wire"
)

// ForwardOptions configure the measurement of forwarding overhead.
type ForwardOptions struct {
	Rate          float64       // requests per second, half of them direct
	For           time.Duration // duration of the measurement of times to first token
	Tokens        int           // tokens of an answer
	Streams       int           // concurrent streams for the measurement of memory
	Prompt        int           // bytes of a prompt
	TokenInterval time.Duration // time between tokens of an answer
}

// ForwardResult is the overhead of forwarding.
type ForwardResult struct {
	Direct             *Histogram // time to first token of direct calls to the engine
	Through            *Histogram // time to first token through a host
	Failed             int
	CPUPerToken        time.Duration // CPU time of a host for one token
	BytesPerStream     int64         // memory of a host for one open stream
	DirectCPUPerToken  time.Duration // CPU time of engine and client
	ThroughCPUPerToken time.Duration // CPU time of engine, client and host
}

// Forward compares calls through a host with direct calls to the same engine,
// interleaved at random.
func Forward(ctx context.Context, opts ForwardOptions) (ForwardResult, error) {
	var res ForwardResult
	d, err := deployment.Start(ctx, deployment.Options{
		Hosts: 1, Engines: 1,
		Engine: emulator.EngineOptions{Slots: 1 << 16, TokenInterval: opts.TokenInterval},
		Document: func(doc *configurer.Document) {
			w := &doc.Workspaces[0]
			w.RequestsPerSecond, w.Burst, w.Concurrency = 1e6, 1e6, 1e6
		},
	})
	if err != nil {
		return res, err
	}
	defer d.Close()
	time.Sleep(3 * time.Second) // until the hosts have been granted their shares of the limits
	direct, through := d.Document.Upstreams[0].Address, d.Callers(0)
	res.Direct, res.Through, res.Failed = firstTokens(ctx, direct, through, opts)
	if res.DirectCPUPerToken, err = cpuPerToken(ctx, direct, opts); err != nil {
		return res, err
	}
	if res.ThroughCPUPerToken, err = cpuPerToken(ctx, through, opts); err != nil {
		return res, err
	}
	res.CPUPerToken = res.ThroughCPUPerToken - res.DirectCPUPerToken
	res.BytesPerStream, err = memoryPerStream(ctx, direct, through, opts.Streams)
	return res, err
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 14, MaxConnsPerHost: 0}}
}

// firstTokens sends requests at a fixed rate, each at random to the engine or
// to the host. It returns the times to first token of both and the number of
// failed requests.
func firstTokens(
	ctx context.Context, direct, through string, opts ForwardOptions,
) (*Histogram, *Histogram, int) {
	times := [2]*Histogram{NewHistogram(), NewHistogram()}
	addresses := [2]string{direct, through}
	rng := rand.New(rand.NewPCG(1, 2))
	client := newHTTPClient()
	var mu sync.Mutex
	var all sync.WaitGroup
	failed := 0
	start := time.Now()
	for i := 0; time.Since(start) < opts.For && ctx.Err() == nil; i++ {
		due := start.Add(time.Duration(float64(i) / opts.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		side := rng.IntN(2)
		all.Add(1)
		go func() {
			defer all.Done()
			first, _, err := stream(ctx, client, addresses[side], newPrompt(i, opts.Prompt), opts.Tokens)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			if i > int(opts.Rate) { // the first second is for warm-up
				times[side].Add(first)
			}
		}()
	}
	all.Wait()
	return times[0], times[1], failed
}

func newPrompt(i, n int) string {
	p := fmt.Sprintf("prompt %d ", i)
	for len(p) < n {
		p += p
	}
	return p[:max(n, 16)]
}

// stream sends one prompt and returns the time to first token and the number of
// events.
func stream(
	ctx context.Context, client *http.Client, address, prompt string, tokens int,
) (time.Duration, int, error) {
	body, err := json.Marshal(wire.CompletionRequest{
		Model: deployment.Model, Prompt: prompt, MaxTokens: tokens,
		Stream: true, StreamOptions: &wire.StreamOptions{IncludeUsage: true},
	})
	if err != nil {
		return 0, 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Token)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return 0, 0, errors.Errorf("experimenter: unexpected status %d", resp.StatusCode)
	}
	var first time.Duration
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !bytes.HasPrefix(lines.Bytes(), []byte("data: ")) {
			continue
		}
		if events == 0 {
			first = time.Since(start)
		}
		events++
	}
	return first, events, lines.Err()
}

// cpuPerToken returns the CPU time of the whole process for one token of long
// streams.
func cpuPerToken(ctx context.Context, address string, opts ForwardOptions) (time.Duration, error) {
	streams, tokens := 64, 2000
	if opts.TokenInterval > 0 {
		streams, tokens = 640, 200
	}
	client := newHTTPClient()
	if _, _, err := stream(ctx, client, address, "warm up", tokens); err != nil {
		return 0, err
	}
	before := cpuTime()
	var all sync.WaitGroup
	errs := make(chan error, streams)
	for i := range streams {
		all.Add(1)
		go func() {
			defer all.Done()
			if _, _, err := stream(ctx, client, address, fmt.Sprintf("long %d", i), tokens); err != nil {
				errs <- err
			}
		}()
	}
	all.Wait()
	close(errs)
	if err := <-errs; err != nil {
		return 0, err
	}
	return (cpuTime() - before) / time.Duration(streams*tokens), nil
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryPerStream returns the memory of a host for one open stream: heap and
// stacks with streams through the host, less those with direct streams.
func memoryPerStream(ctx context.Context, direct, through string, n int) (int64, error) {
	if n == 0 {
		return 0, nil
	}
	a, err := openStreamsMemory(ctx, direct, n)
	if err != nil {
		return 0, err
	}
	b, err := openStreamsMemory(ctx, through, n)
	return (b - a) / int64(n), err
}

// openStreamsMemory returns the memory that n open streams take.
func openStreamsMemory(ctx context.Context, address string, n int) (int64, error) {
	client := newHTTPClient()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := usedMemory()
	bodies := make([]io.ReadCloser, 0, n)
	defer func() {
		cancel()
		for _, b := range bodies {
			_ = b.Close()
		}
		client.CloseIdleConnections()
		time.Sleep(time.Second)
	}()
	for i := range n {
		body, err := openStream(ctx, client, address, i)
		if err != nil {
			return 0, err
		}
		bodies = append(bodies, body)
	}
	return usedMemory() - before, nil
}

// unreadTokens is the length of streams that are opened but not read: more than
// the buffers between engine and caller hold.
const unreadTokens = 1 << 20

// openStream starts a stream and returns its body unread.
func openStream(ctx context.Context, client *http.Client, address string, i int) (io.ReadCloser, error) {
	body, err := json.Marshal(wire.CompletionRequest{
		Model: deployment.Model, Prompt: fmt.Sprintf("held %d", i), MaxTokens: unreadTokens, Stream: true,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Token)
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, errors.Errorf("experimenter: unexpected status %d", resp.StatusCode)
	}
	return resp.Body, nil
}

// usedMemory returns the bytes of heap and stacks after garbage collection.
func usedMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// Print writes a result as a table.
func (r ForwardResult) Print(w io.Writer) {
	fmt.Fprintf(w, "time to first token, direct   %s  (%d requests)\n", r.Direct, r.Direct.Count())
	fmt.Fprintf(w, "time to first token, a host   %s  (%d requests, %d failed)\n",
		r.Through, r.Through.Count(), r.Failed)
	for _, q := range []float64{0.5, 0.95, 0.99} {
		a, b := r.Direct.Quantile(q), r.Through.Quantile(q)
		fmt.Fprintf(w, "added at p%02.0f                  %s (ratio %.2f)\n", q*100, round(b-a), float64(b)/float64(a))
	}
	fmt.Fprintf(w, "processor time for a token    %s (with host %s, without %s)\n",
		round(r.CPUPerToken), round(r.ThroughCPUPerToken), round(r.DirectCPUPerToken))
	fmt.Fprintf(w, "memory for an open stream     %d bytes\n", r.BytesPerStream)
}
