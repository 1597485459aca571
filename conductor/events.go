// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/throttler"
	"amaranthgate.example/amaranthgate/tracker"
	"amaranthgate.example/amaranthgate/updater"
)

// Event is an input of a Node.
type Event interface{ event() }

// Tick is the periodic timer event.
type Tick struct {
	Era uint64 // Era is the newest era that the store has stated to this host.
}

// FeedRead is the result of a Read.
type FeedRead struct {
	Page        follower.FeedPage
	RequestedAt time.Time     // RequestedAt is when the request was sent.
	Wait        time.Duration // Wait is how long the store could wait for a record.
	Err         error
}

// PeerMessage is a message from another host.
type PeerMessage struct {
	From    string
	Message *messenger.Message
}

// PeerConnected reports that a connection to another host was opened.
type PeerConnected struct {
	Host    string
	Address string // Address is where other hosts connect to it.
}

// AnnouncementsRead is the result of ReadAnnouncements: a page of announcements of hosts, which may have ended.
type AnnouncementsRead struct {
	Hosts []tracker.HostRecord
	Next  string // Next is where the next page begins; empty if this is the last.
	Err   error
}

// Announced is the result of an Announce.
type Announced struct{ Err error }

// AllAnnouncementsRead is the result of ReadAllAnnouncements. Some announcements may be long out of date.
type AllAnnouncementsRead struct {
	Hosts    []tracker.HostRecord
	Complete bool              // Complete reports whether all announcements were read.
	End      follower.Position // End is the position after the newest announcement when the first page was read.
}

// WorkReported is this host's load report for the others.
type WorkReported struct {
	Report     placer.Report
	Urgent     bool    // Urgent marks a report sent between two intervals, for a long prompt.
	CoresInUse float64 // CoresInUse is the number of processor cores in use by this host.
}

// RenewalEnd is the result of an updater's command.
type RenewalEnd struct {
	Command  updater.Command
	Lease    updater.Lease        // Lease is the answer to ReadLease.
	Conflict bool                 // Conflict reports that WriteLease found another record.
	Result   updater.OrderResult  // Result is the answer to Order.
	Report   updater.EngineReport // Report is the answer to QueryVersion.
	Err      error
}

// StoreReported is a report from a KV cache store that this host watches.
type StoreReported struct{ Report placer.StoreReport }

// StoreGap reports that a host sent changes of a KV cache store that follow others which this host
// lacks.
type StoreGap struct{ From string }

// VersionAgesRestored holds the ages of weight versions that earlier hosts saved.
type VersionAgesRestored struct{ VersionAges []follower.VersionAge }

// QuarantineChanged reports that the quarantine has changes for the other hosts.
type QuarantineChanged struct{}

// QuarantineRestored holds the bars that earlier hosts saved, for the other hosts.
type QuarantineRestored struct{ Entries []quarantiner.Entry }

// RateLimitsStepped holds what the throttler has for other hosts: changed rate limits, and asks and
// grants.
type RateLimitsStepped struct {
	Changes []throttler.Limit
	Permits []throttler.Message
}

// BrittleLearned holds statements of brittle upstreams for other hosts.
type BrittleLearned struct{ News []placer.BrittleNews }

// ContentionStepped holds what the arbiter has for other hosts.
type ContentionStepped struct{ Outgoing arbiter.Outgoing }

// ReachChanged reports whether this host reaches upstreams.
type ReachChanged struct{ CutOff bool }

// DrainStarted reports that this host is about to end.
type DrainStarted struct{}

func (Tick) event()                 {}
func (FeedRead) event()             {}
func (PeerMessage) event()          {}
func (PeerConnected) event()        {}
func (AnnouncementsRead) event()    {}
func (Announced) event()            {}
func (AllAnnouncementsRead) event() {}
func (WorkReported) event()         {}
func (RenewalEnd) event()           {}
func (StoreReported) event()        {}
func (StoreGap) event()             {}
func (VersionAgesRestored) event()  {}
func (QuarantineChanged) event()    {}
func (QuarantineRestored) event()   {}
func (RateLimitsStepped) event()    {}
func (BrittleLearned) event()       {}
func (ContentionStepped) event()    {}
func (ReachChanged) event()         {}
func (DrainStarted) event()         {}

// Action is an output of a Node, to be executed by its host.
type Action interface{ action() }

// Send sends a message to another host.
type Send struct {
	To      string
	Address string
	Message *messenger.Message
}

// SendAll sends a message to several hosts.
type SendAll struct {
	To      []messenger.Target
	Message *messenger.Message
}

// ApplyStoreReport passes another host's report of a KV cache store to the placer.
type ApplyStoreReport struct {
	From   string
	Report placer.StoreReport
}

// Read reads a page of a feed, or the newest record of each key if Full.
type Read struct {
	Feed follower.Feed
	Full bool
	From follower.Position
	Wait time.Duration // Wait is how long the store may wait for a record.
}

// ReadAnnouncements reads the page of announcements that begins after a name.
type ReadAnnouncements struct{ After string }

