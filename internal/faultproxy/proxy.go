// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package faultproxy is a TCP proxy for tests that brings about failures of the
// network: delays, cuts, half-open connections, resets after a request arrived,
// and answers that are lost after their effect.
//
// It stands in for the well-known proxy of that kind, whose module graph the
// registry refuses. Faults are values that data files can hold.
//
// # Usage
//
//	p, err := faultproxy.New("127.0.0.1:8080")
//	defer p.Close()
//	p.Set(faultproxy.Fault{Kind: faultproxy.LoseAnswer})
//	http.Get("http://" + p.Address())
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"amaranthgate.example/amaranthgate/internal/duration"
)

// Kind is what goes wrong.
type Kind string

// The kinds of faults.
const (
	Pass        Kind = ""            // Pass lets everything through.
	Delay       Kind = "Delay"       // Delay holds each piece of data back for Time.
	Refuse      Kind = "Refuse"      // Refuse resets new connections at once.
	HalfOpen    Kind = "HalfOpen"    // HalfOpen accepts connections and lets nothing through.
	DropRequest Kind = "DropRequest" // DropRequest lets nothing through towards the target.
	DropAnswer  Kind = "DropAnswer"  // DropAnswer lets nothing through towards the caller.
	Silence     Kind = "Silence"     // Silence lets nothing more through on what is open, and passes new connections.
	ResetAfter  Kind = "ResetAfter"  // ResetAfter passes Bytes of the request on and resets both sides.
	LoseAnswer  Kind = "LoseAnswer"  // LoseAnswer passes the request on and drops the connection when the answer begins.
	CutAnswer   Kind = "CutAnswer"   // CutAnswer cuts the connection after Bytes of the answer.
	SlowAnswer  Kind = "SlowAnswer"  // SlowAnswer passes the answer on byte by byte, Time apart, up to Bytes, then normally.
	CutExisting Kind = "CutExisting" // CutExisting cuts what is open and passes new connections.
)

// Fault is one fault.
type Fault struct {
	Kind  Kind
	Time  duration.Duration
	Bytes int
}

// Proxy passes connections on to one address. A connection on which bytes were
// dropped stays silent: passing on what follows would be another fault.
type Proxy struct {
	target  string
	address string

	mu       sync.Mutex
	listener net.Listener // listener is nil while the proxy is stopped.
	fault    Fault
	sessions map[*session]struct{}
}

// session is a caller's connection and the one to the target.
type session struct {
	caller *net.TCPConn
	target *net.TCPConn // target is nil until it stands.
	silent atomic.Bool
}

func (s *session) close() {
	_ = s.caller.Close()
	if s.target != nil {
		_ = s.target.Close()
	}
}

// New starts a proxy on loopback, on a port that the system picks.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, address: l.Addr().String(), listener: l, sessions: make(map[*session]struct{})}
	go p.accept(l)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Stop closes all connections and lets nobody listen, as when the target's process ends:
// connections are refused.
func (p *Proxy) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	for s := range p.sessions {
		s.close()
	}
}

// Start listens again at the same address.
func (p *Proxy) Start() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
	go p.accept(l)
	return nil
}

// Set replaces the fault. It holds for data that passes from then on.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for s := range p.sessions {
		switch f.Kind {
		case CutExisting, Refuse:
			s.close()
		case Silence:
			s.silent.Store(true)
		}
	}
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() { p.Stop() }

func (p *Proxy) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

// track remembers a session until the function that it returns is called.
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
	if p.current().Kind == Refuse {
		reset(caller)
		return
	}
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	p.mu.Lock()
	s.target = conn.(*net.TCPConn)
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() {
		p.pump(s, caller, s.target, p.request(s))
		done <- struct{}{}
	}()
	go func() {
		p.pump(s, s.target, caller, p.answer(s))
		done <- struct{}{}
	}()
	<-done
}

const pieceBytes = 32 << 10

// pump passes on what one side sends, a piece at a time. pass returns what of a
// piece is still to be written, and whether the connection lives on; passed counts
// the bytes before it.
func (p *Proxy) pump(s *session, from, to *net.TCPConn, pass func(b []byte, passed int) (rest []byte, alive bool)) {
	buf := make([]byte, pieceBytes)
	passed := 0
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if s.silent.Load() {
			continue
		}
		rest, alive := pass(buf[:n], passed)
		passed += n
		if _, err := to.Write(rest); err != nil {
			return
		}
		if !alive {
			reset(s.caller)
			return
		}
	}
}

// request decides on a piece that the caller sends.
func (p *Proxy) request(s *session) func(b []byte, passed int) ([]byte, bool) {
	return func(b []byte, passed int) ([]byte, bool) {
		switch f := p.current(); f.Kind {
		case HalfOpen, DropRequest:
			s.silent.Store(true)
			return nil, true
		case Delay:
			time.Sleep(f.Time.Std())
		case ResetAfter:
			return upTo(f.Bytes, passed, b)
		}
		return b, true
	}
}

// answer decides on a piece that the target sends.
func (p *Proxy) answer(s *session) func(b []byte, passed int) ([]byte, bool) {
	return func(b []byte, passed int) ([]byte, bool) {
		switch f := p.current(); f.Kind {
		case HalfOpen, DropAnswer:
			s.silent.Store(true)
			return nil, true
		case Delay:
			time.Sleep(f.Time.Std())
		case LoseAnswer:
			return nil, false
		case CutAnswer:
			return upTo(f.Bytes, passed, b)
		case SlowAnswer:
			return p.drip(s, b, f, passed)
		}
		return b, true
	}
}

// upTo returns what of a piece lies before the byte at which a connection ends.
func upTo(bytes, passed int, piece []byte) ([]byte, bool) {
	if passed+len(piece) <= bytes {
		return piece, true
	}
	return piece[:max(0, bytes-passed)], false
}

// drip writes the first bytes of an answer one by one and returns the others.
func (p *Proxy) drip(s *session, b []byte, f Fault, passed int) ([]byte, bool) {
	for len(b) > 0 && passed < f.Bytes {
		time.Sleep(f.Time.Std())
		if _, err := s.caller.Write(b[:1]); err != nil {
			return nil, false
		}
		b = b[1:]
		passed++
	}
	return b, true
}
