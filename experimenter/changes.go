// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/emulator"
	"amaranthgate.example/amaranthgate/internal/deployment"
)

// ChangesOptions configure the measurement of configuration changes.
type ChangesOptions struct {
	Hosts      int
	Changes    int
	Workspaces int // number of workspaces in the document
	LogLatency time.Duration
}

// ChangesResult holds the times until changes are in force on all hosts.
type ChangesResult struct {
	Normal      *Histogram
	Slow        *Histogram // changes published while the log is slow
	RecordBytes int        // size of the record of one change
}

// Changes publishes changes at the hosts in turn and waits until each is in
// force on all hosts.
func Changes(ctx context.Context, opts ChangesOptions) (ChangesResult, error) {
	res := ChangesResult{Normal: NewHistogram(), Slow: NewHistogram()}
	d, err := deployment.Start(ctx, deployment.Options{
		Hosts: opts.Hosts, Engines: 2, LogLatency: opts.LogLatency,
		Document: func(doc *configurer.Document) {
			for i := range opts.Workspaces {
				w := doc.Workspaces[0]
				w.Name, w.TokenDigests = fmt.Sprintf("workspace-%d", i), []string{configurer.TokenDigest(fmt.Sprint(i))}
				doc.Workspaces = append(doc.Workspaces, w)
			}
		},
	})
	if err != nil {
		return res, err
	}
	defer d.Close()
	time.Sleep(2 * time.Second)
	for i := range opts.Changes {
		if err := res.measure(ctx, d, i, res.Normal); err != nil {
			return res, err
		}
	}
	for i := range 5 {
		d.Log.SetFault(emulator.LogFault{Slow: 2 * time.Second})
		time.AfterFunc(2*time.Second, func() { d.Log.SetFault(emulator.LogFault{}) })
		if err := res.measure(ctx, d, opts.Changes+i, res.Slow); err != nil {
			return res, err
		}
		time.Sleep(time.Second)
	}
	return res, nil
}

// measure publishes the i-th change and adds the time until all hosts have it.
func (r *ChangesResult) measure(ctx context.Context, d *deployment.Deployment, i int, times *Histogram) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	host := d.Hosts[i%len(d.Hosts)]
	cur := host.Current()
	next := *cur.Document
	next.Workspaces = append([]configurer.Workspace(nil), cur.Document.Workspaces...)
	next.Workspaces[i%len(next.Workspaces)].RequestsPerSecond = float64(1000 + i)
	delta, err := configurer.NewDelta(fmt.Sprintf("measure-%d", i), "experiment", cur.Revision, cur.Document, &next)
	if err != nil {
		return err
	}
	r.RecordBytes = len(delta.Patch) + len(delta.Digest) + len(delta.ID)
	start := time.Now()
	res, ok := host.Publish(ctx, delta)
	if !ok || res.Fate != configurer.FateAccepted {
		return errors.Errorf("experimenter: configuration change was not accepted: %+v", res)
	}
	for _, h := range d.Hosts {
		for h.Revision() < res.Revision {
			if ctx.Err() != nil {
				return errors.New("experimenter: configuration change is not in force on all hosts in time")
			}
			time.Sleep(200 * time.Microsecond)
		}
	}
	times.Add(time.Since(start))
	return nil
}

// Print writes a result as a table.
func (r ChangesResult) Print(w io.Writer) {
	fmt.Fprintf(w, "in force on all hosts              %s  (%d changes)\n", r.Normal, r.Normal.Count())
	fmt.Fprintf(w, "while the log is slow for 2 s      %s  (%d changes)\n", r.Slow, r.Slow.Count())
	fmt.Fprintf(w, "size of a change                   %d bytes\n", r.RecordBytes)
}
