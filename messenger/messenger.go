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
	"amaranthgate.example/amaranthgate/internal/verifier"
	"amaranthgate.example/amaranthgate/logger"
)

// HTTP headers of the handshake.
const (
	headerFrom        = "Amaranthgate-From"
	headerIncarnation = "Amaranthgate-Incarnation"
	headerMAC         = "Amaranthgate-Proof"
)

// Limits of a connection.
const (
	queueLength = 1024
	dialTimeout = time.Second
	// connectTimeout bounds the part of dialTimeout for which the peer's system must answer. It is the same on a busy host.
	connectTimeout        = 400 * time.Millisecond
	writeTimeout          = 2 * time.Second
	defaultInitialBackoff = 50 * time.Millisecond // defaultInitialBackoff is the default of Options.InitialBackoff.
	defaultMaxBackoff     = time.Second           // defaultMaxBackoff is the default of Options.MaxBackoff.
	idleTimeout           = time.Minute
	// defaultGiveUp is the default of Options.GiveUp. Hosts reconnect within Options.MaxBackoff after a
	// network partition of up to this length.
	defaultGiveUp = 10 * time.Minute
	// pingInterval and pingTimeout bound the time to detect a half-open connection, on which a
	// middlebox or a stopped process still acknowledges TCP segments.
	pingInterval = time.Second
	pingTimeout  = time.Second
	// maxHeaderBytes bounds the header of the answer to a handshake.
	maxHeaderBytes = 16 << 10
)

// Options configures a Messenger.
type Options struct {
	Self           Hello
	Secret         []byte
	Receive        func(from string, m *Message) // Receive is called for each message, in order per connection.
	OnConnect      func(host, address string)    // OnConnect is called after a connection to a host was opened.
	Log            zerolog.Logger
	GiveUp         time.Duration // GiveUp is how long an unreachable host without new messages is dialled; default 10 min.
	InitialBackoff time.Duration // InitialBackoff is the time after the first failed attempt to dial a host; default 50 ms.
	// MaxBackoff is the longest time between two attempts to dial a host that has not connected meanwhile; default 1 s.
	MaxBackoff time.Duration
}

// Messenger manages one host's connections to the others. It is safe for concurrent use.
type Messenger struct {
	opts   Options
	http   *http.Client // http is used for handshakes.
	ctx    context.Context
	cancel context.CancelFunc

	mu          sync.Mutex
	links       map[string]*link
	lastEncoded encoded // lastEncoded is the last message passed to Send.

	sentBytes     atomic.Uint64
	receivedBytes atomic.Uint64
	dropped       atomic.Uint64
	pending       atomic.Int64 // pending is the number of queued messages that have been neither sent nor dropped.
}

// Traffic holds the counters of a Messenger.
type Traffic struct {
	SentBytes     uint64
	ReceivedBytes uint64
	Dropped       uint64 // Dropped is the number of messages that could not be sent.
	Links         int
}

