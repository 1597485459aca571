// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package loader parses and validates the settings of one process. Settings are
// JSON with comments; all faults are reported together, each with its line.
//
// # Usage
//
//	s, faults := loader.Parse(text)
//	for _, f := range faults {
//		fmt.Println(f) // "line 7: /Peers/Listen: ..."
//	}
package loader

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// minSecretBytes is the minimum length of PeerSecret and BlockSecret.
const minSecretBytes = 16

const (
	minMemoryMB    = 16 // minMemoryMB is in units of 10^6 bytes; less is taken for another unit.
	minDescriptors = 64
)

// Settings are the local settings of one process.
type Settings struct {
	Host             string
	AvailabilityZone string
	Callers          Endpoint  // Callers is the listener for callers.
	Peers            Endpoint  // Peers is the listener for other hosts.
	Operators        Endpoint  // Operators is the listener for the console and the state dump.
	PeerSecret       string    // PeerSecret authenticates the hosts of the deployment to each other.
	BlockSecret      string    // BlockSecret keys the hashes that name blocks of kept context.
	OperatorDigests  []string  `json:",omitempty"` // OperatorDigests are SHA-256 digests of operators' tokens.
	Platform         *Platform `json:",omitempty"` // Platform, if set, replaces Log and HostList.
	Log              string    // Log is the URL of the platform's append-only log.
	HostList         string    // HostList is the URL of the platform's host list.
	Limits           Limits
	Timing           Timing
	LogLevel         string
}

// Platform configures the use of the users' platform.
type Platform struct {
	Store      string            // Store is the IP:port of the platform's store.
	Source     string            `json:",omitempty"` // Source is the IP address of connections to upstreams; empty means that the system selects one.
	LinkMbps   float64           // LinkMbps is the bandwidth of this host's link; the fastest hosts relay for others.
	Cores      float64           // Cores is the number of CPU cores available, possibly a fraction; 0 if unknown.
	FirstStart bool              // FirstStart makes hosts discover each other before they make other store calls.
	Regions    map[string]string // Regions maps availability zones to regions.
	Ready      Endpoint          // Ready is the listener for the platform's readiness checks.
	Directory  Endpoint          // Directory is the listener for address queries of callers.
	RetryShare float64           // RetryShare is the fraction of a service's requests that all hosts together may retry.
	RetrySlack float64           // RetrySlack is the number of further retries allowed per window of the platform.
	Lease      duration.Duration // Lease is the minimum time between orders of two hosts to one upstream.
	// WeightsWithin is the time after which no request may start on replaced weights.
	WeightsWithin duration.Duration
	ColdOverage   float64 // ColdOverage multiplies the rate limit of a cold upstream, which all hosts share.
	ColdSlack     float64 // ColdSlack is added to the multiplied limit.
	LoadsAtOnce   int     // LoadsAtOnce is the minimum number of engines that may load weights concurrently.
	LoadsShare    float64 // LoadsShare is the fraction of all engines that may do so, if that is more.
	// Disabled lists mechanisms for hard load to switch off.
	Disabled []Mechanism `json:",omitempty"`
}

// Endpoint is a listening address with the address advertised to others.
type Endpoint struct {
	Listen    string // Listen is IP:port; port 0 selects a free port.
	Advertise string // Advertise is IP:port; empty means the bound address.
}

// Limits bound the resources that callers can use.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
	OpenStreams int
	ReadTimeout duration.Duration
	// MemoryMB is the memory that the process may use, in units of 10^6 bytes; 0 for that of the machine.
	MemoryMB int `json:",omitempty"`
	// Descriptors is the number of descriptors that the process may open; 0 for the limit of the process.
	Descriptors int `json:",omitempty"`
}

// Timing holds the intervals and timeouts of the control plane.
type Timing struct {
	Heartbeat     duration.Duration // Heartbeat is the interval between messages to a peer.
	Suspect       duration.Duration // Suspect is the silence after which a host gets no new work.
	Lease         duration.Duration // Lease is the term of a lease without renewal.
	LeaseMargin   duration.Duration // LeaseMargin is subtracted from the term by the holder.
	GroupCommit   duration.Duration // GroupCommit is the minimum time between appends to one stream.
	AddressTTL    duration.Duration // AddressTTL is how long callers may cache an address.
	LoadPoll      duration.Duration // LoadPoll is the interval between load reports.
	DrainTimeout  duration.Duration // DrainTimeout bounds a graceful shutdown.
	LogRetention  duration.Duration // LogRetention is how long the platform keeps log records.
	LogTimeout    duration.Duration // LogTimeout bounds one call to the log.
	FirstToken    duration.Duration // FirstToken is the timeout for response headers.
	TokenInterval duration.Duration // TokenInterval is the timeout between two parts of a streamed response.
}

