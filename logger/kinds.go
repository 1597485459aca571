// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package logger

// Events, the values of the member "message".
const (
	Started              = "Started"
	Listening            = "Listening"
	ListenerEnded        = "ListenerEnded"
	Draining             = "Draining"
	Stopped              = "Stopped"
	SettingsReloaded     = "SettingsReloaded"
	ReloadRefused        = "ReloadRefused"
	UpstreamChosen       = "UpstreamChosen"
	RequestEnded         = "RequestEnded"
	UpstreamEnded        = "UpstreamEnded"
	RequestBarred        = "RequestBarred"
	PartBarred           = "PartBarred"
	PartTried            = "PartTried"
	UpstreamLeaving      = "UpstreamLeaving"
	AnswerBrokenOff      = "AnswerBrokenOff"
	AnswersSkipped       = "AnswersSkipped"
	RestBegun            = "RestBegun"
	RestEnded            = "RestEnded"
	RestMalformed        = "RestMalformed"
	UpstreamSuspected    = "UpstreamSuspected"
	UpstreamAnswersAgain = "UpstreamAnswersAgain"
	UpstreamsCutOff      = "UpstreamsCutOff"
	UpstreamsReached     = "UpstreamsReached"
	UpstreamFull         = "UpstreamFull"
	UpstreamHasRoom      = "UpstreamHasRoom"
	UpstreamBrittle      = "UpstreamBrittle"
	UpstreamSound        = "UpstreamSound"
	BrittleRefused       = "BrittleRefused"
	BrittleMalformed     = "BrittleMalformed"
	RateLimitStated      = "RateLimitStated"
	RateLimitChanged     = "RateLimitChanged"
	RateLimitMalformed   = "RateLimitMalformed"
	LoadMalformed        = "LoadMalformed"
	OverloadBegan        = "OverloadBegan"
	OverloadEnded        = "OverloadEnded"
	LinksInvalid         = "LinksInvalid"
	ContentionRejected   = "ContentionRejected"
	BarLifted            = "BarLifted"
	BarUnnoted           = "BarUnnoted"
	BarUnread            = "BarUnread"
	LinesLeftOut         = "LinesLeftOut"
	StoreLost            = "StoreLost"
	StoreBack            = "StoreBack"
	StoreRestored        = "StoreRestored"
	FeedRecovered        = "FeedRecovered"
	FeedReadRefused      = "FeedReadRefused"
	ListingApplied       = "ListingApplied"
	FeedDiffers          = "FeedDiffers"
	RecordMissed         = "RecordMissed"
	PageDropped          = "PageDropped"
	PageIncomplete       = "PageIncomplete"
	ConfigurationTaken   = "ConfigurationTaken"
	RecordApplied        = "RecordApplied"
	WeightsReverted      = "WeightsReverted"
	ZoneEvacuated        = "ZoneEvacuated"
	ZoneTakenBack        = "ZoneTakenBack"
	RecordOutdated       = "RecordOutdated"
	RecordUnreadable     = "RecordUnreadable"
	LapsedEntriesRemoved = "LapsedEntriesRemoved"
	HostChanged          = "HostChanged"
	HostsUnread          = "HostsUnread"
	HostRetracted        = "HostRetracted"
	HostRecordUnreadable = "HostRecordUnreadable"
	MessageRefused       = "MessageRefused"
	NamingsUnnoted       = "NamingsUnnoted"
	NamingsUnread        = "NamingsUnread"
	VersionDoubted       = "VersionDoubted"
	LeaseUnread          = "LeaseUnread"
	LeaseWritten         = "LeaseWritten"
	OrderGiven           = "OrderGiven"
	KeptStoreChanged     = "KeptStoreChanged"
	KeptContextFreed     = "KeptContextFreed"
	ConfigurationInForce = "ConfigurationInForce"
	ChangePublished      = "ChangePublished"
	AppendUnanswered     = "AppendUnanswered"
	PageFailed           = "PageFailed"
)

// Kinds lists all events.
var Kinds = []string{
	Started, Listening, ListenerEnded, Draining, Stopped, SettingsReloaded, ReloadRefused,
	UpstreamChosen, RequestEnded, AnswerBrokenOff, AnswersSkipped, UpstreamEnded, RequestBarred, PartBarred, PartTried, UpstreamLeaving, RestBegun, RestEnded, RestMalformed, UpstreamSuspected, UpstreamAnswersAgain, UpstreamsCutOff, UpstreamsReached, UpstreamFull, UpstreamHasRoom, UpstreamBrittle, UpstreamSound, BrittleRefused, BrittleMalformed, RateLimitStated, RateLimitChanged, RateLimitMalformed, LoadMalformed, OverloadBegan, OverloadEnded, LinksInvalid, ContentionRejected, BarLifted, BarUnnoted, BarUnread, LinesLeftOut,
	StoreLost, StoreBack, StoreRestored, FeedRecovered, FeedReadRefused, ListingApplied, FeedDiffers, RecordMissed, PageDropped, PageIncomplete, ConfigurationTaken, RecordApplied, WeightsReverted, RecordOutdated, ZoneEvacuated, ZoneTakenBack, RecordUnreadable, LapsedEntriesRemoved,
	HostChanged, HostsUnread, HostRetracted, HostRecordUnreadable, MessageRefused,
	NamingsUnnoted, NamingsUnread, VersionDoubted, LeaseUnread, LeaseWritten, OrderGiven, KeptStoreChanged, KeptContextFreed,
	ConfigurationInForce, ChangePublished, AppendUnanswered, PageFailed,
}
