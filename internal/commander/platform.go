// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"

	"amaranthgate.example/amaranthgate/conductor"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/platform"
	"amaranthgate.example/amaranthgate/timer"
)

// upstreamDial bounds a connect to an upstream. Upstreams are a millisecond
// away; one that has no power does not answer at all, and the request is better
// offered elsewhere within the objectives of 100 ms and more.
const upstreamDial = 150 * time.Millisecond

// logQueue is the number of log lines that wait for a slow reader. Beyond it
// lines are dropped and counted: no request ever waits for the log.
const logQueue = 4096

// platformHost is a host of the users' platform with its log.
type platformHost struct {
	*conductor.Host
	log io.Closer
}

// Drain ends the host and writes what is left of the log.
func (h *platformHost) Drain(ctx context.Context) int {
	defer func() { _ = h.log.Close() }() // it writes to standard output, which nobody can mend now
	return h.Host.Drain(ctx)
}

// newPlatformHost puts a host of the users' platform together.
func newPlatformHost(s loader.Settings, out io.Writer) *platformHost {
	var dropped atomic.Uint64
	writer := diode.NewWriter(out, logQueue, 0, func(missed int) { dropped.Add(uint64(missed)) })
	return &platformHost{Host: conductor.New(platformOptions(s, logger.New(writer, s.LogLevel), dropped.Load)), log: writer}
}

func platformOptions(s loader.Settings, log *logger.Logger, dropped func() uint64) conductor.Options {
	pool := forwarder.NewPool(forwarder.PoolOptions{DialTimeout: upstreamDial})
	engines := platform.NewEngines(pool)
	return conductor.Options{
		Settings: s,
		Store:    platform.NewStore(s.Platform.Store),
		Sender:   platform.NewSender(pool),
		Engines:  engines,
		Stores:   engines,
		Pool:     pool,
		Edge: func(h *conductor.Host) conductor.Edge {
			return &platform.Edge{
				Handle:    h.Handle,
				Ready:     h.Ready,
				Addresses: h.Addresses,
				Leaving:   h.Leaving,
				BodyBytes: h.BodyBytes,
			}
		},
		Timing:  conductor.DefaultTiming(),
		Timer:   timer.NewSystem(),
		Log:     log,
		Dropped: dropped,
	}
}