// Default returns the default settings, without names, secrets and URLs.
func Default() Settings {
	d := func(v time.Duration) duration.Duration { return duration.Duration(v) }
	loopback := Endpoint{Listen: "127.0.0.1:0"}
	return Settings{
		Callers:   loopback,
		Peers:     loopback,
		Operators: loopback,
		Limits: Limits{
			BodyBytes:   8 << 20,
			HeaderBytes: 32 << 10,
			OpenStreams: 20000,
			ReadTimeout: d(10 * time.Second),
		},
		Timing: Timing{
			Heartbeat:     d(500 * time.Millisecond),
			Suspect:       d(2 * time.Second),
			Lease:         d(3 * time.Second),
			LeaseMargin:   d(500 * time.Millisecond),
			GroupCommit:   d(10 * time.Millisecond),
			AddressTTL:    d(5 * time.Second),
			LoadPoll:      d(500 * time.Millisecond),
			DrainTimeout:  d(10 * time.Minute),
			LogRetention:  d(24 * time.Hour),
			LogTimeout:    d(2 * time.Second),
			FirstToken:    d(60 * time.Second),
			TokenInterval: d(30 * time.Second),
		},
		LogLevel: "info",
	}
}

// Parse parses settings over the defaults and returns all faults.
func Parse(text []byte) (Settings, []strictjson.Fault) {
	s := Default()
	src, faults := strictjson.Decode(text, &s)
	if len(faults) > 0 {
		return s, faults
	}
	faults = s.Validate()
	for i := range faults {
		faults[i].Line = src.Line(faults[i].Pointer)
	}
	return s, faults
}

type validator struct {
	faults []strictjson.Fault
}

func (v *validator) check(ok bool, pointer, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, strictjson.Fault{Pointer: pointer, Message: fmt.Sprintf(format, args...)})
	}
}

// Validate returns all faults in the values of s.
func (s *Settings) Validate() []strictjson.Fault {
	v := &validator{}
	v.check(s.Host != "", "/Host", "want the name of this host")
	v.check(s.AvailabilityZone != "", "/AvailabilityZone", "want the availability zone of this host")
	v.endpoint("/Callers", s.Callers)
	v.endpoint("/Peers", s.Peers)
	v.endpoint("/Operators", s.Operators)
	v.distinctListeners(s)
	v.check(len(s.PeerSecret) >= minSecretBytes, "/PeerSecret", "want at least %d bytes", minSecretBytes)
	v.check(len(s.BlockSecret) >= minSecretBytes, "/BlockSecret", "want at least %d bytes", minSecretBytes)
	v.check(s.BlockSecret == "" || s.BlockSecret != s.PeerSecret, "/BlockSecret", "must differ from PeerSecret")
	if s.Platform == nil {
		v.url("/Log", s.Log)
		v.url("/HostList", s.HostList)
	} else {
		v.platform(s.Platform)
	}
	v.check(s.Limits.BodyBytes > 0, "/Limits/BodyBytes", "want more than 0")
	v.check(s.Limits.HeaderBytes >= 1024, "/Limits/HeaderBytes", "want at least 1024")
	v.check(s.Limits.OpenStreams > 0, "/Limits/OpenStreams", "want more than 0")
	v.check(s.Limits.ReadTimeout > 0, "/Limits/ReadTimeout", "want more than 0")
	v.check(s.Limits.MemoryMB == 0 || s.Limits.MemoryMB >= minMemoryMB, "/Limits/MemoryMB", "want 0 or at least %d", minMemoryMB)
	v.check(s.Limits.Descriptors == 0 || s.Limits.Descriptors >= minDescriptors, "/Limits/Descriptors", "want 0 or at least %d", minDescriptors)
	v.timing(s.Timing)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		v.check(false, "/LogLevel", "%q is not debug, info, warn or error", s.LogLevel)
	}
	return v.faults
}

