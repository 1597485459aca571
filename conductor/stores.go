// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/tracker"
)

// CacheStores is the client of the KV cache stores.
type CacheStores interface {
	// Changes returns a store's changes since an earlier answer; lost reports that some of them are no
	// longer available.
	Changes(ctx context.Context, address string, since int64, wait time.Duration) (
		changes placer.StoreChanges, next int64, lost bool, err error)
	// Contents returns all contents of a store.
	Contents(ctx context.Context, address string) (changes placer.StoreChanges, next int64, err error)
	// Free evicts parts from a store.
	Free(ctx context.Context, f placer.UnusedParts) error
}

const (
	storeWait       = 900 * time.Millisecond // storeWait bounds a store's wait for changes; at most a second.
	storeTimeout    = 500 * time.Millisecond // storeTimeout bounds a call beyond storeWait.
	storePage       = 100                    // storePage is how many changes make the next read immediate.
	storeBatchDelay = 150 * time.Millisecond // storeBatchDelay lets changes accumulate.
)

// watchStores watches each store of a view for which this host is first in rank; watchStore shares
// the changes with the other hosts. Stores accept few concurrent requests, so only one host watches
// each.
func (h *Host) watchStores(view *follower.View) {
	if view.Table == nil {
		return
	}
	wanted := make(map[string]bool)
	names := reaching(*h.hosts.Load(), h.serving.Load().Hosts())
	for _, s := range view.Table.Services() {
		if s.Store == nil || tracker.RankIndex(names, h.opts.Settings.Host, "store/"+s.Store.Address) != 0 {
			continue
		}
		address := s.Store.Address
		wanted[address] = true
		if h.storeWatches[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(h.ctx)
		h.storeWatches[address] = cancel
		h.spawn(func() { h.watchStore(ctx, address) })
	}
	for address, cancel := range h.storeWatches {
		if !wanted[address] {
			cancel()
			delete(h.storeWatches, address)
		}
	}
}

func (h *Host) watchStore(ctx context.Context, address string) {
	var since, epoch int64
	up, delay := false, h.opts.Timing.RetryDelay
	for ctx.Err() == nil {
		changes, next, err := h.readStore(ctx, address, since, epoch)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != up {
			up = err == nil
			h.log.Info().Str("Store", address).Bool("Up", up).AnErr("Failure", err).Msg(logger.KeptStoreChanged)
		}
		if err != nil {
			h.placer.StoreLost(address)
			h.post(StoreReported{Report: placer.StoreReport{Address: address, Down: true}})
			pause(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = h.opts.Timing.RetryDelay
		since, epoch = next, changes.Epoch
		h.placer.ApplyStoreChanges(h.opts.Timer.Now(), address, changes)
		h.post(StoreReported{Report: placer.StoreReport{Address: address, Changes: changes}})
		if len(changes.Changes) < storePage {
			pause(ctx, storeBatchDelay)
		}
	}
}

// readStore returns a store's changes, or all its contents if it has restarted or changes were lost.
func (h *Host) readStore(ctx context.Context, address string, since, epoch int64) (placer.StoreChanges, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeWait+storeTimeout)
	defer cancel()
	changes, next, lost, err := h.opts.CacheStores.Changes(ctx, address, since, storeWait)
	if err != nil {
		return changes, next, err
	}
	if !lost && (changes.Epoch == epoch || since == 0) {
		return changes, next, nil
	}
	return h.opts.CacheStores.Contents(ctx, address)
}

// freeUnused evicts KV caches of replaced weights, or shared while other workspaces were isolated, that no host can still
// be fetching.
func (h *Host) freeUnused(now time.Time, shared *isolationAge) {
	view, after := h.view.Load(), h.placer.FreeAfter()
	if view.Table != nil {
		shared.observe(now, view.Table.Isolation())
	}
	unused := h.placer.Unused(now, func(text string) bool { return inUse(view, now, text, after) && shared.inUse(now, text, after) })
	for _, f := range unused {
		ctx, cancel := context.WithTimeout(h.ctx, storeTimeout)
		err := h.opts.CacheStores.Free(ctx, f)
		cancel()
		h.log.Info().Str("Store", f.Address).Int("Parts", len(f.Parts)).AnErr("Failure", err).Msg(logger.KeptContextFreed)
	}
}

// noteSalts tells the placer if the view that is about to be published has another set of isolated workspaces.
func (h *Host) noteSalts(next *follower.View) {
	before := h.view.Load().Table
	if before != nil && next.Table != nil && before.Isolation() != next.Table.Isolation() {
		h.placer.SaltsChanged(h.opts.Timer.Now())
	}
}

// inUse reports whether KV caches under a salt may still be fetched: their weights are in force, or
// were replaced less than after ago.
func inUse(view *follower.View, now time.Time, text string, after time.Duration) bool {
	salt, ok := placer.ParseSalt(text)
	if !ok {
		return true
	}
	named := view.Versions[salt.Model]
	return salt.Weights >= named.Version || now.Sub(named.Replaced(salt.Weights)) < after
}

// isolationAge is since when this host has known the set of isolated workspaces. The zero value is ready to use.
type isolationAge struct {
	isolation string
	since     time.Time // since is zero until a table is known.
}

// configurationLag bounds the time for which other hosts may use an earlier configuration.
const configurationLag = 10 * time.Second

// observe records the set in force.
func (a *isolationAge) observe(now time.Time, isolation string) {
	if a.since.IsZero() || a.isolation != isolation {
		a.isolation, a.since = isolation, now
	}
}

// inUse reports whether KV caches under a salt may still be fetched, as far as their workspaces go: they are those of an
// isolated workspace, or shared, and the set of isolated workspaces was another one less than after ago.
func (a *isolationAge) inUse(now time.Time, text string, after time.Duration) bool {
	salt, ok := placer.ParseSalt(text)
	if !ok || salt.Workspace != "" || a.since.IsZero() {
		return true
	}
	return salt.Isolation == a.isolation || now.Sub(a.since) < after+configurationLag
}

// evictInterval is the time between two evictions of unused KV caches.
const evictInterval = 500 * time.Millisecond

// evictUnused evicts unused KV caches and saves state while this host is first in rank.
func (h *Host) evictUnused() {
	var saved savedState
	var shared isolationAge
	for h.ctx.Err() == nil {
		pause(h.ctx, evictInterval)
		if !h.evictsStores.Load() {
			continue
		}
		saved.update(h)
		h.freeUnused(h.opts.Timer.Now(), &shared)
	}
}
