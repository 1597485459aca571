// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/reserver"
)

// listener names a listener in metrics.
type listener string

// Values of listener.
const (
	listenerCallers   listener = "callers"
	listenerPeers     listener = "peers"
	listenerDirectory listener = "directory"
	listenerReady     listener = "ready"
	listenerOperators listener = "operators"
)

// share is the part of the process's resources that the connections of a listener may hold together.
type share struct {
	bytes       float64 // bytes is the part of the memory for heads and bodies.
	connections float64 // connections is the part of the descriptors.
	open        float64 // open is the part of the memory for the connections themselves.
}

// shares are those of all listeners. What is left is the host's own: its state, its connections to upstreams, other hosts and
// the store, and the overhead of the garbage collector. Connections over which other hosts send messages do not count.
var shares = map[listener]share{
	listenerCallers:   {bytes: 1. / 4, connections: 2. / 5, open: 1. / 12},
	listenerPeers:     {bytes: 1. / 8, connections: 1. / 4, open: 1. / 8}, // all hosts of a fleet may connect at once
	listenerDirectory: {bytes: 1. / 32, connections: 1. / 20, open: 1. / 96},
	listenerReady:     {bytes: 1. / 64, connections: 1. / 40, open: 1. / 192},
	listenerOperators: {bytes: 1. / 32, connections: 1. / 40, open: 1. / 192},
}

const (
	// connectionBytes is what an open connection takes: its buffers and the stack of its goroutine.
	connectionBytes = 16 << 10
	// collectorShare is the part of the memory above which the garbage collector runs more often.
	collectorShare = 0.75
	megabyte       = 1_000_000
	// minConnections is the least number of connections of a listener.
	minConnections = 8
	// bufferFactor is how many times the length of a body its buffer may be.
	bufferFactor = 2
)

// memoryOf returns the memory that the process may use, in bytes; 0 if it is not known.
func memoryOf(l loader.Limits) int64 {
	if l.MemoryMB > 0 {
		return int64(l.MemoryMB) * megabyte
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// descriptorsOf returns the number of descriptors that the process may open; 0 if it is not known.
func descriptorsOf(l loader.Limits) int {
	if l.Descriptors > 0 {
		return l.Descriptors
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > 1<<30 {
		return 0
	}
	return int(limit.Cur)
}

// newBudgets returns what the connections of each listener may hold together.
func newBudgets(l loader.Limits) map[listener]*reserver.Budget {
	memory, descriptors := memoryOf(l), descriptorsOf(l)
	out := make(map[listener]*reserver.Budget)
	for name, s := range shares {
		connections := int(s.open * float64(memory) / connectionBytes)
		if n := int(s.connections * float64(descriptors)); descriptors > 0 && (memory == 0 || n < connections) {
			connections = n
		}
		if connections > 0 {
			connections = max(connections, minConnections)
		}
		out[name] = reserver.New(reserver.Options{Bytes: int64(s.bytes * float64(memory)), Connections: connections})
	}
	return out
}

// largestBody returns the largest body that finds room while no other caller holds anything; 0 for no limit.
func largestBody(b *reserver.Budget) int64 { return b.Largest() / bufferFactor }

// limitMemory makes the garbage collector keep the process within its memory, if the settings state it.
func limitMemory(l loader.Limits) {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(collectorShare * float64(memoryOf(l))))
	}
}

// sweep closes the connections of callers whose heads or next requests are overdue.
func (h *Host) sweep(now time.Time) {
	for name, b := range h.budgets {
		t := reserver.Timeouts{Head: headerTimeout, Idle: idleTimeout}
		if table := h.view.Load().Table; name == listenerCallers && table != nil {
			if l := table.Limits(); l.HeaderTimeout > 0 && l.IdleTimeout > 0 {
				t = reserver.Timeouts{Head: l.HeaderTimeout, Idle: l.IdleTimeout}
			}
		}
		b.Sweep(now, t)
	}
}
