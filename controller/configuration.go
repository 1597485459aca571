// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/replayer"
	"amaranthgate.example/amaranthgate/tracker"
)

// publish appends a change of the configuration. Its result is known once the
// change is read back from the log.
func (n *Node) publish(d configurer.Delta) {
	if r, ok := n.config.Result(d.ID); ok {
		n.emit(Published{Result: r})
		return
	}
	if n.pendingChanges[d.ID] {
		return
	}
	n.pendingChanges[d.ID] = true
	n.streams[configurer.StreamName].queue.Add(replayer.NewEntry(configurer.KindDelta, d))
}

// configurationApplied handles a record that was applied to the configuration.
func (n *Node) configurationApplied(now time.Time, rec replayer.Applied) {
	for _, e := range rec.Entries {
		var d configurer.Delta
		if e.Kind != configurer.KindDelta || !e.Decode(&d) {
			continue
		}
		if r, ok := n.config.Result(d.ID); ok && n.pendingChanges[d.ID] {
			delete(n.pendingChanges, d.ID)
			n.emit(Published{Result: r})
		}
	}
	n.configurationChanged(now)
}

func (n *Node) configurationChanged(now time.Time) {
	n.viewAt = time.Time{} // apply a new configuration without delay
	n.viewDirty = true
	revision := n.config.Revision()
	if r, changed := n.hosts.UpdateSelf(func(r *tracker.HostRecord) { r.Revision = revision }); changed {
		n.sendHosts("", []tracker.HostRecord{r})
	}
	n.claimant.SetPolicy(n.claimPolicy())
	for _, c := range n.ranges {
		if c != nil {
			c.owner.SetPolicy(n.claimPolicy())
		}
	}
	doc := n.config.Document()
	if doc == nil {
		return
	}
	names := make(map[string]bool, len(doc.Upstreams))
	for i := range doc.Upstreams {
		names[doc.Upstreams[i].Name] = true
	}
	n.upstreams.Retain(func(name string) bool { return names[name] })
	n.setLimits(now)
}

// Configuration returns the state of the configuration: the document in force and recent results.
func (n *Node) Configuration() *configurer.State { return n.config }
