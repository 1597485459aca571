// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"amaranthgate.example/amaranthgate/platform/standin"
)

// Sizes of the case.
const (
	engineCount  = 18
	sharedCount  = 12
	sharedTokens = 12800
	fillerCount  = 54
	fillerTokens = 34000
	ownTokens    = 400
	readyTimeout = 30 * time.Second
	rounds       = 4 // rounds bounds how often the disruption comes, each time with other parts.
)

// Times of the disruption: a freeze of freezeTime, in which the store of kept prompts is down for downTime.
const (
	freezeTime = 3 * time.Second
	crashAt    = 300 * time.Millisecond
	downTime   = 100 * time.Millisecond
	resaveAt   = 2500 * time.Millisecond
	queueAt    = 2950 * time.Millisecond
)

// playThaw freezes a host while the store of kept prompts crashes and returns empty, and wakes it while others save
// their parts there again. It reports whether a request took memory from the store that was not whole there.
func playThaw(rec *record, trouble bool) (broken bool, err error) {
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	platform := standin.NewStore()
	defer platform.Close()
	cache, err := newCacheStore(rec)
	if err != nil {
		return false, err
	}
	defer func() { _ = cache.server.Close() }()
	for i := range engineCount {
		e, err := newEngine(rec, fmt.Sprintf("i-%02d", i), cache)
		if err != nil {
			return false, err
		}
		defer e.closer()
		platform.Put(standin.TopicUpstreams, e.id, e.entry())
	}
	platform.Put(standin.TopicOperator, "version/"+modelName, []byte(`{"model": "`+modelName+`", "version": 1}`))
	platform.Put(standin.TopicOperator, "config", configuration(cache.address))
	var hosts []*host
	for i := range 3 {
		h, err := startHost(dir, fmt.Sprint("front-", i+1), platform.Address())
		if h != nil && h.cmd != nil && h.cmd.Process != nil {
			defer h.end()
		}
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
	}
	if !awaitReady(hosts) {
		return false, errors.New("the hosts do not get ready")
	}
	time.Sleep(2 * time.Second)
	for round := 0; round < rounds && !broken; round++ {
		rec.logf("round %d", round+1)
		seed(rec, hosts, round)
		if err := disturb(rec, cache, hosts, round, trouble); err != nil {
			return false, err
		}
		fetched, mixed := cache.counts()
		rec.logf("%d fetches of whole parts, %d of parts that were being written", fetched, mixed)
		broken = mixed > 0
	}
	return broken, nil
}

func awaitReady(hosts []*host) bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, h := range hosts {
			all = all && h.isReady()
		}
		if all {
			return true
		}
	}
	return false
}

// shared returns a request with the shared part of the given number.
func shared(prefix string, i int) request {
	return request{id: fmt.Sprintf("%s-%d", prefix, i), parts: fmt.Sprintf("a%04x:%d,b%s%04x:%d", i, sharedTokens, prefixCode(prefix), i, ownTokens)}
}

// prefixCode returns a hexadecimal code of a name.
func prefixCode(prefix string) string { return fmt.Sprintf("%x", prefix) }

// seed has engines read the shared parts, which are saved to the store, and then others, so that the engines do not
// keep the shared ones.
func seed(rec *record, hosts []*host, round int) {
	var work sync.WaitGroup
	for i := range sharedCount {
		work.Go(func() { ask(rec, hosts[i%2], shared("seed", round*sharedCount+i)) })
	}
	work.Wait()
	time.Sleep(2 * time.Second)
	for at := 0; at < fillerCount; at += engineCount {
		for n := at; n < at+engineCount; n++ {
			i := round*fillerCount + n
			r := request{id: fmt.Sprint("filler-", i), parts: fmt.Sprintf("c%04x:%d,d%04x:%d", i, fillerTokens, i, ownTokens)}
			work.Go(func() { ask(rec, hosts[i%2], r) })
		}
		work.Wait()
	}
	time.Sleep(2 * time.Second)
}

// disturb freezes the last host, has the store crash, and sends requests for the shared parts to another host and then
// to the frozen one, which wakes.
func disturb(rec *record, cache *cacheStore, hosts []*host, round int, trouble bool) error {
	frozen, other := hosts[2], hosts[0]
	var queued []*client
	for range 2 * sharedCount {
		c, err := connect(rec, frozen)
		if err != nil {
			return err
		}
		queued = append(queued, c)
	}
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	if trouble {
		rec.logf("%s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
	}
	at(crashAt)
	if trouble {
		rec.logf("the store of kept prompts crashes")
		if err := cache.crash(downTime); err != nil {
			return err
		}
		rec.logf("it is back, empty")
	}
	at(resaveAt)
	var work sync.WaitGroup
	for i := range sharedCount {
		work.Go(func() { ask(rec, other, shared("again", round*sharedCount+i)) })
	}
	at(queueAt)
	for i, c := range queued {
		r := shared(fmt.Sprint("late", i/sharedCount), round*sharedCount+i%sharedCount)
		if err := c.send(frozen, r); err != nil {
			return err
		}
		work.Go(func() { c.receive(r) })
	}
	at(freezeTime)
	if trouble {
		rec.logf("%s wakes", frozen.name)
		frozen.signal(syscall.SIGCONT)
	}
	work.Wait()
	return nil
}
