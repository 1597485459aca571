// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// refusalTimeout bounds the question whether an address refuses connections. A process that
// has ended refuses within a round trip; one whose host is dark says nothing.
const refusalTimeout = 300 * time.Millisecond

// Refuses tells that nobody listens at an address any more: a process that was there has
// ended. A connection that stands is kept for the next call. All that broke off there ask at
// once, up to 29 requests of a host, and one connection answers them.
func (p *Pool) Refuses(address string) bool {
	answer, _, _ := p.asking.Do(address, func() (any, error) { return p.refuses(address), nil })
	return answer == true
}

// Gone is Refuses for a process that may have ended a while ago: its end has closed the
// connections to it, so that one which stands says that it lives.
func (p *Pool) Gone(address string) bool { return !p.stands(address) && p.Refuses(address) }

// stands tells that a kept connection to an address is open.
func (p *Pool) stands(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], quiet)
}

func (p *Pool) refuses(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.Opened.Add(1)
	p.adopt(newPooled(conn, address))
	return false
}

// adopt keeps a connection that no call has used yet, if the address may have one more.
func (p *Pool) adopt(c *pooled) {
	if !p.reserve(c.address) {
		_ = c.conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.rested = p.timer.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}
