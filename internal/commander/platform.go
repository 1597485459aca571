// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"

	"amaranthgate.example/amaranthgate/conductor"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/platform"
	"amaranthgate.example/amaranthgate/signer"
	"amaranthgate.example/amaranthgate/timer"
)

// upstreamDialTimeout is far above the round-trip time within a region, and short
// enough to try another upstream within a request's objective.
const upstreamDialTimeout = 150 * time.Millisecond

// logQueueLines is the size of the log's buffer. When it is full, lines are dropped
// and counted, so that no request waits for the log.
const logQueueLines = 4096

// platformHost is a host on the users' platform, with its log writer.
type platformHost struct {
	*conductor.Host
	log    *logger.Logger
	writer io.Closer
}

// Drain drains the host, flushes the log and returns the number of aborted requests.
func (h *platformHost) Drain(ctx context.Context) int {
	defer closeWithin(h.writer, logCloseTime)
	return h.Host.Drain(ctx)
}

// logCloseTime bounds the time to write the last lines of the log to a reader that may have stopped reading.
const logCloseTime = 200 * time.Millisecond

// closeWithin closes a writer, and returns after the limit if that has not ended.
func closeWithin(c io.Closer, limit time.Duration) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = c.Close() // an error on standard output cannot be reported
	}()
	select {
	case <-closed:
	case <-time.After(limit):
	}
}

// newPlatformHost returns a host on the users' platform that logs to out.
func newPlatformHost(s loader.Settings, out io.Writer) *platformHost {
	var dropped atomic.Uint64
	writer := diode.NewWriter(out, logQueueLines, 0, func(missed int) { dropped.Add(uint64(missed)) })
	log := logger.New(writer, s.LogLevel)
	return &platformHost{Host: conductor.New(platformOptions(s, log, dropped.Load)), log: log, writer: writer}
}

func platformOptions(s loader.Settings, log *logger.Logger, dropped func() uint64) conductor.Options {
	pool := forwarder.NewPool(forwarder.PoolOptions{DialTimeout: upstreamDialTimeout, Source: net.ParseIP(s.Platform.Source)})
	engines := platform.NewEngines(pool)
	passing := signer.New(s.Host, []byte(s.PeerSecret))
	peers := forwarder.NewPool(forwarder.PoolOptions{DialTimeout: upstreamDialTimeout})
	return conductor.Options{
		Settings:    s,
		Store:       platform.NewStore(s.Platform.Store),
		Sender:      platform.NewSender(pool),
		Engines:     engines,
		CacheStores: engines,
		Pool:        pool,
		RelaySender: platform.NewRelaySender(peers, passing),
		Edge: func(h *conductor.Host) conductor.Edge {
			return &platform.Edge{
				Handle:    h.Handle,
				Ready:     h.Ready,
				Addresses: h.Addresses,
				Leaving:   h.Leaving,
				Closing:   h.Closing,
				Stopped:   h.Stopped,
				BodyBytes: h.BodyBytes,
				Judge:     h.Judge,
				Signer:    passing,
				Reservation: func(ctx context.Context) platform.Reservation {
					return h.Reservation(ctx)
				},
			}
		},
		Timing:  conductor.DefaultTiming(),
		Timer:   timer.NewSystem(),
		Log:     log,
		Dropped: dropped,
	}
}
