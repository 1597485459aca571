// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package renewer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/follower"
)

// Options set up a Renewer.
type Options struct {
	Host   string
	Term   time.Duration // Term is how long a hold lasts without renewal.
	Turn   time.Duration // Turn is the least time between orders of two hosts to one engine.
	Margin time.Duration // Margin covers late timers and clocks that run at different rates.
	AtOnce int           // AtOnce is the least number of engines that load at the same time.
	Share  float64       // Share is the part of all engines that may load at the same time, where that is more.
	Seed   uint64        // Seed begins the numbers that tell writes apart; it must differ between starts.
}

// Figures of a renewal.
const (
	// earlyReaders is the number of hosts, by place, that read the lease before there is work. If
	// all did, 985 hosts that start would make as many calls to the store.
	earlyReaders = 4
	placeDelay   = 700 * time.Millisecond  // placeDelay is what each host waits for the one before it to begin.
	firstAsk     = 500 * time.Millisecond  // firstAsk is after an order; loads take 0.9 s and more.
	askAgain     = 150 * time.Millisecond  // askAgain is the interval of questions while an engine loads.
	orderAgain   = 2500 * time.Millisecond // orderAgain is after an order of which nothing was heard. It may yet be carried out, which does no harm.
	refuseAgain  = 300 * time.Millisecond  // refuseAgain is after an order that was refused.
	holderLife   = 600 * time.Millisecond  // holderLife is the silence of a holder after which others look at the lease; it speaks every 100 ms.
	statusLife   = time.Second             // statusLife is how long the holder's word on engines that load or are next counts.
)

// Command is something that the host is to do.
type Command interface{ command() }

// ReadLease asks the store for the lease.
type ReadLease struct{}

// WriteLease writes the lease if its newest record ends at At.
type WriteLease struct {
	At     int64
	Record Record
}

// Order tells an engine to load a weight version.
type Order struct {
	Upstream follower.Upstream
	Model    string
	Version  uint64
	Token    uint64 // Token grows with each host that takes over.
}

// Ask asks an engine for the weight versions that it has.
type Ask struct {
	Upstream follower.Upstream
	Model    string
}

// Renewed says that an engine has a version.
type Renewed struct {
	ID      string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	Born    int64  `cbor:"4,keyasint,omitempty"` // Born tells which start of the engine has it.
}

// Doubted says that engines have ended as they loaded a version that none has taken.
type Doubted struct {
	Model   string
	Version uint64
	Starts  []string
	Pause   time.Duration // Pause is how long no engine is ordered.
}

func (ReadLease) command()  {}
func (WriteLease) command() {}
func (Order) command()      {}
func (Ask) command()        {}
func (Renewed) command()    {}
func (Doubted) command()    {}

// Status is what a host tells the others.
type Status struct {
	Lease   Lease                    `cbor:"1,keyasint"`           // Lease is the newest record that the host knows.
	Holding bool                     `cbor:"2,keyasint,omitempty"` // Holding tells that the host gives orders.
	Stopped bool                     `cbor:"3,keyasint,omitempty"` // Stopped tells that Lease is the host's own and that it gives no more orders under it.
	Ordered map[string]time.Duration `cbor:"4,keyasint,omitempty"` // Ordered is how long ago engines were ordered last.
	Wait    time.Duration            `cbor:"7,keyasint,omitempty"` // Wait is how long the host itself still had to wait before its first order.
	Loading []string                 `cbor:"5,keyasint,omitempty"` // Loading are engines that were ordered to load.
	Next    []string                 `cbor:"8,keyasint,omitempty"` // Next are those that will be ordered next.
	Renewed []Renewed                `cbor:"6,keyasint,omitempty"`
	Doubts  []Doubt                  `cbor:"9,keyasint,omitempty"` // Doubts are versions under which engines have ended.
}

// Input is what a step depends on.
type Input struct {
	View  *follower.View
	Place int                    // Place is this host's place among the live ones.
	Busy  func(start string) int // Busy is the work under way at a start of an engine.
}

// job is an engine that is to be renewed.
type job struct {
	born    int64 // born tells which start of the engine the job is for.
	model   string
	version uint64
	ordered time.Time // ordered is when the last order was sent.
	again   time.Time // again is when another may be sent.
	loading bool      // loading tells that an order was accepted, or may have been.
	since   time.Time // since is when the first order was sent of which nothing was shown yet.
	taken   bool      // taken tells that the engine has not shown yet what became of the last order.
	calling bool      // calling tells that a call is under way.
	asked   time.Time
}

