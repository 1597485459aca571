// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"context"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// probeTimeout limits a probe of whether an address refuses connections. A live host
// refuses within a round trip; one that is down does not reply.
const probeTimeout = 300 * time.Millisecond

// Refuses connects to an address and reports whether it refuses connections: no
// process is listening there. Concurrent calls share one connection, which is kept
// for the next request if it is established.
func (p *Pool) Refuses(address string) bool {
	refused, _, _ := p.probes.Do(address, func() (any, error) { return p.probe(address), nil })
	return refused == true
}

// Terminated is like Refuses, but takes an open idle connection as proof that the process
// is running. Its end must be long enough ago for its connections to be closed.
func (p *Pool) Terminated(address string) bool { return !p.hasOpenIdle(address) && p.Refuses(address) }

// hasOpenIdle reports whether an idle connection to an address is still open.
func (p *Pool) hasOpenIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], isQuiet)
}

// probe connects to an address and reports whether that was refused.
func (p *Pool) probe(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	started := p.timer.Now()
	conn, err := p.dial(ctx, address)
	if err != nil {
		p.observed(address, started, err)
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.putIdle(p.newConn(conn, address))
	return false
}

// resetWait is how long a probe waits for the end of a connection that was accepted only to be closed.
const resetWait = 20 * time.Millisecond

// ErrBusy means that a probe was not made, since all connections to the upstream are in use.
var ErrBusy = errors.New("forwarder: all connections to the upstream are in use")

// Connect probes an address by a new connection, which it closes again. It returns the error with which the connection
// could not be established, or ended at once. It is not reported to the function of Observe.
func (p *Pool) Connect(ctx context.Context, address string) error {
	if !p.reserve(address) {
		return ErrBusy
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		p.release(address)
		return err
	}
	defer p.discard(p.newConn(conn, address))
	if err := conn.SetReadDeadline(time.Now().Add(resetWait)); err != nil {
		return err
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}

// release undoes reserve for a connection that was not established.
func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// putIdle adds a new connection to the pool, or closes it if the limit is reached.
func (p *Pool) putIdle(c *pooledConn) {
	if !p.reserve(c.address) {
		_ = c.conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = p.timer.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}
