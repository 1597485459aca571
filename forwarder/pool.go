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
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"amaranthgate.example/amaranthgate/internal/dialer"
	"amaranthgate.example/amaranthgate/internal/verifier"
	"amaranthgate.example/amaranthgate/timer"
)

const (
	// defaultIdleTimeout applies if the upstream's answer names no timeout. It is
	// shorter than the usual idle timeouts of servers.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the upstream's timeout, so that no request is
	// sent while the upstream closes the connection.
	idleMargin = 500 * time.Millisecond
	// maxOnceIdle limits the idle time of a connection for a request that must run at
	// most once: if the upstream closes it meanwhile, it is unknown whether it ran.
	maxOnceIdle = 500 * time.Millisecond
	// maxForeignAnswers limits the answers to other requests that are skipped on one
	// connection.
	maxForeignAnswers = 2
	// maxInlineBodyBytes is the largest body that is written before the answer is read.
	// Larger ones are written concurrently, since an upstream may answer early.
	maxInlineBodyBytes = 16 << 10
	readBufferBytes    = 8 << 10
	// userTimeout is the time without an acknowledgement after which the kernel ends a connection. Sound
	// upstreams pause for up to 2 s. The last retransmission within a pause may come just before its end, and the
	// next one after twice the time so far; the kernel sends none at the end of the timeout.
	userTimeout = 4500 * time.Millisecond
)

// PoolOptions configure a Pool. The zero value is ready to use.
type PoolOptions struct {
	DialTimeout      time.Duration // DialTimeout defaults to 1 s. It also bounds the wait for a confirmation.
	Source           net.IP        // Source is the IP address of connections; nil means that the system selects one.
	ConnsPerUpstream int           // ConnsPerUpstream limits connections to an address; 0 for no limit.
	// Dial connects to an address; default are connections of package dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool sends HTTP/1.1 requests over a pool of persistent connections. Unlike
// http.Transport it never sends a request twice, skips answers to other requests,
// keeps the attempts of a request apart by their connections, and reports whether a
// failed request may have run. It is safe for concurrent use.
type Pool struct {
	opts    PoolOptions
	timer   timer.System
	probes  singleflight.Group // probes are by address.
	observe func(c Connection) // observe is called with the outcomes of new connections; nil for none.

	mu       sync.Mutex
	idle     map[string][]*pooledConn
	open     map[string]int
	maxConns map[string]int // maxConns are the limits set by calls, by address.
	hosts    int            // hosts is the number of hosts that divide each limit evenly.

	Opened  atomic.Uint64 // Opened counts new connections.
	Crossed atomic.Uint64 // Crossed counts answers to other requests.
	// Exceeded counts connections that were closed since too much arrived, or too slowly, before the body of an answer.
	Exceeded atomic.Uint64
}

// NewPool returns a Pool without connections.
func NewPool(opts PoolOptions) *Pool {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.Dial == nil {
		opts.Dial = dialer.New(dialer.Options{UserTimeout: userTimeout, Source: opts.Source}).DialContext
	}
	return &Pool{opts: opts, idle: make(map[string][]*pooledConn), open: make(map[string]int), maxConns: make(map[string]int), hosts: 1}
}

// pooledConn is a connection used by one request at a time.
type pooledConn struct {
	conn        net.Conn
	bounds      *boundedReader // bounds is what reader reads from.
	reader      *bufio.Reader
	address     string
	idleSince   time.Time
	idleTimeout time.Duration
	started     time.Time // started is when a connection was begun on which nothing was received yet; otherwise zero.
	number      uint64    // number is Trace.Connection.
	carried     int       // carried is the number of requests that were sent on it, ids are the IDs of those that have one.
	ids         identities
}

// Call is one request as it is sent.
type Call struct {
	Address string // Address is IP:port.
	Method  string
	Target  string // Target is the escaped path with the query.
	Host    string
	Header  http.Header
	Body    []byte
	// Complete adds the fields to Header that depend on when the call is written, once a connection is there; nil for none.
	Complete func(h http.Header)
	// MaxConns limits the connections of all hosts together to the address; if it is 0,
	// PoolOptions.ConnsPerUpstream applies.
	MaxConns int
	// Once marks a request that must run at most once. It is not sent on a connection
	// that was idle for long, unless it is Confirmed.
	Once bool
	// ID is what answers are told apart by, if they are. All attempts of a request share it, and an upstream may send
	// an answer again late, so that no connection carries an ID twice.
	ID string
	// Accept reports whether an answer belongs to this call; nil accepts all answers.
	Accept func(h http.Header) bool
	// Alone gives the call a connection of its own, which is closed afterwards. It is for calls of which nothing in the
	// answer shows that it belongs to them.
	Alone bool
	// Confirmed sends the body only after the server has asked for it (Expect: 100-continue), so that a call that is lost
	// before has not run. The server must not run a call before it has the whole body, and may answer without it. A server
	// that does not ask within PoolOptions.DialTimeout has no connection to offer: the failure has CauseConnect.
	Confirmed bool
}

// Reply is an answer of which the body has not been read.
type Reply struct {
	Status int
	Header http.Header
	Length int64 // Length is the declared length of the body, or -1.
	// Framing is what marks the end of the body.
	Framing Framing
	Trace   Trace

	pool       *Pool
	conn       *pooledConn
	response   *http.Response // response has the body, and its trailer once it has been read.
	stop       func() bool
	written    chan error // written receives the result of writing a large request body; otherwise nil.
	closeAfter bool       // closeAfter means that the connection cannot be reused.
	complete   bool       // complete means that the body was read to its end.
	ctx        context.Context
}

// Connection is the outcome of a new connection to an upstream.
type Connection struct {
	Address string
	Started time.Time // Started is when the connection was begun.
	// Err is the error with which it could not be established, or ended before an answer; nil once an answer
	// has begun on it.
	Err error
}

// Observe sets the function that is called with the outcome of each new connection, except of those that the caller
// canceled. It must be called before the first request. f must not block or call the Pool.
func (p *Pool) Observe(f func(c Connection)) { p.observe = f }

func (p *Pool) observed(address string, started time.Time, err error) {
	if p.observe != nil {
		p.observe(Connection{Address: address, Started: started, Err: err})
	}
}

// SetHosts sets the number of hosts that divide the connection limits evenly.
func (p *Pool) SetHosts(hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = max(1, hosts)
}

// Forget closes idle connections to an address and removes its limit.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		p.closeLocked(c)
	}
	delete(p.idle, address)
	delete(p.maxConns, address)
}

