// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"amaranthgate.example/amaranthgate/platform/standin"
)

// Parameters of the case of a tenant that becomes isolated.
const (
	engineCount   = 2
	engineService = "engines"
	engineModel   = "m"
	engineHost    = "triage.example"
	enginePath    = "/triage/"
	engineTokens  = 70000

	isolatedTenant, isolatedKey = "tenant-1", "key-of-tenant-1"
	otherTenant, otherKey       = "tenant-2", "key-of-tenant-2"

	sharedPart   = "5c1e07a2" // sharedPart is a part of the prompts of both tenants.
	sharedTokens = 12800
	ownTokens    = 400 // ownTokens is the length of the last part, which no other request has.

	requestsOfEach = 12
	requestGap     = 100 * time.Millisecond

	configurationBound  = 2 * time.Second // configurationBound is config_apply_ms.
	configurationMargin = 3 * time.Second
)

// isolation has a tenant become isolated by a change of the configuration. Later requests of others must not use what
// requests of that tenant made.
func isolation(ctx context.Context, r *rig) ([]string, error) {
	store := standin.NewStore()
	defer store.Close()
	store.Put(standin.TopicOperator, "config", engineConfiguration(3, false))
	var engines []*standin.Upstream
	for i := range engineCount {
		u := standin.NewUpstream(standin.UpstreamOptions{ID: fmt.Sprint("e-", i+1), Service: engineService, Model: engineModel,
			Zone: zones[i%len(zones)], PrefillRate: 36.7, CacheTokens: engineTokens, Delay: 10 * time.Millisecond, Events: 6, Slots: 64, QueueLength: 192})
		defer u.Close()
		engines = append(engines, u)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go sendEngineHeartbeats(ctx, store, engines)
	hosts, err := startHosts(ctx, r.dir, store.Address())
	for _, h := range hosts {
		defer h.stop()
	}
	if err != nil {
		return nil, err
	}
	r.record.add("hosts: %s", addresses(hosts))
	p := &prompter{hosts: hosts, record: r.record, rng: rand.New(rand.NewPCG(3, 4)), prefix: "p", gap: requestGap}
	for range requestsOfEach {
		p.ask(isolatedTenant, isolatedKey)
	}
	if r.trouble {
		store.Put(standin.TopicOperator, "config", engineConfiguration(5, true))
		r.record.add("the store has acknowledged configuration 5, in which %s is isolated", isolatedTenant)
	}
	time.Sleep(configurationBound + configurationMargin)
	changed := time.Now()
	r.record.add("from here on requests count")
	for range requestsOfEach {
		p.ask(otherTenant, otherKey)
	}
	return p.foreignUses(r, engines, changed), nil
}

func sendEngineHeartbeats(ctx context.Context, store *standin.Store, engines []*standin.Upstream) {
	for ctx.Err() == nil {
		for i, u := range engines {
			store.Put(standin.TopicUpstreams, fmt.Sprint("e-", i+1), u.Entry("ready"))
		}
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// engineConfiguration returns a configuration with one service of engines and two tenants, of which the first may be
// isolated.
func engineConfiguration(version int, isolated bool) []byte {
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": engineHost, "path_prefix": enginePath, "kind": "streaming", "timeout_ms": 5000,
			"target_latency_ms": 1000, "priority": 1, "service": engineService, "max_attempts": 1, "public": false,
			"sticky": true, "resumable": false, "target_gap_ms": 300,
		}},
		"services": []map[string]any{{
			"name": engineService, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": engineTokens, "kv_token_bytes": 18432, "link_mbps": 180000,
				"models": []map[string]any{{"name": engineModel}}},
		}},
		"tenants": []map[string]any{
			{"name": isolatedTenant, "api_keys": []string{isolatedKey}, "isolated": isolated},
			{"name": otherTenant, "api_keys": []string{otherKey}, "isolated": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	if err != nil {
		panic("rig: encode configuration: " + err.Error())
	}
	return b
}

// prompter is a client that sends prompts one after the other.
type prompter struct {
	hosts  []*host
	record *recorder
	rng    *rand.Rand
	prefix string        // prefix begins the IDs of its requests.
	gap    time.Duration // gap is the time between an answer and the next request.
	sent   int
	read   map[string]string // read says how many tokens of each request's prompt its engine prefilled.
}

// ask sends a prompt of a tenant and waits for the answer.
func (p *prompter) ask(tenant, key string) {
	p.sent++
	id := fmt.Sprintf("%s%04d", p.prefix, p.sent)
	to := p.hosts[p.rng.IntN(len(p.hosts))]
	p.record.add("client  request %s of %s  sent to %s", id, tenant, to.name)
	resp, err := p.exchange(id, key, to)
	if err != nil {
		p.record.add("client  request %s  no answer: %v", id, err)
	} else {
		if p.read == nil {
			p.read = make(map[string]string)
		}
		p.read[id] = resp.Header.Get(standin.HeaderPrefilled)
		p.record.add("client  request %s  gets %d, the engine prefilled %q", id, resp.StatusCode, p.read[id])
	}
	time.Sleep(p.gap)
}

func (p *prompter) exchange(id, key string, to *host) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp4", to.callers, time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second)) // never fails on an open connection
	body := "report " + id
	_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\n%s: %s%s\r\n%s: %s\r\n%s: %d,80\r\n%s: %s:%d,%s:%d\r\nContent-Length: %d\r\n\r\n%s",
		enginePath, engineHost, names.RequestID, id, names.Deadline, names.Authorization, names.AuthorizationScheme, key,
		names.Model, engineModel, names.Tokens, sharedTokens+ownTokens, names.Parts, sharedPart, sharedTokens, ownPart(id), ownTokens, len(body), body)
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// ownPart returns the ID of the last part of a prompt, which no other request has.
func ownPart(id string) string { return fmt.Sprintf("%x", id) }

// foreignUses returns the requests after a time that used the shared part as a request of another tenant made it, where
// one of the two tenants is isolated by then.
func (p *prompter) foreignUses(r *rig, engines []*standin.Upstream, from time.Time) []string {
	if !r.trouble {
		return nil // no tenant is isolated
	}
	var broken []string
	for i, u := range engines {
		made := make(map[string]standin.Run) // made has the request that first made the part at this engine, by salt.
		runs := u.Runs()
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
		for _, run := range runs {
			salt, tenant := run.Header.Get(names.Salt), run.Header.Get(names.Tenant)
			r.record.add("engine e-%d  ran request %s of %s under the salt %q, prefilled %s", i+1, run.ID, tenant, salt, p.read[run.ID])
			maker, ok := made[salt]
			if !ok {
				made[salt] = run
				continue
			}
			makerOf := maker.Header.Get(names.Tenant)
			foreign := tenant != makerOf && (tenant == isolatedTenant || makerOf == isolatedTenant)
			if foreign && run.At.After(from) && strings.HasPrefix(p.read[run.ID], fmt.Sprint(ownTokens, " of ")) {
				broken = append(broken, fmt.Sprintf("WALL: request %s of %s used the part %s that request %s of %s made at e-%d",
					run.ID, tenant, sharedPart, maker.ID, makerOf, i+1))
			}
		}
	}
	return broken
}
