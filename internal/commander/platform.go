// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package commander

import (
	"time"

	"github.com/rs/zerolog"

	"amaranthgate.example/amaranthgate/conductor"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/platform"
	"amaranthgate.example/amaranthgate/timer"
)

// upstreamDial bounds a connect to an upstream. Upstreams are a millisecond
// away; one that has no power does not answer at all, and the request is better
// offered elsewhere within the objectives of 100 ms and more.
const upstreamDial = 150 * time.Millisecond

// newPlatformHost puts a host of the users' platform together.
func newPlatformHost(s loader.Settings, log zerolog.Logger) host {
	pool := forwarder.NewPool(forwarder.PoolOptions{DialTimeout: upstreamDial})
	engines := platform.NewEngines(pool)
	return conductor.New(conductor.Options{
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
		Timing: conductor.DefaultTiming(),
		Timer:  timer.NewSystem(),
		Log:    log,
	})
}