// Retain closes idle connections to addresses for which keep returns false.
func (p *Pool) Retain(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if keep(address) {
			continue
		}
		for _, c := range list {
			p.closeLocked(c)
		}
		delete(p.idle, address)
		delete(p.maxConns, address)
	}
}

// closeLocked closes a connection and removes it from the count; p.mu must be held.
func (p *Pool) closeLocked(c *pooledConn) {
	_ = c.conn.Close()
	p.open[c.address]--
	if p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

func (p *Pool) discard(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// Do sends a call and returns the status and header of its answer. A Failure says
// whether the upstream may have run the request. When ctx is done the connection is
// closed, also while the body is read.
func (p *Pool) Do(ctx context.Context, call *Call) (*Reply, *Failure) {
	c, fail := p.acquire(ctx, call)
	if fail != nil {
		return nil, fail
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	r := &Reply{pool: p, conn: c, stop: stop, ctx: ctx, Trace: Trace{Connection: c.number, Earlier: c.carried}}
	c.carried++
	c.ids = c.ids.with(call.ID)
	if call.Complete != nil {
		call.Complete(call.Header)
	}
	ran, err := r.exchange(call)
	if ctx.Err() == nil || err == nil {
		p.observeFirst(c, err)
	}
	if err == nil {
		return r, nil
	}
	stop()
	p.discard(c)
	fail = &Failure{Cause: CauseLost, Ran: ran, Detail: err.Error(), Trace: r.Trace}
	if exceeded := c.bounds.exceeded; exceeded != nil { // err may be that of decoding what was cut there
		p.Exceeded.Add(1)
		fail.Cause, fail.Detail = CauseMalformed, exceeded.Error()
	}
	switch {
	case ctx.Err() != nil:
		fail.Cause = CauseCallerGone
	case ran == RanNo && errors.Is(err, os.ErrDeadlineExceeded):
		fail.Cause = CauseConnect
	case verifier.IsError(err):
		fail.Cause = CauseMalformed
	}
	return nil, fail
}

// observeFirst reports the outcome of a new connection when its first answer begins or it ends.
func (p *Pool) observeFirst(c *pooledConn, err error) {
	if c.started.IsZero() {
		return
	}
	if !connectionEnded(err) {
		err = nil // an answer that is not understood is one
	}
	p.observed(c.address, c.started, err)
	c.started = time.Time{}
}

// connectionEnded reports whether an error is the end of a connection.
func connectionEnded(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

func (p *Pool) acquire(ctx context.Context, call *Call) (*pooledConn, *Failure) {
	if !call.Alone {
		if c := p.takeIdle(call); c != nil {
			return c, nil
		}
		p.limit(call.Address, call.MaxConns)
	}
	if !p.reserve(call.Address) {
		return nil, &Failure{Cause: CauseConnect, Ran: RanNo, NoRoom: true, Detail: "all connections to the upstream are in use"}
	}
	started := p.timer.Now()
	conn, err := p.dial(ctx, call.Address)
	if err != nil {
		p.release(call.Address)
		cause := CauseConnect
		if ctx.Err() != nil {
			cause = CauseCallerGone
		} else {
			p.observed(call.Address, started, err)
		}
		return nil, &Failure{Cause: cause, Ran: RanNo, Detail: err.Error(), NoListener: errors.Is(err, syscall.ECONNREFUSED)}
	}
	c := p.newConn(conn, call.Address)
	c.started = started
	return c, nil
}

// dial connects to an address within the timeout.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	return p.opts.Dial(ctx, "tcp4", address)
}

// newConn counts a new connection.
func (p *Pool) newConn(conn net.Conn, address string) *pooledConn {
	bounds := &boundedReader{conn: conn}
	return &pooledConn{
		conn: conn, bounds: bounds, reader: bufio.NewReaderSize(bounds, readBufferBytes),
		address: address, idleTimeout: defaultIdleTimeout, number: p.Opened.Add(1),
	}
}

// limit sets the limit of connections to an address, 0 for PoolOptions.ConnsPerUpstream.
func (p *Pool) limit(address string, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns[address] = conns
}

// limitLocked returns the limit of connections to an address, 0 for none; p.mu must be held.
func (p *Pool) limitLocked(address string) int {
	if total := p.maxConns[address]; total > 0 {
		return max(1, total/p.hosts)
	}
	return p.opts.ConnsPerUpstream
}

// reserve counts a new connection to an address, and closes an idle one if the limit
// is reached. It returns false if there is none to close.
func (p *Pool) reserve(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.limitLocked(address)
	if limit > 0 && p.open[address] >= limit {
		list := p.idle[address]
		if len(list) == 0 {
			return false
		}
		p.idle[address] = list[1:]
		p.closeLocked(list[0])
	}
	p.open[address]++
	return true
}

// takeIdle returns the most recently used idle connection that can be reused for a call, or nil.
func (p *Pool) takeIdle(call *Call) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	list := p.idle[call.Address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		idle := now.Sub(c.idleSince)
		open := idle < c.idleTimeout
		switch {
		case open && call.Once && !call.Confirmed && idle > maxOnceIdle:
			return nil
		case open && c.ids.has(call.ID):
			continue
		}
		list = slices.Delete(list, i, i+1)
		p.idle[call.Address] = list
		if open && isQuiet(c) {
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// isQuiet reports whether an idle connection is open and has no unread data.
func isQuiet(c *pooledConn) bool {
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
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}

// exchange writes a call and reads the header of its answer. If it fails, it returns whether the call may have run.
func (r *Reply) exchange(call *Call) (Ran, error) {
	if call.Confirmed {
		if answered, err := r.offer(call); answered || err != nil {
			return RanNo, err
		}
		if err := r.sendBody(call); err != nil {
			return RanNo, err
		}
		return RanUnknown, r.receive(call)
	}
	n, err := r.send(call)
	switch {
	case err == nil:
		return RanUnknown, r.receive(call)
	case n == 0:
		return RanNo, err
	}
	return RanUnknown, err
}

// send writes the request and returns the number of bytes passed to the kernel.
func (r *Reply) send(call *Call) (int, error) {
	head, err := call.head()
	if err != nil {
		return 0, err
	}
	if len(call.Body) <= maxInlineBodyBytes {
		head.Write(call.Body)
		return r.conn.conn.Write(head.Bytes())
	}
	n, err := r.conn.conn.Write(head.Bytes())
	if err == nil {
		r.sendLater(call.Body)
	}
	return n, err
}

// sendLater writes a body while the answer is read.
func (r *Reply) sendLater(body []byte) {
	r.written = make(chan error, 1)
	go func() {
		_, err := r.conn.conn.Write(body)
		r.written <- err
	}()
}

// head returns the request line and the header.
func (c *Call) head() (*bytes.Buffer, error) {
	head := &bytes.Buffer{}
	head.WriteString(c.Method + " " + c.Target + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	switch {
	case c.Confirmed && len(c.Body) == 0:
		head.WriteString("Transfer-Encoding: chunked\r\n") // a body of no chunks can be sent later
	case len(c.Body) > 0, c.Method != http.MethodGet && c.Method != http.MethodHead:
		head.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	if c.Confirmed {
		head.WriteString("Expect: 100-continue\r\n")
	}
	if err := c.Header.Write(head); err != nil {
		return nil, err
	}
	head.WriteString("\r\n")
	return head, nil
}

var errForeign = errors.New("forwarder: received only answers to other requests")

// receive reads status lines and headers until an answer belongs to the call.
func (r *Reply) receive(call *Call) error {
	for range maxForeignAnswers + 1 {
		resp, err := r.readHeader(call)
		if err != nil {
			return err
		}
		if r.accept(call, resp) {
			return nil
		}
		r.pool.Crossed.Add(1)
		r.Trace.Foreign++
		if resp.Close {
			return errForeign
		}
		r.conn.bounds.bound(maxForeignBytes)
		n, err := io.Copy(io.Discard, resp.Body)
		r.Trace.ForeignBytes += n
		if err != nil {
			return err
		}
	}
	return errForeign
}

// accept takes an answer if it belongs to the call.
func (r *Reply) accept(call *Call, resp *http.Response) bool {
	if call.Accept != nil && !call.Accept(resp.Header) {
		return false
	}
	r.Status, r.Header, r.Length = resp.StatusCode, resp.Header, resp.ContentLength
	r.Framing = framingOf(resp)
	r.response, r.closeAfter = resp, resp.Close || r.Framing == FramingConnection || call.Alone
	return true
}

// readHeader reads the status line and header of the next final answer.
func (r *Reply) readHeader(call *Call) (*http.Response, error) {
	return r.readUntil(call, func(status int) bool { return status >= http.StatusOK })
}

// readUntil reads status lines and headers until one has a status that is wanted.
func (r *Reply) readUntil(call *Call, wanted func(status int) bool) (*http.Response, error) {
	r.conn.bounds.bound(maxHeadBytes)
	defer r.conn.bounds.unbound()
	for range maxInterimAnswers + 1 {
		resp, err := http.ReadResponse(r.conn.reader, &http.Request{Method: call.Method})
		if err == nil {
			err = verifier.Check(resp)
		}
		if err != nil {
			return nil, err
		}
		if wanted(resp.StatusCode) {
			return resp, nil
		}
	}
	r.conn.bounds.exceeded = errInterim
	return nil, errInterim
}

// Read reads the body. It returns io.EOF only after the complete body.
func (r *Reply) Read(b []byte) (int, error) {
	n, err := r.response.Body.Read(b)
	if err == io.EOF && r.Framing == FramingConnection {
		err = r.connectionEnd()
	}
	if err == io.EOF {
		err = r.trailerEnd()
	}
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// connectionEnd returns io.EOF if the upstream has closed the connection, and an error if it has reset it. The kernel reports a
// reset once: if a write of the request gets the error, reads only find the end.
func (r *Reply) connectionEnd() error {
	if r.written == nil {
		return io.EOF
	}
	_ = r.conn.conn.SetWriteDeadline(past) // the rest of the request is of no use; the connection is not used again
	err := <-r.written
	r.written <- err
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	return errors.Wrap(io.ErrUnexpectedEOF, "forwarder: the connection ended while the request was written: "+err.Error())
}

// trailerEnd returns io.EOF unless the trailer is not that of an answer.
func (r *Reply) trailerEnd() error {
	if err := verifier.CheckTrailer(r.response); err != nil {
		return err
	}
	return io.EOF
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Close ends the call. The connection is kept if the answer was read completely and
// the upstream can read another request from it.
func (r *Reply) Close() {
	open := r.stop()
	if !open || !r.complete || r.closeAfter || len(r.conn.ids) >= maxIdentities || !r.bodySent() {
		r.pool.discard(r.conn)
		return
	}
	r.conn.idleTimeout = keepAliveTimeout(r.Header)
	r.conn.idleSince = r.pool.timer.Now() // counts suspended time, in which upstreams close connections
	if r.conn.idleTimeout <= 0 {
		r.pool.discard(r.conn)
		return
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if limit := r.pool.limitLocked(r.conn.address); limit > 0 && r.pool.open[r.conn.address] > limit {
		r.pool.closeLocked(r.conn) // the limit has been lowered
		return
	}
	r.pool.idle[r.conn.address] = append(r.pool.idle[r.conn.address], r.conn)
}

// bodySent reports whether the request's body has been written completely.
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

// keepAliveTimeout returns how long a connection may be idle, from the upstream's
// Keep-Alive header.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
