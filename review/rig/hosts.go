// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/internal/freeport"
)

// binary is the program as the build of the deploy file places it.
const binary = "target/amaranthgate"

// settingsText is deploy/settings.template as the platform fills it in on a small deployment.
const settingsText = `{
  "Host": "%[1]s",
  "AvailabilityZone": "%[2]s",
  "Callers": {"Listen": "%[3]s"},
  "Peers": {"Listen": "%[4]s"},
  "Operators": {"Listen": "%[5]s"},
  "PeerSecret": "amaranthgate hosts of one deployment",
  "BlockSecret": "amaranthgate blocks of one deployment",
  "Platform": {
    "Store": "%[8]s",
    "LinkMbps": 1000,
    "Cores": 0.4,
    "FirstStart": true,
    "Regions": {"zone-1": "region-1", "zone-2": "region-1", "zone-3": "region-1"},
    "Ready": {"Listen": "%[6]s"},
    "Directory": {"Listen": "%[7]s"},
    "RetryShare": 0.2,
    "RetrySlack": 52,
    "Lease": "3000ms",
    "WeightsWithin": "12000ms",
    "LoadsAtOnce": 3,
    "LoadsShare": 0.2,
    "Disabled": ["FetchPricing"]
  },
  "Timing": {"AddressTTL": "1s", "DrainTimeout": "8s"},
  "LogLevel": "info"
}
`

// zones are the availability zones.
var zones = []string{"zone-1", "zone-2", "zone-3"}

// hostCount is the number of hosts.
const hostCount = 6

// host is a host process.
type host struct {
	name    string
	callers string // callers is the address for clients.
	ready   string // ready is the address of the readiness check.
	cmd     *exec.Cmd
	done    chan struct{} // done is closed when the process has exited.
}

// startHosts starts the hosts, spread over the availability zones, and waits until all are ready.
func startHosts(ctx context.Context, dir, store string) ([]*host, error) {
	var hosts []*host
	for i := range hostCount {
		h, err := startHost(fmt.Sprint("host-", i+1), zones[i%len(zones)], dir, store)
		if err != nil {
			return hosts, err
		}
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if err := h.awaitReady(ctx); err != nil {
			return hosts, err
		}
	}
	return hosts, nil
}

func startHost(name, zone, dir, store string) (*host, error) {
	a, err := freeport.Addresses(5)
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(dir, name+".json")
	text := fmt.Sprintf(settingsText, name, zone, a[0], a[1], a[2], a[3], a[4], store)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	h := &host{name: name, callers: a[0], ready: a[3], done: make(chan struct{})}
	h.cmd = exec.Command(binary, "serve", "--settings", settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the rig
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.cmd.Wait() // it was killed
		_ = log.Close()
		close(h.done)
	}()
	return h, nil
}

// awaitReady waits until the readiness check succeeds.
func (h *host) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	url := "http://" + h.ready + "/api/ready"
	for ctx.Err() == nil {
		if resp, err := http.Get(url); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Errorf("rig: %s is not ready", h.name)
}

// stop ends the process.
func (h *host) stop() {
	_ = h.cmd.Process.Signal(syscall.SIGKILL) // it may have exited
	<-h.done
}

// addresses returns the addresses of hosts for clients.
func addresses(hosts []*host) string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.name+"="+h.callers)
	}
	return strings.Join(out, " ")
}
