// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package arbiter

import "time"

// Request is what the place of a waiting request among those of all hosts depends on.
type Request struct {
	Key       ClassKey
	Rank      int
	Lane      Lane   // Lane is empty for a request that is not queued.
	Workspace string // Workspace is empty on public routes.
	// StartBy is the latest start that meets the objective, or the deadline in LaneLate; zero if there is
	// none.
	StartBy time.Time
}

// Local is what waits at this host.
type Local struct {
	Backlogs []Backlog // Backlogs are in any order and may be more than a message has.
	Usage    []Usage
	Returns  []Return // Returns are requests refused since the last call.
}
