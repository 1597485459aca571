// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package faultproxy is a TCP proxy for tests that injects network faults:
// delays, resets, half-open connections, and responses that are lost or
// truncated after the request took effect. Faults can be read from data files.
//
// # Usage
//
//	p, err := faultproxy.New("127.0.0.1:8080")
//	defer p.Close()
//	p.Set(faultproxy.Fault{Kind: faultproxy.LoseAnswer})
//	http.Get("http://" + p.Address())
//
// A Cut interrupts the path beside any fault:
//
//	err := p.Cut(faultproxy.CutHang)
//	err = p.Cut(faultproxy.CutNone)
package faultproxy

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/freeport"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	Pass        Kind = ""            // Pass forwards all data.
	Delay       Kind = "Delay"       // Delay delays each chunk of data by Time.
	Refuse      Kind = "Refuse"      // Refuse resets new connections immediately.
	HalfOpen    Kind = "HalfOpen"    // HalfOpen accepts connections and drops all data.
	DropRequest Kind = "DropRequest" // DropRequest drops data sent to the target.
	DropAnswer  Kind = "DropAnswer"  // DropAnswer drops data sent to the caller.
	Silence     Kind = "Silence"     // Silence drops all data on open connections and forwards new ones.
	ResetAfter  Kind = "ResetAfter"  // ResetAfter forwards Bytes of the request and resets the connection.
	LoseAnswer  Kind = "LoseAnswer"  // LoseAnswer resets the connection when the response begins.
	CutAnswer   Kind = "CutAnswer"   // CutAnswer resets the connection after Bytes of the response.
	SlowAnswer  Kind = "SlowAnswer"  // SlowAnswer sends the first Bytes of the response singly, Time apart.
	CutExisting Kind = "CutExisting" // CutExisting resets open connections and forwards new ones.
)

// Fault is a kind of fault with its parameters.
type Fault struct {
	Kind  Kind
	Time  duration.Duration
	Bytes int
}

// Proxy forwards connections to one address. After data was dropped on a
// connection, all later data on it is dropped too, as the stream would otherwise
// be corrupted; its end becomes a reset.
type Proxy struct {
	target  string
	source  net.IP // source is the IP address of connections to the target; nil for any.
	address string

	mu       sync.Mutex
	group    []*Proxy         // group are the proxies of other sources to the target.
	listener *net.TCPListener // listener is nil while the proxy is stopped, or cut so that it refuses connections.
	stopped  bool
	fault    Fault
	cut      Cut
	changed  chan struct{} // changed is closed and replaced at each change of cut.
	accepted chan struct{} // accepted signals that a connection was accepted.
	fillers  *fillers      // fillers is nil unless the cut drops connection attempts.
	sessions map[*session]struct{}
}

// session is a caller's connection with its connection to the target.
type session struct {
	caller *net.TCPConn
	target *net.TCPConn // target is nil until it is connected.
	silent atomic.Bool  // silent means that all data is dropped.
	held   heldData     // held is what the caller has sent during a cut.
}

// abort resets the caller's connection: an orderly close could complete an answer.
func (s *session) abort() {
	_ = s.caller.SetLinger(0) // it may be closed already
	s.close()
}

func (s *session) close() {
	_ = s.caller.Close()
	if s.target != nil {
		_ = s.target.Close()
	}
}

// New starts a proxy on loopback, on a port that nobody else gets, also while the proxy is stopped.
func New(target string) (*Proxy, error) { return NewFrom(target, nil) }

// NewFrom is New with the IP address from which the proxy connects to the target; nil for any.
func NewFrom(target string, source net.IP) (*Proxy, error) {
	l, err := freeport.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target: target, source: source, address: l.Addr().String(), listener: l.(*net.TCPListener),
		changed: make(chan struct{}), accepted: make(chan struct{}, 1), sessions: make(map[*session]struct{}),
	}
	go p.accept(p.listener)
	return p, nil
}

// Group makes proxies from different sources to one target serve each other's callers: a connection from the source
// of another proxy has the faults and cuts of that proxy, whichever address it was made to. Only a cut of a proxy that
// keeps connections from being established applies to all that are made to its address.
func Group(proxies ...*Proxy) {
	for _, p := range proxies {
		p.mu.Lock()
		p.group = proxies
		p.mu.Unlock()
	}
}

// owner returns the proxy of the group whose source a connection comes from.
func (p *Proxy) owner(c *net.TCPConn) *Proxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := c.RemoteAddr().(*net.TCPAddr).IP
	for _, q := range p.group {
		if q.source.Equal(from) {
			return q
		}
	}
	return p
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// Stop closes the listener and resets all connections, as when the target's process
// crashes. New connections are refused until Start is called.
func (p *Proxy) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.unlisten()
	for s := range p.sessions {
		s.abort()
	}
}

// Start listens again on the same address, unless a cut refuses connections.
func (p *Proxy) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = false
	return p.listen()
}

