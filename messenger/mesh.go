// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"

	"amaranthgate.example/amaranthgate/internal/dialer"
	"amaranthgate.example/amaranthgate/logger"
)

// Headers of the handshake.
const (
	headerFrom        = "Amaranthgate-From"
	headerIncarnation = "Amaranthgate-Incarnation"
	headerProof       = "Amaranthgate-Proof"
)

// Bounds of a connection.
const (
	outboxLength = 1024
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
	idleTimeout  = time.Minute
	// giveUpTime is how long a host that nobody sends to any more is dialled: as long as a cut
	// may last after which hosts on both sides meet within one longestPause.
	giveUpTime = 10 * time.Minute
	// pingInterval and pingTimeout bound how long a connection may carry nothing to
	// the other side without anybody noticing: when a middle box or a stopped
	// process still acknowledges what is sent, the kernel sees no fault.
	pingInterval = time.Second
	pingTimeout  = time.Second
)

// Options set up a messenger.
type Options struct {
	Self    Hello
	Secret  []byte
	Receive func(from string, m *Message) // Receive is called for each message, in order for each sender.
	Up      func(host, address string)    // Up is called when a connection to a host was opened.
	Log     zerolog.Logger
	GiveUp  time.Duration // GiveUp is how long a host that cannot be reached is dialled without a message for it; default 10 min.
}

// Messenger holds the connections of one host. It is safe for concurrent use.
type Messenger struct {
	opts   Options
	http   *http.Client // http makes the handshakes.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	links map[string]*link
	last  encoded // last is the message that was sent last to one host.

	sentBytes     atomic.Uint64
	receivedBytes atomic.Uint64
	dropped       atomic.Uint64
}

// Traffic is what a messenger has carried.
type Traffic struct {
	SentBytes     uint64
	ReceivedBytes uint64
	Dropped       uint64 // Dropped counts messages that could not be sent.
	Links         int
}

// New returns a messenger without connections.
func New(opts Options) *Messenger {
	if opts.GiveUp == 0 {
		opts.GiveUp = giveUpTime
	}
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.New(dialTimeout).DialContext}}
	return &Messenger{opts: opts, http: client, ctx: ctx, cancel: cancel, links: make(map[string]*link)}
}

// Traffic returns what was carried so far.
func (m *Messenger) Traffic() Traffic {
	m.mu.Lock()
	links := len(m.links)
	m.mu.Unlock()
	return Traffic{SentBytes: m.sentBytes.Load(), ReceivedBytes: m.receivedBytes.Load(), Dropped: m.dropped.Load(), Links: links}
}

// Close ends all connections.
func (m *Messenger) Close() { m.cancel() }

func (m *Messenger) proof(from, to string) string {
	h := hmac.New(sha256.New, m.opts.Secret)
	h.Write([]byte("peer\n" + from + "\n" + to))
	return hex.EncodeToString(h.Sum(nil))
}

// Send queues a message for a host. It never blocks; when the queue is full the
// message is dropped. A message that was the last one sent is not encoded again.
func (m *Messenger) Send(host, address string, msg *Message) {
	m.mu.Lock()
	last := m.last
	m.mu.Unlock()
	if last.message != msg {
		last = encoded{message: msg, bytes: Encode(msg)}
		m.mu.Lock()
		m.last = last
		m.mu.Unlock()
	}
	m.queue(host, address, last.bytes)
}

// encoded is a message with its wire form.
type encoded struct {
	message *Message
	bytes   []byte
}

// Target is a host that a message goes to.
type Target struct {
	Host    string
	Address string
}

// SendAll queues a message for several hosts, and encodes it once.
func (m *Messenger) SendAll(targets []Target, msg *Message) {
	b := Encode(msg)
	for _, t := range targets {
		m.queue(t.Host, t.Address, b)
	}
}

func (m *Messenger) queue(host, address string, b []byte) {
	m.mu.Lock()
	l := m.links[host]
	if l == nil || l.address != address {
		if l != nil {
			l.cancel()
		}
		l = m.newLink(host, address)
	}
	m.mu.Unlock()
	select {
	case l.outbox <- b:
	default:
		m.dropped.Add(1)
	}
}

