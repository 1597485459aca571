// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/platform/standin"
)

// Parameters of the case of second answers.
const (
	plainServices = 20 // plainServices is the number of services, each with one server.
	plainSlots    = 2
	plainQueue    = 2
	plainWork     = 100 * time.Millisecond
	plainTimeout  = 2 * time.Second
	heartbeat     = 1200 * time.Millisecond
	apiKey        = "key-of-tenant-1"

	// repeatingServers is the number of servers that send second answers, and repeatingShare the share of their answers.
	repeatingServers = 12
	repeatingShare   = 0.03
	repeatingTime    = 5 * time.Second // repeatingTime is how long they do so at a time, periods how often.
	periods          = 9

	requestRate = 440 // requestRate is in requests a second to all services together.
)

// secondAnswers has servers send second copies of some answers late, at the point where the next answer is expected.
// Requests must run at most once, and those that are refused must not run.
func secondAnswers(ctx context.Context, r *rig) ([]string, error) {
	store := standin.NewStore()
	defer store.Close()
	store.Put(standin.TopicOperator, "config", plainConfiguration())
	var servers []*server
	for i := range plainServices {
		s, err := startServer(serverOptions{id: fmt.Sprint("i-", i+1), service: serviceName(i), zone: zones[i%len(zones)],
			slots: plainSlots, queue: plainQueue, work: plainWork, seed: uint64(i), record: r.record})
		if err != nil {
			return nil, err
		}
		defer func() { _ = s.listener.Close() }()
		servers = append(servers, s)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go sendHeartbeats(ctx, store, servers)
	hosts, err := startHosts(ctx, r.dir, store.Address())
	for _, h := range hosts {
		defer h.stop()
	}
	if err != nil {
		return nil, err
	}
	r.record.add("hosts: %s", addresses(hosts))
	c := &clients{hosts: hosts, target: func(draw int) (string, string) {
		return routeHost(draw % plainServices), pathPrefix + "crew"
	}, key: apiKey, deadline: plainTimeout, record: r.record, rng: rand.New(rand.NewPCG(1, 2)), statuses: make(map[string]int)}
	c.run(requestRate, 2*time.Second)
	for range periods {
		if r.trouble {
			setRepeating(r, servers[:repeatingServers], repeatingShare)
		}
		c.run(requestRate, repeatingTime)
		setRepeating(r, servers[:repeatingServers], 0)
		c.run(requestRate, time.Second)
	}
	c.inFlight.Wait()
	time.Sleep(time.Second) // servers may still run requests that clients have given up
	return onceViolations(r, c, servers), nil
}

// setRepeating sets the share of answers that servers repeat.
func setRepeating(r *rig, servers []*server, share float64) {
	for _, s := range servers {
		s.setRepeating(share)
	}
	r.record.add("servers i-1 to i-%d send second copies of a share of %g of their answers", len(servers), share)
}

func serviceName(i int) string { return fmt.Sprint("app-", i+1) }

func routeHost(i int) string { return fmt.Sprintf("app-%d.example", i+1) }

// pathPrefix is the prefix of all routes.
const pathPrefix = "/alerts/"

// sendHeartbeats keeps the servers' entries in the store.
func sendHeartbeats(ctx context.Context, store *standin.Store, servers []*server) {
	for ctx.Err() == nil {
		for _, s := range servers {
			store.Put(standin.TopicUpstreams, s.opts.id, s.entry())
		}
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// plainConfiguration returns a configuration whose requests must all run at most once.
func plainConfiguration() []byte {
	var routes, services []map[string]any
	for i := range plainServices {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r-", i+1), "host": routeHost(i), "path_prefix": pathPrefix, "kind": "non_idempotent",
			"timeout_ms": plainTimeout.Milliseconds(), "target_latency_ms": 500, "priority": 2, "service": serviceName(i),
			"max_attempts": 1, "public": false, "sticky": false, "resumable": false,
		})
		services = append(services, map[string]any{"name": serviceName(i), "health_path": "/health", "max_connections": 96,
			"protocol": "h1", "tls": false})
	}
	b, err := json.Marshal(map[string]any{
		"version": 3, "routes": routes, "services": services,
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": []string{apiKey}, "isolated": false}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	if err != nil {
		panic("rig: encode configuration: " + err.Error())
	}
	return b
}

// onceViolations returns the requests that ran twice, and those that were refused and ran.
func onceViolations(r *rig, c *clients, servers []*server) []string {
	runs, refused, repeated := make(map[string]int), 0, 0
	for _, s := range servers {
		s.mu.Lock()
		for id, n := range s.runs {
			runs[id] += n
		}
		refused, repeated = refused+s.refused, repeated+s.repeated
		s.mu.Unlock()
	}
	answers := make(map[int]int)
	var broken []string
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, status := range c.statuses {
		answers[status]++
		if runs[id] > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s ran %d times and was answered %d", id, runs[id], status))
		}
		if runs[id] > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			broken = append(broken, fmt.Sprintf("REFUSED: request %s was answered %d and ran", id, status))
		}
	}
	slices.Sort(broken)
	r.record.add("sent %d, answers by status %v, refused by servers %d, second answers %d", c.sent, answers, refused, repeated)
	fmt.Printf("sent %d, answers by status %v, refused by servers %d, second answers %d\n", c.sent, answers, refused, repeated)
	return broken
}