// Renewer is one host's part in renewals. It is not safe for concurrent use.
type Renewer struct {
	opts      Options
	lease     lease
	nonce     uint64
	settled   *follower.View       // settled is the last view in which no engine had old weights.
	scanned   *follower.View       // scanned is the last view of which all engines were looked at.
	need      []follower.Upstream  // need are those that had old weights then.
	needed    time.Time            // needed is since when engines have old weights.
	notBefore time.Time            // notBefore is when this host may give its first order.
	started   time.Time            // started is when this process took its first step.
	foreign   map[string]time.Time // foreign is when another host ordered an engine last.
	given     map[string]time.Time // given is when this host ordered an engine last.
	jobs      map[string]*job
	next      []string // next are engines that will be ordered soon.
	told      []Renewed
	wasHeld   bool
	holder    time.Time            // holder is when another host last said that it holds the lease.
	loading   map[string]time.Time // loading is until when the holder's word on engines that load counts.
	soon      map[string]time.Time // soon is the same for those that are next.
	alerts    []Command            // alerts are given out with the next step.
	doubts    map[string]*doubt    // doubts has, by model, the named version if engines have ended under it.
}

// New returns a Renewer that knows nothing of the lease.
func New(opts Options) *Renewer {
	return &Renewer{
		opts:    opts,
		nonce:   opts.Seed,
		lease:   lease{sent: make(map[uint64]time.Time)},
		foreign: make(map[string]time.Time),
		given:   make(map[string]time.Time),
		jobs:    make(map[string]*job),
		loading: make(map[string]time.Time),
		soon:    make(map[string]time.Time),
		doubts:  make(map[string]*doubt),
	}
}

// Step returns what is to be done now.
func (r *Renewer) Step(now time.Time, in Input) []Command {
	if r.started.IsZero() {
		r.started = now
	}
	need := r.outdated(now, in.View)
	r.next = nil
	if len(need) == 0 {
		r.needed = time.Time{}
		clear(r.jobs)
		if in.Place < earlyReaders && !r.lease.known && !r.lease.busy && now.Sub(r.lease.asked) > r.opts.Term {
			// Seen early, an old record is known to have lapsed when work comes.
			r.lease.busy, r.lease.asked = true, now
			return []Command{ReadLease{}}
		}
		return nil
	}
	if r.needed.IsZero() {
		r.needed = now
	}
	if !r.held(now) {
		if now.Sub(r.needed) < time.Duration(in.Place)*placeDelay || now.Sub(r.holder) < holderLife {
			return nil
		}
		return r.acquire(now)
	}
	r.wasHeld = true
	out := append(r.renew(now), r.work(now, in, need)...)
	out, r.alerts = append(out, r.alerts...), nil
	return out
}

// outdated returns the engines that take work with old weights, and forgets jobs
// of all others.
func (r *Renewer) outdated(now time.Time, view *follower.View) []follower.Upstream {
	if view == r.settled || r.staysSettled(view) {
		r.settled = view
		return nil
	}
	if view == r.scanned && len(r.doubts) == 0 {
		return r.need
	}
	r.scanned = view
	var need []follower.Upstream
	there, behind := make(map[string]bool), make(map[string]bool)
	for u := range view.Upstreams.All() {
		there[u.ID] = true
		for model, has := range u.Weights {
			r.proved(model, has)
			if u.Standing == follower.StandingReady && has < view.Named[model].Version && !behind[u.ID] {
				need = append(need, *u)
				behind[u.ID] = true
				r.job(now, u, model, view.Named[model].Version)
			}
		}
	}
	for id, j := range r.jobs {
		if !there[id] {
			r.lost(now, id, j) // one that ends comes back under another ID, or not at all
		}
		if !behind[id] {
			delete(r.jobs, id)
		}
	}
	if len(need) == 0 {
		r.settled = view
	}
	r.need = need
	return need
}

// staysSettled tells that no engine has old weights, as was so before: only those that have
// changed since are looked at.
func (r *Renewer) staysSettled(view *follower.View) bool {
	if r.settled == nil || !maps.EqualFunc(r.settled.Named, view.Named, func(a, b follower.Named) bool { return a.Version == b.Version }) {
		return false
	}
	put, _ := view.Upstreams.Since(r.settled.Upstreams)
	for _, u := range put {
		for model, has := range u.Weights {
			if has < view.Named[model].Version {
				return false
			}
			r.proved(model, has)
		}
	}
	return true
}

func (r *Renewer) job(now time.Time, u *follower.Upstream, model string, version uint64) {
	j := r.jobs[u.ID]
	if j != nil && j.born != u.Born {
		r.lost(now, u.ID, j)
	}
	if j == nil || j.born != u.Born {
		j = &job{born: u.Born}
		r.jobs[u.ID] = j
	}
	if j.version != version || j.model != model {
		j.model, j.version = model, version
		j.again, j.taken = time.Time{}, false
	}
}

