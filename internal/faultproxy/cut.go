// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package faultproxy

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Cut is a kind of interruption of the path. Unlike a Fault it can end without an effect on open connections.
type Cut string

// Values of Cut.
const (
	CutNone Cut = ""
	// CutHang delivers nothing in either direction, and new connections are not established.
	CutHang Cut = "Hang"
	// CutAnswers is CutHang for what the target sends; requests reach it.
	CutAnswers Cut = "Answers"
	// CutReset resets all connections and refuses new ones.
	CutReset Cut = "Reset"
	// CutNew refuses new connections and leaves the open ones.
	CutNew Cut = "New"
)

func (c Cut) blocksRequests() bool { return c == CutHang }
func (c Cut) blocksAnswers() bool  { return c == CutHang || c == CutAnswers }
func (c Cut) refuses() bool        { return c == CutReset || c == CutNew }

const (
	listenBacklog = 4096
	// fillTimeout is how long the kernel may take to establish a connection before the queue of the listener
	// counts as full.
	fillTimeout = 100 * time.Millisecond
	// maxFillers bounds the connections that fill the queue of a listener.
	maxFillers = 16
	// listenTimeout limits the wait for the address, which a process that is being forked may hold.
	listenTimeout = time.Second
	listenPause   = time.Millisecond
)

// Cut interrupts the path, or restores it with CutNone. Data that a cut has held up is delivered when it ends,
// unless the caller has closed its connection.
func (p *Proxy) Cut(c Cut) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = c
	close(p.changed)
	p.changed = make(chan struct{})
	for s := range p.sessions {
		if c == CutReset {
			reset(s.caller)
			s.close()
		} else if !c.blocksRequests() {
			s.held.flush(s)
		}
	}
	if c.refuses() {
		p.unlisten()
		return nil
	}
	return p.listen()
}

// listen listens if connections are to be accepted or dropped. It must be called with p.mu held.
func (p *Proxy) listen() error {
	if p.stopped || p.cut.refuses() {
		return nil
	}
	for end := time.Now().Add(listenTimeout); p.listener == nil; time.Sleep(listenPause) {
		l, err := net.Listen("tcp", p.address)
		if err == nil {
			p.listener = l.(*net.TCPListener)
			go p.accept(p.listener)
		} else if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return err
		}
	}
	if !p.cut.blocksAnswers() {
		p.fillers.close()
		p.fillers = nil
		return setBacklog(p.listener, listenBacklog)
	}
	if p.fillers != nil {
		return nil
	}
	p.fillers = new(fillers)
	select {
	case <-p.accepted:
	default:
	}
	if err := setBacklog(p.listener, 0); err != nil {
		return err
	}
	return p.fillers.fill(p.address, p.accepted)
}

// unlisten closes the listener. It must be called with p.mu held.
func (p *Proxy) unlisten() {
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.fillers.close()
	p.fillers = nil
}

// await waits until the cut does not block, and reports whether it had to wait.
func (p *Proxy) await(blocks func(Cut) bool) bool {
	for waited := false; ; waited = true {
		p.mu.Lock()
		cut, changed := p.cut, p.changed
		p.mu.Unlock()
		if !blocks(cut) {
			return waited
		}
		<-changed
	}
}

// send sends data to the target, or holds it up during a cut.
func (p *Proxy) send(s *session, data []byte) error {
	p.mu.Lock()
	blocked := p.cut.blocksRequests()
	if blocked {
		s.held.add(data)
	}
	p.mu.Unlock()
	if blocked {
		return nil
	}
	s.held.mu.Lock() // a flush comes first
	defer s.held.mu.Unlock()
	_, err := s.target.Write(data)
	return err
}

// heldData is data that a cut holds up.
type heldData struct {
	mu   sync.Mutex
	data []byte
}

func (h *heldData) add(data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.data = append(h.data, data...)
}

// drop discards the data, since the caller has closed its connection.
func (h *heldData) drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.data = nil
}

// flush sends the data in the background.
func (h *heldData) flush(s *session) {
	h.mu.Lock()
	if len(h.data) == 0 {
		h.mu.Unlock()
		return
	}
	go func() {
		defer h.mu.Unlock()
		_, _ = s.target.Write(h.data) // a broken connection fails at the next read
		h.data = nil
	}()
}

// fillers are connections that fill the queue of a listener, so that the kernel drops further attempts.
type fillers struct{ conns []net.Conn }

// fill connects until the queue is full. One connection is accepted by a goroutine that then waits, and is
// signaled on accepted; it may wait already.
func (f *fillers) fill(address string, accepted <-chan struct{}) error {
	for i := range maxFillers {
		c, err := net.DialTimeout("tcp", address, fillTimeout)
		if os.IsTimeout(err) {
			return nil
		}
		if err != nil {
			return err
		}
		f.conns = append(f.conns, c)
		if i > 0 {
			continue
		}
		select {
		case <-accepted:
		case <-time.After(fillTimeout):
		}
	}
	return errors.New("faultproxy: the queue of the listener does not fill")
}

func (f *fillers) close() {
	if f == nil {
		return
	}
	for _, c := range f.conns {
		_ = c.Close()
	}
}

// setBacklog sets the length of the queue of established connections.
func setBacklog(l *net.TCPListener, n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}
