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
	"io"
	"net"
	"sync"
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

// Proxy passes connections on to one address.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]struct{}
}

// New starts a proxy on loopback, on a port that the system picks.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the fault. It holds for data that passes from then on.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f.Kind != CutExisting && f.Kind != Refuse {
		return
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *Proxy) track(c net.Conn) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return func() {
		_ = c.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *Proxy) serve(from *net.TCPConn) {
	defer p.track(from)()
	if p.current().Kind == Refuse {
		reset(from)
		return
	}
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(from)
		return
	}
	to := conn.(*net.TCPConn)
	defer p.track(to)()
	done := make(chan struct{}, 2)
	go func() {
		p.requests(from, to)
		done <- struct{}{}
	}()
	go func() {
		p.answers(from, to)
		done <- struct{}{}
	}()
	<-done
}

const pieceBytes = 32 << 10

// requests passes what the caller sends.
func (p *Proxy) requests(from, to *net.TCPConn) {
	buf := make([]byte, pieceBytes)
	passed := 0
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		switch f := p.current(); f.Kind {
		case HalfOpen:
			continue
		case Delay:
			time.Sleep(f.Time.Std())
		case ResetAfter:
			if passed+n > f.Bytes {
				_, _ = to.Write(buf[:max(0, f.Bytes-passed)])
				reset(from)
				return
			}
		}
		passed += n
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// answers passes what the target sends.
func (p *Proxy) answers(from, to *net.TCPConn) {
	buf := make([]byte, pieceBytes)
	passed := 0
	for {
		n, err := to.Read(buf)
		if err != nil {
			return
		}
		switch f := p.current(); f.Kind {
		case HalfOpen:
			continue
		case Delay:
			time.Sleep(f.Time.Std())
		case LoseAnswer:
			reset(from)
			return
		case CutAnswer:
			if passed+n > f.Bytes {
				_, _ = from.Write(buf[:max(0, f.Bytes-passed)])
				reset(from)
				return
			}
		case SlowAnswer:
			if !drip(from, buf[:n], f, passed) {
				return
			}
			passed += n
			continue
		}
		passed += n
		if _, err := from.Write(buf[:n]); err != nil {
			return
		}
	}
}

// drip writes the first bytes of an answer one by one.
func drip(to io.Writer, b []byte, f Fault, passed int) bool {
	for len(b) > 0 && passed < f.Bytes {
		time.Sleep(f.Time.Std())
		if _, err := to.Write(b[:1]); err != nil {
			return false
		}
		b = b[1:]
		passed++
	}
	_, err := to.Write(b)
	return err == nil
}
