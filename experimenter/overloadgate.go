// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"cmp"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/scheduler"
)

// overloadGate queues requests as hosts did before they forecast: start-time fair queueing of classes and
// of their workspaces, with a class of small weight for requests past their objective, and refusals at the
// deadline only.
type overloadGate struct {
	classes     map[string]*overloadClass
	virtualTime float64
	length      int
	lastCheck   time.Time
}

type overloadClass struct {
	name        string
	weight      float64
	finishTag   float64
	virtualTime float64
	flowTags    map[string]float64 // flowTags are the finish tags of workspaces.
	items       []taggedItem       // items are by start tag.
}

type taggedItem struct {
	*scheduler.Item
	tag float64
}

func newOverloadGate() *overloadGate {
	return &overloadGate{classes: make(map[string]*overloadClass)}
}

// push adds a request to a class.
func (g *overloadGate) push(it *scheduler.Item, name string, weight float64) {
	c := g.classes[name]
	if c == nil {
		c = &overloadClass{name: name, weight: weight, flowTags: make(map[string]float64)}
		g.classes[name] = c
	}
	if len(c.items) == 0 {
		c.finishTag = max(c.finishTag, g.virtualTime)
	}
	t := taggedItem{it, max(c.virtualTime, c.flowTags[it.Workspace])}
	c.flowTags[it.Workspace] = t.tag + it.Cost/it.WorkspaceWeight
	i, _ := slices.BinarySearchFunc(c.items, t.tag, func(o taggedItem, tag float64) int {
		return cmp.Or(cmp.Compare(o.tag, tag), -1)
	})
	c.items = slices.Insert(c.items, i, t)
	g.length++
}

// Offer starts or queues a request.
func (g *overloadGate) Offer(_ time.Time, it *scheduler.Item) scheduler.Offered {
	if g.length == 0 && it.Begin() {
		return scheduler.Started
	}
	g.push(it, it.Class, it.ClassWeight)
	return scheduler.Queued
}

// Wake starts the requests for which there is room and refuses those whose time is over.
func (g *overloadGate) Wake(now time.Time) (started, refused []*scheduler.Item) {
	const checkInterval = 10 * time.Millisecond
	if now.Sub(g.lastCheck) >= checkInterval {
		g.lastCheck = now
		refused = g.check(now)
	}
	for it := g.pop(); it != nil; it = g.pop() {
		started = append(started, it)
	}
	return started, refused
}

// check moves the requests past their objective to the late classes, and returns those past their deadline.
func (g *overloadGate) check(now time.Time) (refused []*scheduler.Item) {
	const lateSuffix, lateWeight = " late", 0.05
	var overdue []*scheduler.Item
	for _, name := range g.names() {
		c := g.classes[name]
		c.items = slices.DeleteFunc(c.items, func(t taggedItem) bool {
			switch {
			case now.After(t.Latest):
				refused = append(refused, t.Item)
			case now.After(t.Due) && name == t.Class:
				overdue = append(overdue, t.Item)
			default:
				return false
			}
			g.length--
			return true
		})
	}
	slices.SortStableFunc(overdue, func(a, b *scheduler.Item) int { return a.Due.Compare(b.Due) })
	for _, it := range overdue {
		g.push(it, it.Class+lateSuffix, it.ClassWeight*lateWeight)
	}
	return refused
}

// names returns the names of the classes in order.
func (g *overloadGate) names() []string {
	var names []string
	for name := range g.classes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// pop removes and returns the first request that can begin of those first in their class.
func (g *overloadGate) pop() *scheduler.Item {
	var waiting []*overloadClass
	for _, c := range g.classes {
		if len(c.items) > 0 {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *overloadClass) int {
		return cmp.Or(cmp.Compare(a.finishTag, b.finishTag), cmp.Compare(a.name, b.name))
	})
	for _, c := range waiting {
		t := c.items[0]
		if !t.Begin() {
			continue
		}
		g.virtualTime = max(g.virtualTime, c.finishTag)
		c.finishTag += t.Cost / c.weight
		c.virtualTime = t.tag
		c.items = c.items[1:]
		g.length--
		return t.Item
	}
	return nil
}

// Remove removes a waiting request and reports whether it waited.
func (g *overloadGate) Remove(it *scheduler.Item) bool {
	for _, c := range g.classes {
		if i := slices.IndexFunc(c.items, func(t taggedItem) bool { return t.Item == it }); i >= 0 {
			c.items = slices.Delete(c.items, i, i+1)
			g.length--
			return true
		}
	}
	return false
}

// Len returns the number of waiting requests.
func (g *overloadGate) Len() int { return g.length }