// New returns a Messenger without connections.
func New(opts Options) *Messenger {
	if opts.GiveUp == 0 {
		opts.GiveUp = defaultGiveUp
	}
	if opts.InitialBackoff == 0 {
		opts.InitialBackoff = defaultInitialBackoff
	}
	if opts.MaxBackoff == 0 {
		opts.MaxBackoff = defaultMaxBackoff
	}
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Transport: verifier.Transport{RoundTripper: &http.Transport{
		DialContext: dialer.New(dialer.Options{Timeout: connectTimeout}).DialContext, MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
	return &Messenger{opts: opts, http: client, ctx: ctx, cancel: cancel, links: make(map[string]*link)}
}

// Traffic returns the current counters.
func (m *Messenger) Traffic() Traffic {
	m.mu.Lock()
	links := len(m.links)
	m.mu.Unlock()
	return Traffic{SentBytes: m.sentBytes.Load(), ReceivedBytes: m.receivedBytes.Load(), Dropped: m.dropped.Load(), Links: links}
}

// Close closes all connections.
func (m *Messenger) Close() { m.cancel() }

// flushInterval is the time between two looks at the queues in Flush.
const flushInterval = time.Millisecond

// Flush waits until all messages that have been queued were sent or dropped, or ctx is done.
func (m *Messenger) Flush(ctx context.Context) {
	for m.pending.Load() > 0 && sleep(ctx, flushInterval) {
	}
}

func (m *Messenger) handshakeMAC(from, to string) string {
	h := hmac.New(sha256.New, m.opts.Secret)
	h.Write([]byte("peer\n" + from + "\n" + to))
	return hex.EncodeToString(h.Sum(nil))
}

// Send queues a message for a host. It never blocks; when the queue is full the message is dropped.
// Passing the same message in consecutive calls encodes it once only; it must not be changed between.
func (m *Messenger) Send(host, address string, msg *Message) {
	m.mu.Lock()
	enc := m.lastEncoded
	m.mu.Unlock()
	if enc.message != msg {
		enc = encoded{message: msg, bytes: Encode(msg)}
		m.mu.Lock()
		m.lastEncoded = enc
		m.mu.Unlock()
	}
	m.enqueue(host, address, enc.bytes)
}

// encoded is a message with its encoding.
type encoded struct {
	message *Message
	bytes   []byte
}

// Target is a recipient of a message.
type Target struct {
	Host    string
	Address string
}

// SendAll queues a message for several hosts and encodes it once.
func (m *Messenger) SendAll(targets []Target, msg *Message) {
	b := Encode(msg)
	for _, t := range targets {
		m.enqueue(t.Host, t.Address, b)
	}
}

func (m *Messenger) enqueue(host, address string, b []byte) {
	m.mu.Lock()
	l := m.links[host]
	if l == nil || l.address != address {
		if l != nil {
			l.cancel()
		}
		l = m.newLink(host, address)
	}
	m.mu.Unlock()
	m.pending.Add(1)
	select {
	case l.queue <- b:
	default:
		m.pending.Add(-1)
		m.dropped.Add(1)
	}
}

// link is the outgoing connection to one host, with its queue.
type link struct {
	messenger *Messenger
	host      string
	address   string
	queue     chan []byte
	reachable chan struct{} // reachable signals that the host has connected to this one.
	ctx       context.Context
	cancel    context.CancelFunc
}

// newLink registers and starts a link. m.mu must be held.
func (m *Messenger) newLink(host, address string) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	l := &link{messenger: m, host: host, address: address, queue: make(chan []byte, queueLength), reachable: make(chan struct{}, 1), ctx: ctx, cancel: cancel}
	m.links[host] = l
	go l.run()
	return l
}

// run keeps a connection open while there are messages to send. It retries an unreachable host until
// GiveUp, so that hosts reconnect soon after a network partition, but not forever, since hosts may be
// replaced by others with new names.
func (l *link) run() {
	defer l.unregister()
	backoff, lastNeeded := l.messenger.opts.InitialBackoff, time.Now()
	for l.ctx.Err() == nil {
		conn, err := l.dial()
		if err != nil {
			if l.discardQueued() > 0 {
				lastNeeded = time.Now()
			}
			if time.Since(lastNeeded) > l.messenger.opts.GiveUp {
				return
			}
			backoff = l.wait(backoff)
			continue
		}
		backoff, lastNeeded = l.messenger.opts.InitialBackoff, time.Now()
		l.messenger.opts.OnConnect(l.host, l.address)
		idle := l.writeLoop(conn)
		_ = conn.CloseNow()
		if idle {
			return
		}
	}
}

// wait waits for a backoff, or until the host has connected to this one. It returns the next backoff.
func (l *link) wait(backoff time.Duration) time.Duration {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return min(2*backoff, l.messenger.opts.MaxBackoff)
	case <-l.reachable:
		return l.messenger.opts.InitialBackoff
	case <-l.ctx.Done():
		return backoff
	}
}

// connected ends the backoff before the next attempt to dial a host that has connected to this one.
func (m *Messenger) connected(host string) {
	m.mu.Lock()
	l := m.links[host]
	m.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.reachable <- struct{}{}:
	default:
	}
}

func (l *link) unregister() {
	l.messenger.mu.Lock()
	defer l.messenger.mu.Unlock()
	if l.messenger.links[l.host] == l {
		delete(l.messenger.links, l.host)
	}
}

// discardQueued drops the queued messages, which would be stale by the time of a connection, and
// returns their number.
func (l *link) discardQueued() (dropped int) {
	for {
		select {
		case <-l.queue:
			l.messenger.pending.Add(-1)
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
	header.Set(headerMAC, l.messenger.handshakeMAC(self.Host, l.host))
	conn, _, err := websocket.Dial(ctx, "ws://"+l.address+"/peer", &websocket.DialOptions{HTTPClient: l.messenger.http, HTTPHeader: header})
	return conn, err
}

// writeLoop sends queued messages until the connection breaks or was idle for idleTimeout, and reports
// whether it was idle.
func (l *link) writeLoop(conn *websocket.Conn) (idle bool) {
	closed := conn.CloseRead(l.ctx) // handles control frames
	go l.pingLoop(closed, conn)
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for {
		select {
		case b := <-l.queue:
			sent := l.send(conn, b)
			l.messenger.pending.Add(-1)
			if !sent {
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

// pingLoop closes a connection on which pings are not answered.
func (l *link) pingLoop(closed context.Context, conn *websocket.Conn) {
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

// Handler returns the handler that accepts connections from other hosts.
func (m *Messenger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", m.accept)
	return mux
}

func (m *Messenger) accept(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(headerFrom)
	mac := r.Header.Get(headerMAC)
	if from == "" || !hmac.Equal([]byte(mac), []byte(m.handshakeMAC(from, m.opts.Self.Host))) {
		http.Error(w, "not a peer of this deployment", http.StatusForbidden)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMessageBytes)
	m.connected(from)
	m.readLoop(from, conn)
}

func (m *Messenger) readLoop(from string, conn *websocket.Conn) {
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
