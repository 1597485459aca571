// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/renewer"
	"amaranthgate.example/amaranthgate/tracker"
)

// Event is something that happened to a host.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// FeedRead is the end of a Read.
type FeedRead struct {
	News  follower.News
	Asked time.Time     // Asked is when the question was sent.
	Wait  time.Duration // Wait is how long the store could wait for a record.
	Err   error
}

// PeerMessage is a message of another host.
type PeerMessage struct {
	From    string
	Message *messenger.Message
}

// PeerUp says that a connection to another host was opened.
type PeerUp struct {
	Host    string
	Address string // Address is that for other hosts.
}

// HostsFound is the end of a Find: a page of announcements of hosts that may be there.
type HostsFound struct {
	Hosts []tracker.HostRecord
	Next  string // Next is where the next page begins; empty if none follows.
	Err   error
}

// Announced is the end of an Announce.
type Announced struct{ Err error }

// HostsSought is what hosts have announced, some of them long ago.
type HostsSought struct {
	Hosts []tracker.HostRecord
	Whole bool  // Whole tells that all announcements were read.
	End   int64 // End is the offset after the newest announcement when the first was read.
}

// WorkReported is what this host has under way, for the others.
type WorkReported struct {
	Report placer.Report
	Urgent bool    // Urgent tells that it was made out of turn, for a long prompt.
	Use    float64 // Use is how many processor cores this host uses.
}

// RenewalEnd is the end of a renewer's command.
type RenewalEnd struct {
	Command  renewer.Command
	Lease    renewer.Lease       // Lease is the answer to ReadLease.
	Conflict bool                // Conflict says that WriteLease found another record.
	Result   renewer.OrderResult // Result is the answer to Order.
	Busy     bool                // Busy and Version are the answer to Ask.
	Version  uint64
	Err      error
}

// StoreHeard is news of a store of kept context that this host has asked.
type StoreHeard struct{ Report placer.StoreReport }

// StoreGap says that a host has told changes of a store after others that this
// host lacks.
type StoreGap struct{ From string }

// NamingsRecalled is what hosts of before have noted of weight versions.
type NamingsRecalled struct{ Namings []follower.Naming }

// EndsFound says that the quarantine has news for the other hosts.
type EndsFound struct{}

// EndsRecalled is what hosts of before have noted of requests that end upstreams.
type EndsRecalled struct{ Words []quarantiner.Word }

// DrainBegun says that this host is to end.
type DrainBegun struct{}

func (Tick) event()            {}
func (FeedRead) event()        {}
func (PeerMessage) event()     {}
func (PeerUp) event()          {}
func (HostsFound) event()      {}
func (Announced) event()       {}
func (HostsSought) event()     {}
func (WorkReported) event()    {}
func (RenewalEnd) event()      {}
func (StoreHeard) event()      {}
func (StoreGap) event()        {}
func (NamingsRecalled) event() {}
func (EndsFound) event()       {}
func (EndsRecalled) event()    {}
func (DrainBegun) event()      {}

// Action is something that a host is to do.
type Action interface{ action() }

// Send sends a message to another host.
type Send struct {
	To      string
	Address string
	Message *messenger.Message
}

// Spread sends a message to several hosts.
type Spread struct {
	To      []messenger.Target
	Message *messenger.Message
}

// TakeStore hands another host's news of a store to placement.
type TakeStore struct {
	From   string
	Report placer.StoreReport
}

// Read asks the store for a page of a feed: the newest of each key if Full.
type Read struct {
	Feed follower.Feed
	Full bool
	From int64
	Wait time.Duration // Wait is how long the store may wait for a record.
}

// Find asks the store for the page of announcements that begins behind a name.
type Find struct{ After string }

// Seek asks the store for all announcements of hosts.
type Seek struct{}

// Announce writes this host's announcement.
type Announce struct{}

// Retract drops announcements of hosts that are gone for good.
type Retract struct {
	Hosts []tracker.HostRecord
	End   int64 // End is the offset after the newest announcement; later ones forbid it.
}

// PublishView gives traffic a new view.
type PublishView struct{ View *follower.View }

// PublishHosts gives the directory a new list.
type PublishHosts struct {
	Hosts   []tracker.HostRecord
	Unheard map[string]bool // Unheard are those that may not be there: only their announcements are known.
	Serving activator.Selection
}

// TakeReport hands a report to placement, of another host or summed up.
type TakeReport struct {
	From   string
	Report placer.Report
}

// Renew carries out a command of the renewer.
type Renew struct{ Command renewer.Command }

// Current says up to when the operators' feed is known.
type Current struct{ At time.Time }

// PublishCell says which cell of its zone this host is in, how many there are, and
// whether it hears of the work of all hosts directly.
type PublishCell struct {
	Own, Cells int
	Direct     bool
}

// PublishPhases names engines that load weights or will soon.
type PublishPhases struct{ Engines map[string]renewer.Phase }

// Note asks for a log line about a belief.
type Note struct {
	What   NoteKind
	Feed   follower.Feed
	Host   string
	Key    string
	Offset int64
	Age    time.Duration
	Err    error
}

// NoteKind says what a Note is about.
type NoteKind string

const (
	NoteStoreLost      NoteKind = logger.StoreLost
	NoteStoreBack      NoteKind = logger.StoreBack
	NoteUnreadable     NoteKind = logger.RecordUnreadable
	NoteRecord         NoteKind = logger.RecordApplied
	NoteEvacuated      NoteKind = logger.ZoneEvacuated
	NoteTakenBack      NoteKind = logger.ZoneTakenBack
	NoteHostChanged    NoteKind = logger.HostChanged
	NoteLapsesCounted  NoteKind = logger.LapsedEntriesRemoved
	NoteVersionDoubted NoteKind = logger.VersionDoubted
	NoteListingApplied NoteKind = logger.ListingApplied
)

func (Send) action()          {}
func (Spread) action()        {}
func (TakeStore) action()     {}
func (Read) action()          {}
func (Find) action()          {}
func (Seek) action()          {}
func (Announce) action()      {}
func (Retract) action()       {}
func (PublishView) action()   {}
func (PublishHosts) action()  {}
func (TakeReport) action()    {}
func (Renew) action()         {}
func (Current) action()       {}
func (PublishPhases) action() {}
func (PublishCell) action()   {}
func (Note) action()          {}