// link is the sending side towards one host.
type link struct {
	messenger *Messenger
	host      string
	address   string
	outbox    chan []byte
	ctx       context.Context
	cancel    context.CancelFunc
}

// newLink starts a link; m.mu is held.
func (m *Messenger) newLink(host, address string) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{messenger: m, host: host, address: address, outbox: make(chan []byte, outboxLength), ctx: ctx, cancel: cancel}
	m.links[host] = l
	go l.run()
	return l
}

// run keeps a connection open as long as there is something to send. A host that cannot be
// reached is dialled on for a while, so that both know each other soon after a cut; not for
// good, since machines are replaced by others of new names.
func (l *link) run() {
	defer l.remove()
	pause, wanted := firstPause, time.Now()
	for l.ctx.Err() == nil {
		conn, err := l.dial()
		if err != nil {
			if l.drain() > 0 {
				wanted = time.Now()
			}
			if time.Since(wanted) > l.messenger.opts.GiveUp || !sleep(l.ctx, pause) {
				return
			}
			pause = min(2*pause, longestPause)
			continue
		}
		pause, wanted = firstPause, time.Now()
		l.messenger.opts.Up(l.host, l.address)
		idle := l.write(conn)
		_ = conn.CloseNow()
		if idle {
			return
		}
	}
}

func (l *link) remove() {
	l.messenger.mu.Lock()
	defer l.messenger.mu.Unlock()
	if l.messenger.links[l.host] == l {
		delete(l.messenger.links, l.host)
	}
}

// drain drops what waits: it would be stale by the time a connection stands. It returns how
// many messages that were.
func (l *link) drain() (dropped int) {
	for {
		select {
		case <-l.outbox:
			l.messenger.dropped.Add(1)
			dropped++
		default:
			return dropped
		}
	}
}

func (l *link) dial() (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	self := l.messenger.opts.Self
	header := http.Header{}
	header.Set(headerFrom, self.Host)
	header.Set(headerIncarnation, strconv.FormatUint(self.Incarnation, 10))
	header.Set(headerProof, l.messenger.proof(self.Host, l.host))
	conn, _, err := websocket.Dial(ctx, "ws://"+l.address+"/peer", &websocket.DialOptions{HTTPClient: l.messenger.http, HTTPHeader: header})
	return conn, err
}

// write sends until the connection breaks or nothing was sent for long; it
// reports whether the link was idle.
func (l *link) write(conn *websocket.Conn) (idle bool) {
	closed := conn.CloseRead(l.ctx) // answers pings and sees the close
	go l.watch(closed, conn)
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for {
		select {
		case b := <-l.outbox:
			if !l.send(conn, b) {
				return false
			}
			timer.Reset(idleTimeout)
		case <-timer.C:
			return true
		case <-closed.Done():
			return false
		}
	}
}

// watch closes a connection on which the other side no longer answers.
func (l *link) watch(closed context.Context, conn *websocket.Conn) {
	for sleep(closed, pingInterval) {
		ctx, cancel := context.WithTimeout(closed, pingTimeout)
		err := conn.Ping(ctx)
		cancel()
		if err != nil {
			_ = conn.CloseNow()
			return
		}
	}
}

func (l *link) send(conn *websocket.Conn, b []byte) bool {
	ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, b); err != nil {
		l.messenger.dropped.Add(1)
		return false
	}
	l.messenger.sentBytes.Add(uint64(len(b)))
	return true
}

// Handler accepts connections of other hosts.
func (m *Messenger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", m.accept)
	return mux
}

func (m *Messenger) accept(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(headerFrom)
	proof := r.Header.Get(headerProof)
	if from == "" || !hmac.Equal([]byte(proof), []byte(m.proof(from, m.opts.Self.Host))) {
		http.Error(w, "not a peer of this deployment", http.StatusForbidden)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMessageBytes)
	m.read(from, conn)
}

func (m *Messenger) read(from string, conn *websocket.Conn) {
	for {
		_, b, err := conn.Read(m.ctx)
		if err != nil {
			return
		}
		m.receivedBytes.Add(uint64(len(b)))
		msg, err := Decode(b)
		if err != nil {
			m.opts.Log.Warn().Str("Peer", from).Err(err).Msg(logger.MessageRefused)
			return
		}
		m.opts.Receive(from, msg)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
