// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"amaranthgate.example/amaranthgate/internal/dialer"
	"amaranthgate.example/amaranthgate/timer"
)

// Bounds of pooled connections.
const (
	// defaultIdle is how long a connection is kept when the upstream names no
	// timeout; short enough that most servers have not closed it yet.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the upstream's own timeout, so that a request does
	// not cross the close: a round trip between regions and a late timer.
	idleMargin = 500 * time.Millisecond
	// onceIdle is the longest rest after which a connection may carry a request
	// that must not be repeated. A crossed close would leave it unknown whether it ran.
	onceIdle = 500 * time.Millisecond
	// foreignAnswers bounds how many answers to other requests are skipped on one
	// connection before it is given up.
	foreignAnswers = 2
	// inlineBody is the largest body that is written before the answer is read.
	// Larger ones are written beside it, since an upstream may answer early.
	inlineBody = 16 << 10
	readBuffer = 8 << 10
)

// PoolOptions set up a Pool. The zero value is ready to use.
type PoolOptions struct {
	DialTimeout      time.Duration // DialTimeout bounds a connect; default 1 s.
	ConnsPerUpstream int           // ConnsPerUpstream bounds connections to addresses without a bound of their own; 0 does not.
}

// Pool sends plain HTTP/1.1 requests over kept connections. Unlike
// http.Transport it never sends a request twice by itself, skips answers that
// belong to other requests, and says how much may have reached the upstream.
// It is safe for concurrent use.
type Pool struct {
	opts   PoolOptions
	dialer *net.Dialer
	timer  timer.System
	asking singleflight.Group // asking has the questions whether an address refuses.

	mu   sync.Mutex
	idle map[string][]*pooled
	open map[string]int
	most map[string]int // most has the bounds that calls have brought.
	// hosts is the number of equal parts of a bound of which this host takes one.
	hosts int

	Opened  atomic.Uint64 // Opened counts connections made.
	Crossed atomic.Uint64 // Crossed counts answers that belonged to other requests.
}

// NewPool returns a pool without connections.
func NewPool(opts PoolOptions) *Pool {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDial
	}
	return &Pool{opts: opts, dialer: dialer.New(opts.DialTimeout), idle: make(map[string][]*pooled), open: make(map[string]int), most: make(map[string]int), hosts: 1}
}

// pooled is one connection; one request uses it at a time.
type pooled struct {
	conn     net.Conn
	reader   *bufio.Reader
	address  string
	rested   time.Time     // rested is when it became idle.
	lifetime time.Duration // lifetime is how long it may rest.
}

// Call is one request as it goes over the wire.
type Call struct {
	Address string // Address is IP:port.
	Method  string
	Target  string // Target is the path with the query, sent as it is.
	Host    string
	Header  http.Header
	Body    []byte
	Most    int                      // Most is how many connections all hosts may have to the address; 0 if any. This host takes its part.
	Once    bool                     // Once asks for a connection that has not rested for long.
	Own     func(h http.Header) bool // Own tells whether an answer belongs to this call; nil accepts all.
}

// Reply is an answer whose body has not been read yet.
type Reply struct {
	Status int
	Header http.Header
	Length int64 // Length is the declared length of the body, or -1.

	pool    *Pool
	conn    *pooled
	body    io.ReadCloser
	stop    func() bool
	written chan error // written tells the end of writing the body; nil if it was written first.
	close   bool
	whole   bool
	ctx     context.Context
}

// Divide tells of how many equal parts of each bound this host may take one. Bounds come with calls:
// those of 10,000 addresses need not be set again for each host that comes or goes.
func (p *Pool) Divide(hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = max(1, hosts)
}

// Forget closes idle connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		p.drop(c)
	}
	delete(p.idle, address)
	delete(p.most, address)
}

// Retain closes idle connections to addresses that keep does not want.
func (p *Pool) Retain(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if keep(address) {
			continue
		}
		for _, c := range list {
			p.drop(c)
		}
		delete(p.idle, address)
		delete(p.most, address)
	}
}

