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

// Stores of kept context.
type Stores interface {
	// Kept asks a store what has changed since an earlier answer; lost tells that
	// some of it is not known any more.
	Kept(ctx context.Context, address string, since int64, wait time.Duration) (news placer.StoreNews, next int64, lost bool, err error)
	// KeptAll asks a store for all that it holds.
	KeptAll(ctx context.Context, address string) (news placer.StoreNews, next int64, err error)
	// Free tells a store to give up parts.
	Free(ctx context.Context, f placer.Freed) error
}

// Times of questions to stores.
const (
	keptWait    = 900 * time.Millisecond // keptWait is how long a store may wait for news; it allows a second.
	keptTimeout = 500 * time.Millisecond // keptTimeout bounds a question beyond that.
	keptPage    = 100                    // keptPage is the number of news after which more are likely to wait: a host that starts reads them all at once.
	keptGather  = 150 * time.Millisecond // keptGather lets news come together.
)

// watchStores keeps one question open at each store of a view for which this
// host is the first in rank; it tells the others what it hears. Stores hold a
// dozen questions at once, so not every host can ask.
func (h *Host) watchStores(view *follower.View) {
	if view.Table == nil {
		return
	}
	wanted := make(map[string]bool)
	names := h.serving.Load().Hosts()
	for _, s := range view.Table.Services() {
		if s.Store == nil || tracker.Place(names, h.opts.Settings.Host, "store/"+s.Store.Address) != 0 {
			continue
		}
		address := s.Store.Address
		wanted[address] = true
		if h.watched[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(h.ctx)
		h.watched[address] = cancel
		h.goDo(func() { h.watchStore(ctx, address) })
	}
	for address, cancel := range h.watched {
		if !wanted[address] {
			cancel()
			delete(h.watched, address)
		}
	}
}

func (h *Host) watchStore(ctx context.Context, address string) {
	var since, epoch int64
	up, again := false, h.opts.Timing.Again
	for ctx.Err() == nil {
		news, next, err := h.askStore(ctx, address, since, epoch)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != up {
			up = err == nil
			h.log.Info().Str("Store", address).Bool("Up", up).AnErr("Failure", err).Msg(logger.KeptStoreChanged)
		}
		if err != nil {
			h.placer.StoreLost(address)
			h.post(StoreHeard{Report: placer.StoreReport{Address: address, Lost: true}})
			pause(ctx, again)
			again = min(2*again, longestAgain)
			continue
		}
		again = h.opts.Timing.Again
		since, epoch = next, news.Epoch
		h.placer.StoreHeard(h.opts.Timer.Now(), address, news)
		h.post(StoreHeard{Report: placer.StoreReport{Address: address, News: news}})
		if len(news.Changes) < keptPage {
			pause(ctx, keptGather)
		}
	}
}

// askStore asks for news, and for all if the store has started anew or news were
// lost.
func (h *Host) askStore(ctx context.Context, address string, since, epoch int64) (placer.StoreNews, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, keptWait+keptTimeout)
	defer cancel()
	news, next, lost, err := h.opts.Stores.Kept(ctx, address, since, keptWait)
	if err != nil {
		return news, next, err
	}
	if !lost && (news.Epoch == epoch || since == 0) {
		return news, next, nil
	}
	return h.opts.Stores.KeptAll(ctx, address)
}

// free tells stores to give up what was made with replaced weights, when nobody
// can be fetching it any more.
func (h *Host) free(now time.Time) {
	view, after := h.view.Load(), h.placer.FreeAfter()
	unused := h.placer.Unused(func(text string) bool { return inUse(view, now, text, after) })
	for _, f := range unused {
		ctx, cancel := context.WithTimeout(h.ctx, keptTimeout)
		err := h.opts.Stores.Free(ctx, f)
		cancel()
		h.log.Info().Str("Store", f.Address).Int("Parts", len(f.Parts)).AnErr("Failure", err).Msg(logger.KeptContextFreed)
	}
}

// inUse tells that what stores hold under a salt may still be fetched: its weights are in
// force, or were replaced less than some time before, by what any host remembers.
func inUse(view *follower.View, now time.Time, text string, after time.Duration) bool {
	salt, ok := placer.ParseSalt(text)
	if !ok {
		return true
	}
	named := view.Named[salt.Model]
	return salt.Weights >= named.Version || now.Sub(named.Replaced(salt.Weights)) < after
}

// freeInterval is the interval at which the first host in rank looks for what
// can be freed.
const freeInterval = 500 * time.Millisecond

// keepStores frees what stores hold for nobody, while this host is first in rank.
func (h *Host) keepStores() {
	var notes notes
	for h.ctx.Err() == nil {
		pause(h.ctx, freeInterval)
		if !h.keeper.Load() {
			continue
		}
		notes.keep(h)
		h.free(h.opts.Timer.Now())
	}
}
