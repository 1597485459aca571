// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/internal/deployment"
)

// leavingTimeout bounds the wait for one engine.
const leavingTimeout = 20 * time.Second

// Leaving has engines report one after the other that they are leaving, at
// times that are not aligned with the hosts' polls. It returns the times until
// no host routes requests to them.
func Leaving(ctx context.Context, hosts, engines int) (*Histogram, error) {
	out := NewHistogram()
	d, err := deployment.Start(ctx, deployment.Options{Hosts: hosts, Engines: engines + 1})
	if err != nil {
		return out, err
	}
	defer d.Close()
	time.Sleep(3 * time.Second)
	for i := range engines {
		time.Sleep(time.Duration(137*(i%11)) * time.Millisecond)
		name := d.Document.Upstreams[i].Name
		began := time.Now()
		d.Engines[i].SetLeaving(true)
		for _, h := range d.Hosts {
			for h.Routable(deployment.Model, name) {
				if time.Since(began) > leavingTimeout || ctx.Err() != nil {
					return out, errors.Errorf("experimenter: hosts still route requests to %s", name)
				}
				time.Sleep(time.Millisecond)
			}
		}
		out.Add(time.Since(began))
	}
	return out, nil
}
