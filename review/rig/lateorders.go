// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthgate.example/amaranthgate/platform/standin"
)

// Parameters of the case of late orders.
const (
	lateEngines = 18
	lateShare   = 0.5
	lateTime    = 7 * time.Second // lateTime is how long orders are late at a time, lateRounds how often.
	lateRounds  = 3

	engineWork = 80 * time.Millisecond
	engineLoad = 1100 * time.Millisecond

	// calmTime is how long nothing is disrupted after the last version was named. version_ms is 12 s, and engines have 1.5
	// times as long.
	calmTime = 25 * time.Second

	promptGap = 40 * time.Millisecond
)

// lateOrders has new weights named twice in 7 s while engines leave orders unanswered and carry them out late. When the
// traffic ends, more than one engine and over a tenth of them must not have an older version.
func lateOrders(ctx context.Context, r *rig) ([]string, error) {
	store := standin.NewStore()
	defer store.Close()
	store.Put(standin.TopicOperator, "config", engineConfiguration(3, false))
	var engines []*engine
	for i := range lateEngines {
		e, err := startEngine(engineOptions{id: fmt.Sprint("e-", i+1), service: engineService, zone: zones[i%len(zones)], model: engineModel,
			slots: 64, work: engineWork, load: engineLoad, seed: uint64(time.Now().UnixNano()) + uint64(i), record: r.record})
		if err != nil {
			return nil, err
		}
		defer e.close()
		engines = append(engines, e)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			for _, e := range engines {
				store.Put(standin.TopicUpstreams, e.opts.id, e.entry())
			}
			pause(ctx, heartbeat)
		}
	}()
	hosts, err := startHosts(ctx, r.dir, store.Address())
	for _, h := range hosts {
		defer h.stop()
	}
	if err != nil {
		return nil, err
	}
	r.record.add("hosts: %s", addresses(hosts))
	for i := range 4 { // four clients at a time
		p := &prompter{hosts: hosts, record: r.record, rng: rand.New(rand.NewPCG(uint64(i), 6)), prefix: fmt.Sprint("c", i, "-"), gap: promptGap}
		go func() {
			for ctx.Err() == nil {
				p.ask(otherTenant, otherKey)
			}
		}()
	}
	version := uint64(1)
	for range lateRounds {
		if r.trouble {
			setLate(r, engines, lateShare)
		}
		version = nameVersion(r, store, version)
		pause(ctx, lateTime)
		setLate(r, engines, 0)
		version = nameVersion(r, store, version)
		pause(ctx, calmTime)
		if broken := oldVersions(r, engines, version); len(broken) > 0 {
			return broken, nil
		}
	}
	return nil, nil
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func setLate(r *rig, engines []*engine, share float64) {
	for _, e := range engines {
		e.setLate(share)
	}
	r.record.add("a share of %g of the orders gets no answer and is carried out late", share)
}

// nameVersion names the version after a version and returns it.
func nameVersion(r *rig, store *standin.Store, after uint64) uint64 {
	b, err := json.Marshal(map[string]any{"model": engineModel, "version": after + 1})
	if err != nil {
		panic("rig: encode version: " + err.Error())
	}
	store.Put(standin.TopicOperator, "version/"+engineModel, b)
	r.record.add("the store has acknowledged version %d of the weights", after+1)
	return after + 1
}

// oldVersions returns a violation if more than one engine and over a tenth of them have an older version than the newest.
func oldVersions(r *rig, engines []*engine, newest uint64) []string {
	old := 0
	for _, e := range engines {
		version, refused, ran := e.state()
		r.record.add("engine %s  has version %d; it ran %d requests and refused %d for its version", e.opts.id, version, ran, refused)
		if version < newest {
			old++
		}
	}
	fmt.Printf("%d of %d engines have an older version than %d\n", old, len(engines), newest)
	if old <= 1 || 10*old <= len(engines) {
		return nil
	}
	return []string{fmt.Sprintf("VERSION: %d of %d engines have an older version than %d, acknowledged %v before", old, len(engines), newest, calmTime)}
}