// Set replaces the fault. It applies to data that arrives afterwards.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for s := range p.sessions {
		switch f.Kind {
		case CutExisting, Refuse:
			s.abort()
		case Silence:
			s.silent.Store(true)
		}
	}
}

// Close closes the proxy and all its connections.
func (p *Proxy) Close() {
	p.Stop()
	_ = p.Cut(CutNone) // a stopped proxy does not listen
}

func (p *Proxy) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// admit serves a connection, unless a cut keeps it from being established.
func (p *Proxy) admit(caller *net.TCPConn) {
	if p.await(Cut.blocksAnswers) {
		reset(caller)
		return
	}
	p.serve(caller)
}

// refuses reports whether new connections are reset.
func (p *Proxy) refuses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped || p.cut.refuses() || p.fault.Kind == Refuse
}

func (p *Proxy) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		select {
		case p.accepted <- struct{}{}:
		default:
		}
		if p.await(Cut.blocksAnswers) {
			reset(c) // it was accepted during a cut
			continue
		}
		go p.owner(c).admit(c)
	}
}

// track registers a session. The returned function closes and removes it.
func (p *Proxy) track(s *session) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.close()
		delete(p.sessions, s)
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *Proxy) serve(caller *net.TCPConn) {
	s := &session{caller: caller}
	defer p.track(s)()
	if p.refuses() {
		reset(caller)
		return
	}
	dialer := net.Dialer{}
	if p.source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.source}
	}
	conn, err := dialer.Dial("tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	p.mu.Lock()
	s.target = conn.(*net.TCPConn)
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() {
		p.copyFiltered(s, caller, s.target, p.requestFilter(s))
		done <- struct{}{}
	}()
	go func() {
		p.copyFiltered(s, s.target, caller, p.responseFilter(s))
		done <- struct{}{}
	}()
	<-done
}

const bufferBytes = 32 << 10

// copyFiltered copies data from one connection to the other, chunk by chunk. For
// each chunk, filter gets the number of bytes before it, and returns the data to
// write and whether to keep the connection open.
func (p *Proxy) copyFiltered(s *session, from, to *net.TCPConn, filter func(b []byte, offset int) (data []byte, open bool)) {
	buf := make([]byte, bufferBytes)
	offset := 0
	lost := false // lost reports that data was dropped, so that the end of the stream cannot arrive
	for {
		n, err := from.Read(buf)
		if from == s.target {
			p.await(Cut.blocksAnswers)
		}
		if err != nil {
			if from == s.caller {
				s.held.drop()
				p.await(Cut.blocksRequests)
			} else if lost || errors.Is(err, syscall.ECONNRESET) {
				s.abort()
			}
			return
		}
		if s.silent.Load() {
			lost = true
			continue
		}
		data, open := filter(buf[:n], offset)
		lost = lost || s.silent.Load()
		offset += n
		if from == s.caller {
			err = p.send(s, data)
		} else {
			_, err = to.Write(data)
		}
		if err != nil {
			return
		}
		if !open {
			reset(s.caller)
			return
		}
	}
}

// requestFilter returns the filter for data from the caller.
func (p *Proxy) requestFilter(s *session) func(b []byte, offset int) ([]byte, bool) {
	return func(b []byte, offset int) ([]byte, bool) {
		switch f := p.current(); f.Kind {
		case HalfOpen, DropRequest:
			s.silent.Store(true)
			return nil, true
		case Delay:
			time.Sleep(f.Time.Std())
		case ResetAfter:
			return truncate(f.Bytes, offset, b)
		}
		return b, true
	}
}

// responseFilter returns the filter for data from the target.
func (p *Proxy) responseFilter(s *session) func(b []byte, offset int) ([]byte, bool) {
	return func(b []byte, offset int) ([]byte, bool) {
		switch f := p.current(); f.Kind {
		case HalfOpen, DropAnswer:
			s.silent.Store(true)
			return nil, true
		case Delay:
			time.Sleep(f.Time.Std())
		case LoseAnswer:
			return nil, false
		case CutAnswer:
			return truncate(f.Bytes, offset, b)
		case SlowAnswer:
			return p.writeSlowly(s, b, f, offset)
		}
		return b, true
	}
}

// truncate returns the part of chunk within the first limit bytes of the stream, and
// whether that is all of it. The chunk begins at offset.
func truncate(limit, offset int, chunk []byte) ([]byte, bool) {
	if offset+len(chunk) <= limit {
		return chunk, true
	}
	return chunk[:max(0, limit-offset)], false
}

// writeSlowly writes the part of b within the first f.Bytes of the response byte by
// byte, and returns the rest.
func (p *Proxy) writeSlowly(s *session, b []byte, f Fault, offset int) ([]byte, bool) {
	for len(b) > 0 && offset < f.Bytes {
		time.Sleep(f.Time.Std())
		if _, err := s.caller.Write(b[:1]); err != nil {
			return nil, false
		}
		b = b[1:]
		offset++
	}
	return b, true
}
