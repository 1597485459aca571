// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
)

// salt returns the cache salt, which separates the kept context of weight versions and of isolated workspaces. It goes by
// the newest configuration, since a workspace may have been isolated while the request waited. unshared reports that it
// shares with no other workspace only since that may be outdated.
func (e *exchange) salt(weights uint64) (text string, unshared bool) {
	s := placer.Salt{Model: e.request.Prompt.Model, Weights: weights}
	confirmed := e.opts.Confirmed == nil || e.opts.Confirmed() // before the configuration is read, which may become confirmed meanwhile
	table := e.opts.Views.Load().Table
	switch {
	case e.workspace == nil:
		s.Isolation = table.Isolation()
	case e.isolatedBy(table):
		s.Workspace = e.workspace.Name
	case !confirmed:
		s.Workspace, unshared = e.workspace.Name, true
	default:
		s.Isolation = table.Isolation()
	}
	return s.String(), unshared
}

// isolatedBy reports whether a configuration isolates the request's workspace, or lacks it.
func (e *exchange) isolatedBy(table *matcher.Table) bool {
	w, known := table.Workspace(e.request.Key)
	return !known || w.Name != e.workspace.Name || w.Isolated
}