// drop closes a connection; p.mu is held.
func (p *Pool) drop(c *pooled) {
	_ = c.conn.Close()
	p.open[c.address]--
	if p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

func (p *Pool) discard(c *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
}

// Do sends a call and returns the head of its answer. A Failure says whether
// the upstream may have run the request. When ctx ends, the connection is closed
// and the upstream sees that.
func (p *Pool) Do(ctx context.Context, call *Call) (*Reply, *Failure) {
	c, fail := p.acquire(ctx, call)
	if fail != nil {
		return nil, fail
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	r := &Reply{pool: p, conn: c, stop: stop, ctx: ctx}
	sent, err := r.send(call)
	if err == nil {
		err = r.receive(call)
	}
	if err == nil {
		return r, nil
	}
	stop()
	p.discard(c)
	fail = &Failure{Cause: CauseLost, Ran: RanUnknown, Detail: err.Error()}
	if sent == 0 {
		fail.Ran = RanNo
	}
	if ctx.Err() != nil {
		fail.Cause = CauseCaller
	}
	return nil, fail
}

func (p *Pool) acquire(ctx context.Context, call *Call) (*pooled, *Failure) {
	if c := p.take(call); c != nil {
		return c, nil
	}
	if !p.bound(call.Address, call.Most) {
		return nil, &Failure{Cause: CauseConnect, Ran: RanNo, Detail: "all connections to the upstream are in use"}
	}
	conn, err := p.dialer.DialContext(ctx, "tcp4", call.Address)
	if err != nil {
		p.mu.Lock()
		p.open[call.Address]--
		p.mu.Unlock()
		cause := CauseConnect
		if ctx.Err() != nil {
			cause = CauseCaller
		}
		return nil, &Failure{Cause: cause, Ran: RanNo, Detail: err.Error(), NoListener: errors.Is(err, syscall.ECONNREFUSED)}
	}
	p.Opened.Add(1)
	return newPooled(conn, call.Address), nil
}

func newPooled(conn net.Conn, address string) *pooled {
	return &pooled{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), address: address, lifetime: defaultIdle}
}

// reserve counts one more connection to an address, in place of an idle one if
// there may be no more.
func (p *Pool) reserve(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserved(address)
}

// bound is reserve with the bound that a call brings.
func (p *Pool) bound(address string, most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most[address] = most
	return p.reserved(address)
}

// reserved is reserve while p.mu is held.
func (p *Pool) reserved(address string) bool {
	limit := p.opts.ConnsPerUpstream
	if most := p.most[address]; most > 0 {
		limit = max(1, most/p.hosts)
	}
	if limit > 0 && p.open[address] >= limit {
		list := p.idle[address]
		if len(list) == 0 {
			return false
		}
		p.idle[address] = list[1:]
		p.drop(list[0])
	}
	p.open[address]++
	return true
}

// take returns the connection that rested last, if one is still good.
func (p *Pool) take(call *Call) *pooled {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	list := p.idle[call.Address]
	for len(list) > 0 {
		c := list[len(list)-1]
		rest := now.Sub(c.rested)
		if call.Once && rest > onceIdle && rest < c.lifetime {
			return nil
		}
		list = list[:len(list)-1]
		p.idle[call.Address] = list
		if rest < c.lifetime && quiet(c) {
			return c
		}
		p.drop(c)
	}
	return nil
}

// quiet reports that nothing has arrived on an idle connection: neither its
// close nor bytes that belong to no request.
func quiet(c *pooled) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}

// send writes the request and returns how many bytes were handed to the kernel.
func (r *Reply) send(call *Call) (int, error) {
	var head bytes.Buffer
	head.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	if err := call.Header.Write(&head); err != nil {
		return 0, err
	}
	head.WriteString("\r\n")
	if len(call.Body) <= inlineBody {
		head.Write(call.Body)
		return r.conn.conn.Write(head.Bytes())
	}
	n, err := r.conn.conn.Write(head.Bytes())
	if err != nil {
		return n, err
	}
	r.written = make(chan error, 1)
	go func() {
		_, err := r.conn.conn.Write(call.Body)
		r.written <- err
	}()
	return n, nil
}

var errForeign = errors.New("forwarder: only answers to other requests came")

// receive reads heads until one belongs to the call.
func (r *Reply) receive(call *Call) error {
	for range foreignAnswers + 1 {
		resp, err := r.head(call)
		if err != nil {
			return err
		}
		if call.Own == nil || call.Own(resp.Header) {
			r.Status, r.Header, r.Length = resp.StatusCode, resp.Header, resp.ContentLength
			r.body, r.close = resp.Body, resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
			return nil
		}
		r.pool.Crossed.Add(1)
		if resp.Close {
			return errForeign
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	return errForeign
}

// head reads one head, past interim answers.
func (r *Reply) head(call *Call) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r.conn.reader, &http.Request{Method: call.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// Read reads the body. io.EOF comes only after the whole body.
func (r *Reply) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Unframed tells that the body ends with its connection.
func (r *Reply) Unframed() bool { return r.Length < 0 && r.close }

// Close ends the call. The connection is kept if the answer was read to its end
// and the upstream will read the next request there.
func (r *Reply) Close() {
	live := r.stop()
	if !live || !r.whole || r.close || !r.bodySent() {
		r.pool.discard(r.conn)
		return
	}
	r.conn.lifetime = lifetime(r.Header)
	r.conn.rested = r.pool.timer.Now() // upstreams close idle connections also while this machine is suspended
	if r.conn.lifetime <= 0 {
		r.pool.discard(r.conn)
		return
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.idle[r.conn.address] = append(r.pool.idle[r.conn.address], r.conn)
}

// bodySent reports that the request's body has been written whole.
func (r *Reply) bodySent() bool {
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// lifetime reads how long a connection may rest from the upstream's advice.
func lifetime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