// ReadAllAnnouncements reads all announcements of hosts.
type ReadAllAnnouncements struct{}

// Announce writes this host's announcement.
type Announce struct{}

// Retract removes the announcements of hosts that are gone.
type Retract struct {
	Hosts []tracker.HostRecord
	End   follower.Position // End is the position after the newest announcement; a later one prevents the removal.
}

// SaveAgain saves the state that later hosts restore again, as the store may have lost it.
type SaveAgain struct{}

// PublishView publishes a new view to the request path.
type PublishView struct{ View *follower.View }

// PublishHosts publishes a new list of hosts to the directory.
type PublishHosts struct {
	Hosts       []tracker.HostRecord
	Uncontacted map[string]bool // Uncontacted are hosts known only from their announcements; they may have ended.
	Active      activator.Selection
}

// ApplyReport passes another host's report, or a sum of reports, to the placer.
type ApplyReport struct {
	From   string
	Report placer.Report
}

// MergeReturns passes the requests that another host has refused to the request path.
type MergeReturns struct{ Returns []arbiter.Return }

// Renew executes a command of the updater.
type Renew struct{ Command updater.Command }

// FeedCurrent reports up to when the operators' feed is known.
type FeedCurrent struct{ At time.Time }

// PublishFeeds says up to where this host knows each feed.
type PublishFeeds struct{ Feeds map[follower.Feed]FeedState }

// FeedState says up to where a host knows a feed.
type FeedState struct {
	Position  follower.Position // Position is the one after the last known record.
	Newest    follower.Position // Newest is that of the newest known record.
	Digest    uint32            // Digest is that of the known records; it is the same at all hosts at one position.
	Missed    int               // Missed counts records that other hosts had and this one had passed without them.
	CurrentAt time.Time         // CurrentAt is when the host last knew all records; zero if it never did.
}

// PublishCell says which cell of its zone this host is in, how many cells there are, and whether
// all hosts report their load to it directly.
type PublishCell struct {
	Own, Cells int
	Direct     bool
}

// PublishPhases names the engines that load weights or will soon.
type PublishPhases struct{ Engines map[string]updater.Phase }

// LogEvent writes a log line about a change of state.
type LogEvent struct {
	Kind   LogKind
	Feed   follower.Feed
	Host   string
	Key    string
	Reason string // Reason says what was invalid.
	Way    Way    // Way is how a record reached this host.
	Offset int64
	Era    uint64 // Era is that of Offset; 0 if the store states none.
	Age    time.Duration
	Before follower.Position // Before is the last known position before a page or a loss of records.
	// Records is the number of records read after it.
	Records int
	From    int64 // From is the first offset that a page covers.
	Newest  int64 // Newest is the offset of the newest known record.
	Version uint64
	Revert  follower.Revert // Revert is set for LogWeightsReverted.
	Err     error
}

// LogKind is the message of a LogEvent.
type LogKind string

const (
	LogStoreLost          LogKind = logger.StoreLost
	LogStoreBack          LogKind = logger.StoreBack
	LogStoreRestored      LogKind = logger.StoreRestored
	LogFeedRecovered      LogKind = logger.FeedRecovered
	LogFeedReadRefused    LogKind = logger.FeedReadRefused
	LogUnreadable         LogKind = logger.RecordUnreadable
	LogRecordApplied      LogKind = logger.RecordApplied
	LogWeightsReverted    LogKind = logger.WeightsReverted
	LogRecordOutdated     LogKind = logger.RecordOutdated
	LogZoneEvacuated      LogKind = logger.ZoneEvacuated
	LogEvacuationEnded    LogKind = logger.ZoneTakenBack
	LogHostChanged        LogKind = logger.HostChanged
	LogLapsedRemoved      LogKind = logger.LapsedEntriesRemoved
	LogVersionDoubted     LogKind = logger.VersionDoubted
	LogListingApplied     LogKind = logger.ListingApplied
	LogFeedDiffers        LogKind = logger.FeedDiffers
	LogRecordMissed       LogKind = logger.RecordMissed
	LogPageDropped        LogKind = logger.PageDropped
	LogPageIncomplete     LogKind = logger.PageIncomplete
	LogConfigurationTaken LogKind = logger.ConfigurationTaken
	LogContentionRejected LogKind = logger.ContentionRejected
)

func (Send) action()                 {}
func (SendAll) action()              {}
func (ApplyStoreReport) action()     {}
func (Read) action()                 {}
func (ReadAnnouncements) action()    {}
func (ReadAllAnnouncements) action() {}
func (Announce) action()             {}
func (Retract) action()              {}
func (SaveAgain) action()            {}
func (PublishView) action()          {}
func (PublishHosts) action()         {}
func (ApplyReport) action()          {}
func (MergeReturns) action()         {}
func (Renew) action()                {}
func (FeedCurrent) action()          {}
func (PublishPhases) action()        {}
func (PublishFeeds) action()         {}
func (PublishCell) action()          {}
func (LogEvent) action()             {}