// work gives orders and asks how they went.
func (r *Renewer) work(now time.Time, in Input, need []follower.Upstream) []Command {
	slices.SortStableFunc(need, func(a, b follower.Upstream) int {
		return cmp.Or(cmp.Compare(in.Busy(a.Start()), in.Busy(b.Start())), cmp.Compare(a.ID, b.ID))
	})
	atOnce := max(r.opts.AtOnce, int(r.opts.Share*float64(engines(in.View))))
	var out []Command
	loading, under := 0, make(map[string]int) // under counts by model those that may be loading
	for _, u := range need {
		j := r.jobs[u.ID]
		if j.trying(now) {
			under[j.model]++
		}
		if !j.loading {
			continue
		}
		loading++
		if !j.calling && now.Sub(j.ordered) > firstAsk && now.Sub(j.asked) > askAgain {
			j.calling, j.asked = true, now
			out = append(out, Ask{Upstream: u, Model: j.model})
		}
		if now.After(j.again) {
			j.loading = false
		}
	}
	for _, u := range need {
		j := r.jobs[u.ID]
		if j.loading || j.calling {
			continue
		}
		if loading >= atOnce {
			if len(r.next) < atOnce {
				r.next = append(r.next, u.ID)
			}
			continue
		}
		others := under[j.model]
		if j.trying(now) {
			others-- // it is ordered again
		}
		if !r.mayOrder(now, u.ID, j) || !r.mayLoad(now, j.model, j.version, others) {
			continue
		}
		loading++
		if !j.taken {
			j.taken, j.since = true, now
			under[j.model]++
		}
		j.loading, j.calling, j.ordered, j.asked = true, true, now, now
		j.again = now.Add(orderAgain)
		r.given[u.ID] = now
		out = append(out, Order{Upstream: u, Model: j.model, Version: j.version, Token: r.lease.token})
	}
	return out
}

// engines counts the upstreams that have weights.
func engines(view *follower.View) int {
	n := 0
	for u := range view.Upstreams.All() {
		if len(u.Weights) > 0 {
			n++
		}
	}
	return n
}

func (r *Renewer) mayOrder(now time.Time, id string, j *job) bool {
	if now.Before(r.notBefore) || now.Before(j.again) {
		return false
	}
	last, ok := r.foreign[id]
	return !ok || now.Sub(last) > r.opts.Turn+r.opts.Margin
}

// OrderResult says how an order was taken.
type OrderResult string

const (
	OrderAccepted OrderResult = "Accepted" // OrderAccepted says that it, or another order, is being carried out.
	OrderHolds    OrderResult = "Holds"    // OrderHolds says that the engine has the version already.
	OrderRefused  OrderResult = "Refused"
	OrderUnknown  OrderResult = "Unknown" // OrderUnknown says that no answer came.
)

// Ordered takes in the answer to an order.
func (r *Renewer) Ordered(now time.Time, o Order, result OrderResult) []Command {
	j := r.jobs[o.Upstream.ID]
	if j == nil || j.born != o.Upstream.Born {
		return nil // an engine that was started again knows nothing of the order
	}
	j.calling = false
	switch result {
	case OrderHolds:
		if j.version == o.Version {
			return r.renewed(&o.Upstream, o.Model, o.Version)
		}
		j.loading, j.taken, j.again = false, false, now
	case OrderRefused:
		j.loading, j.taken = false, false
		j.again = now.Add(refuseAgain)
	}
	return nil
}

// Told takes in an engine's answer to a question.
func (r *Renewer) Told(now time.Time, a Ask, busy bool, version uint64, err error) []Command {
	j := r.jobs[a.Upstream.ID]
	if j == nil || j.born != a.Upstream.Born {
		return nil
	}
	j.calling = false
	switch {
	case err != nil:
		return nil
	case version > 0 && version < j.version && !busy && now.Sub(j.ordered) > time.Second:
		j.loading, j.taken = false, false // an older order was carried out, or this one was lost
	case busy:
		j.again = now.Add(orderAgain)
	}
	if version == 0 {
		return nil
	}
	return r.renewed(&a.Upstream, a.Model, version)
}

func (r *Renewer) renewed(u *follower.Upstream, model string, version uint64) []Command {
	r.proved(model, version)
	done := Renewed{ID: u.ID, Born: u.Born, Model: model, Version: version}
	r.told = append(r.told, done)
	return []Command{done}
}
