// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package faultproxy

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silence is how long a blocked connection must stay silent.
const silence = 200 * time.Millisecond

// echoProxy returns a proxy to a server that sends back each line, and the channel of lines that it got.
func echoProxy(t *testing.T) (p *Proxy, lines <-chan string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	got := make(chan string, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					got <- line
					_, _ = c.Write([]byte(line))
				}
			}()
		}
	}()
	p, err = New(l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p, got
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func dial(t *testing.T, p *Proxy) net.Conn {
	c, err := net.Dial("tcp4", p.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func write(t *testing.T, c net.Conn, line string) {
	_, err := c.Write([]byte(line))
	assert.NilError(t, err)
}

func read(t *testing.T, c net.Conn, want string) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	line := make([]byte, len(want))
	_, err := c.Read(line)
	assert.NilError(t, err)
	assert.Equal(t, string(line), want)
}

func TestCuts(t *testing.T) {
	for _, c := range []struct {
		cut            Cut
		holdsRequests  bool
		holdsAnswers   bool
		dropsAttempts  bool
		endsConnection bool
	}{
		{cut: CutNone},
		{cut: CutHang, holdsRequests: true, holdsAnswers: true, dropsAttempts: true},
		{cut: CutAnswers, holdsAnswers: true, dropsAttempts: true},
		{cut: CutReset, endsConnection: true},
		{cut: CutNew},
	} {
		t.Run(string(c.cut), func(t *testing.T) {
			p, lines := echoProxy(t)
			conn := dial(t, p)
			write(t, conn, "a\n")
			read(t, conn, "a\n")
			<-lines
			assert.NilError(t, p.Cut(c.cut))
			_, err := net.DialTimeout("tcp4", p.Address(), silence)
			assert.Equal(t, c.dropsAttempts, os.IsTimeout(err), "%v", err)
			assert.Equal(t, c.cut.refuses(), isRefused(err), "%v", err)
			if c.endsConnection {
				_, err := conn.Read(make([]byte, 1))
				assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
			} else {
				write(t, conn, "b\n")
				if !c.holdsRequests {
					assert.Equal(t, <-lines, "b\n")
				}
				if c.holdsAnswers {
					assert.NilError(t, conn.SetReadDeadline(time.Now().Add(silence)))
					_, err := conn.Read(make([]byte, 1))
					assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
				} else {
					read(t, conn, "b\n")
				}
				assert.Equal(t, len(lines), 0)
			}
			assert.NilError(t, p.Cut(CutNone))
			if c.holdsAnswers {
				read(t, conn, "b\n")
			}
			conn = dial(t, p)
			write(t, conn, "c\n")
			read(t, conn, "c\n")
		})
	}
}

// TestCutDropsDataOfClosedConnections checks that a request arrives nowhere whose caller has given up during the cut.
func TestCutDropsDataOfClosedConnections(t *testing.T) {
	p, lines := echoProxy(t)
	conn := dial(t, p)
	write(t, conn, "a\n")
	read(t, conn, "a\n")
	<-lines
	assert.NilError(t, p.Cut(CutHang))
	write(t, conn, "b\n")
	time.Sleep(silence)
	assert.NilError(t, conn.Close())
	time.Sleep(silence)
	assert.NilError(t, p.Cut(CutNone))
	other := dial(t, p)
	write(t, other, "c\n")
	read(t, other, "c\n")
	assert.Equal(t, <-lines, "c\n")
}

// TestGroup checks that a connection has the cuts of the proxy of its source, whichever proxy it was made to.
func TestGroup(t *testing.T) {
	target, _ := echoProxy(t)
	sources := []net.IP{net.IPv4(127, 0, 1, 1), net.IPv4(127, 0, 1, 2)}
	var proxies []*Proxy
	for _, source := range sources {
		p, err := NewFrom(target.Address(), source)
		assert.NilError(t, err)
		t.Cleanup(p.Close)
		proxies = append(proxies, p)
	}
	Group(proxies...)
	assert.NilError(t, proxies[1].Cut(CutReset))
	for i, source := range sources {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: source}}
		conn, err := d.Dial("tcp4", proxies[0].Address())
		if i == 1 && errors.Is(err, syscall.ECONNRESET) {
			continue // the reset has arrived before the connection was seen to be established
		}
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		if i == 0 {
			write(t, conn, "a\n")
			read(t, conn, "a\n")
			continue
		}
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	}
}

// TestStartDuringCut checks that a proxy that is started during a cut obeys it.
func TestStartDuringCut(t *testing.T) {
	p, _ := echoProxy(t)
	for _, c := range []struct {
		cut  Cut
		want func(err error) bool
	}{{CutHang, os.IsTimeout}, {CutNew, isRefused}} {
		p.Stop()
		assert.NilError(t, p.Cut(c.cut))
		assert.NilError(t, p.Start())
		_, err := net.DialTimeout("tcp4", p.Address(), silence)
		assert.Assert(t, c.want(err), "%v", err)
	}
	assert.NilError(t, p.Cut(CutNone))
	conn := dial(t, p)
	write(t, conn, "a\n")
	read(t, conn, "a\n")
}