func (v *validator) timing(t Timing) {
	v.check(t.Heartbeat > 0, "/Timing/Heartbeat", "want more than 0")
	v.check(t.Suspect >= 2*t.Heartbeat, "/Timing/Suspect", "want at least twice Heartbeat")
	v.check(t.Lease >= 4*t.LeaseMargin, "/Timing/Lease", "want at least four times LeaseMargin")
	v.check(t.LeaseMargin > 0, "/Timing/LeaseMargin", "want more than 0")
	v.check(t.GroupCommit >= 0, "/Timing/GroupCommit", "want at least 0")
	v.check(t.AddressTTL > 0, "/Timing/AddressTTL", "want more than 0")
	v.check(t.LoadPoll > 0, "/Timing/LoadPoll", "want more than 0")
	v.check(t.DrainTimeout > t.AddressTTL, "/Timing/DrainTimeout", "want more than AddressTTL")
	v.check(t.LogRetention > 0, "/Timing/LogRetention", "want more than 0")
	v.check(t.LogTimeout > 0, "/Timing/LogTimeout", "want more than 0")
	v.check(t.FirstToken > 0, "/Timing/FirstToken", "want more than 0")
	v.check(t.TokenInterval > 0, "/Timing/TokenInterval", "want more than 0")
}

func (v *validator) endpoint(p string, e Endpoint) {
	_, err := netip.ParseAddrPort(e.Listen)
	v.check(err == nil, p+"/Listen", "%q is not IP:port", e.Listen)
	if e.Advertise != "" {
		_, err = netip.ParseAddrPort(e.Advertise)
		v.check(err == nil, p+"/Advertise", "%q is not IP:port", e.Advertise)
	}
}

func (v *validator) platform(p *Platform) {
	_, err := netip.ParseAddrPort(p.Store)
	v.check(err == nil, "/Platform/Store", "%q is not IP:port", p.Store)
	if p.Source != "" {
		_, err = netip.ParseAddr(p.Source)
		v.check(err == nil, "/Platform/Source", "%q is not an IP address", p.Source)
	}
	v.endpoint("/Platform/Ready", p.Ready)
	v.endpoint("/Platform/Directory", p.Directory)
	v.check(p.RetryShare >= 0 && p.RetryShare <= 1, "/Platform/RetryShare", "want 0 to 1")
	v.check(p.RetrySlack >= 0, "/Platform/RetrySlack", "want at least 0")
	v.check(p.ColdOverage >= 0, "/Platform/ColdOverage", "must not be negative")
	v.check(p.ColdSlack >= 0, "/Platform/ColdSlack", "must not be negative")
	v.check(p.WeightsWithin >= 0, "/Platform/WeightsWithin", "must not be negative")
	v.check(p.LoadsShare >= 0 && p.LoadsShare <= 1, "/Platform/LoadsShare", "want 0 to 1")
	v.check(p.LoadsAtOnce > 0, "/Platform/LoadsAtOnce", "want more than 0")
	v.check(p.Lease > 0, "/Platform/Lease", "want more than 0")
	v.mechanisms(p.Disabled)
}

// distinctListeners checks that no two listeners have the same address and port.
func (v *validator) distinctListeners(s *Settings) {
	type listener struct{ pointer, listen string }
	all := []listener{{"/Callers/Listen", s.Callers.Listen}, {"/Peers/Listen", s.Peers.Listen}, {"/Operators/Listen", s.Operators.Listen}}
	if p := s.Platform; p != nil {
		all = append(all, listener{"/Platform/Ready/Listen", p.Ready.Listen}, listener{"/Platform/Directory/Listen", p.Directory.Listen})
	}
	seen := make(map[netip.AddrPort]string)
	for _, e := range all {
		a, err := netip.ParseAddrPort(e.listen)
		if err != nil || a.Port() == 0 {
			continue
		}
		v.check(seen[a] == "", e.pointer, "%s is already used by %s", e.listen, seen[a])
		seen[a] = e.pointer
	}
}

func (v *validator) url(p, text string) {
	u, err := url.Parse(text)
	v.check(err == nil && u.Scheme == "http" && u.Host != "", p, "%q is not an http URL", text)
}

// redacted replaces non-empty secrets in dumps.
const redacted = "(set)"

// Redacted returns a copy of s without secrets.
func (s Settings) Redacted() Settings {
	if s.PeerSecret != "" {
		s.PeerSecret = redacted
	}
	if s.BlockSecret != "" {
		s.BlockSecret = redacted
	}
	s.OperatorDigests = nil
	return s
}
