// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"encoding/binary"
	"math"

	"github.com/rs/zerolog"

	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/pricer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/tracker"
)

// logChoice logs the upstream chosen for a request. It runs before the request is sent, so that the
// line exists even if this host ends meanwhile.
func (h *Host) logChoice(r *exchanger.Request, v *follower.View, c *placer.Choice) {
	if c.Basis.Throttled > 0 {
		h.counters.passedOver()
	}
	h.counters.fetchDecisions(&c.Basis.FetchReasons)
	h.counters.statements(&c.Basis)
	ev := h.log.Routine()
	if !ev.Enabled() {
		return
	}
	ev.Str("RequestID", loggedID(r.ID)).Uint64("Configuration", v.Table.Version()).
		EmbedObject((*attempt)(c)).Msg(logger.UpstreamChosen)
}

// logRequest logs the end of a request. For one that failed or was late it repeats the basis of
// each choice, since lines of choices may have been left out. Streams that are taken up are as rare as failures.
func (h *Host) logRequest(r *exchanger.Request, o exchanger.Outcome) {
	failed := o.Late || o.Reason != exchanger.ReasonNone || o.Status >= 500 || o.BrokenOff > 0
	ev := h.log.Routine()
	if failed || o.Resumed {
		ev = h.log.Failure()
	}
	if !ev.Enabled() {
		return
	}
	ev.Str("RequestID", loggedID(r.ID)).Int("Status", o.Status).Str("Route", o.Route)
	if failed && o.Identity != (quarantiner.Identity{}) {
		ev.Stringer("Identity", o.Identity)
	}
	if o.Reason != exchanger.ReasonNone {
		ev.Str("Reason", string(o.Reason)).Str("Detail", o.Detail)
	}
	if o.BarredPart != "" {
		ev.Str("Part", loggedID(o.BarredPart))
	}
	if failed && len(o.Choices) > 0 {
		ev.Array("Attempts", attempts(o.Choices))
	}
	if failed && len(o.Results) > 0 {
		ev.Array("Results", results(o.Results))
	}
	if o.Origin.Known() {
		ev.Str("Software", o.Origin.Software)
	}
	if o.Resumed {
		f := &o.Finding
		ev.Str("StreamID", loggedID(r.StreamID)).Str("Source", string(f.Source)).Dur("Known", f.Age).
			Int("Asked", f.Asked).Int("Answered", f.Answered).Bool("Ambiguous", f.Ambiguous).Dur("Found", f.Took)
	}
	if r.PassedBy != "" {
		ev.Str("PassedBy", r.PassedBy)
	}
	if o.PassedTo != "" {
		ev.Str("PassedTo", o.PassedTo)
	}
	if o.BrokenOff > 0 {
		ev.Int("BrokenOff", o.BrokenOff)
	}
	if since := h.drainBegan.Load(); since != nil && (failed || o.Taken != exchanger.BasisNone) {
		ev.Str("Taken", string(o.Taken)).Dur("Draining", r.Start.Sub(*since))
	}
	if o.Unshared {
		ev.Bool("Unshared", true)
	}
	if o.Withheld > 0 {
		ev.Int("Withheld", o.Withheld)
	}
	ev.Bool("Late", o.Late).Int("Events", o.Events).Dur("Waited", o.Waited).
		Dur("Awaited", o.PrefillWait).Dur("First", o.First).Dur("Took", o.Took).Msg(logger.RequestEnded)
}

// logSkipped counts and logs the answers to other requests that were skipped while this one waited for its own.
func (h *Host) logSkipped(r *exchanger.Request, o *exchanger.Outcome) {
	for i := range o.Results {
		a := &o.Results[i]
		if a.Trace.Foreign == 0 {
			continue
		}
		h.counters.skippedBytes(a.Trace.ForeignBytes)
		h.log.Failure().Str("RequestID", loggedID(r.ID)).Object("Attempt", (*result)(a)).Msg(logger.AnswersSkipped)
	}
}

// results encodes what attempts have shown in a log line.
type results []exchanger.AttemptResult

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (r results) MarshalZerologArray(arr *zerolog.Array) {
	for i := range r {
		arr.Object((*result)(&r[i]))
	}
}

type result exchanger.AttemptResult

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (r *result) MarshalZerologObject(e *zerolog.Event) {
	e.Int("Number", r.Number)
	if r.PassedTo != "" {
		e.Str("PassedTo", r.PassedTo)
	} else {
		e.Str("Upstream", r.Upstream)
	}
	e.Uint64("Connection", r.Trace.Connection).Int("Earlier", r.Trace.Earlier).Int("Status", r.Status).Str("Verdict", string(r.Verdict))
	if r.Cause != "" {
		e.Str("Cause", string(r.Cause))
	}
	if r.Held {
		e.Bool("Held", true)
	}
	if r.Trace.Foreign > 0 {
		e.Int("Foreign", r.Trace.Foreign).Int64("ForeignBytes", r.Trace.ForeignBytes)
	}
}

// maxLoggedID bounds the part of an ID of a caller that is logged.
const maxLoggedID = 64

// loggedID returns the part of an ID of a caller that is logged. Lines wait in memory while the reader of the log is slow.
func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }

// logUpstreamEnded logs an upstream that ended while serving a request.
func (h *Host) logUpstreamEnded(e exchanger.Ended) {
	h.counters.upstreamEnded()
	h.log.Failure().Str("RequestID", loggedID(e.RequestID)).Stringer("Identity", e.Identity).
		Str("Upstream", e.Upstream.InstanceID()).Strs("Parts", e.Parts).Bool("Begun", e.Begun).Msg(logger.UpstreamEnded)
}

// logAnswerEnded counts the end of an answer, and logs it if the answer has been broken off.
func (h *Host) logAnswerEnded(e exchanger.AnswerEnd) {
	h.counters.answerEnded(&e)
	if e.Ending == exchanger.EndingFramed {
		return
	}
	ev := h.log.Failure().Str("RequestID", loggedID(e.RequestID))
	if e.PassedTo != "" {
		ev.Str("PassedTo", e.PassedTo)
	} else {
		ev.Str("Upstream", e.Upstream)
	}
	ev.Int("Status", e.Status).Str("Framing", string(e.Framing)).Str("Ending", string(e.Ending)).
		Int("Bytes", e.Bytes).Int("Events", e.Events).Str("Detail", e.Detail).Msg(logger.AnswerBrokenOff)
}

// logBarred logs a request, or a part of prompts, that is no longer sent to any upstream.
func (h *Host) logBarred(w quarantiner.Entry) {
	if w.OfPart() {
		h.counters.partBarred()
		h.log.Warn().Stringer("Identity", w.Identity).Strs("Upstreams", w.Ends).Dur("Span", w.Span).Int("Trials", w.Trials).Msg(logger.PartBarred)
		return
	}
	h.counters.barred()
	h.log.Warn().Stringer("Identity", w.Identity).Strs("Upstreams", w.Ends).Msg(logger.RequestBarred)
}

// triesPart reports whether this host is the one that suspends the bar of a part of prompts for a request: the first in
// rank of those that serve callers.
func (h *Host) triesPart(part quarantiner.Identity) bool {
	serving := h.serving.Load()
	if serving == nil || tracker.RankIndex(serving.Hosts(), h.opts.Settings.Host, "trial/"+part.String()) != 0 {
		return false
	}
	h.log.Info().Stringer("Identity", part).Msg(logger.PartTried)
	return true
}

// attempts encodes choices in a log line.
type attempts []placer.Choice

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (a attempts) MarshalZerologArray(arr *zerolog.Array) {
	for i := range a {
		arr.Object((*attempt)(&a[i]))
	}
}

// fetchReasons encodes in a log line how many parts were fetched or prefilled for each reason.
type fetchReasons pricer.Tally

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (f fetchReasons) MarshalZerologObject(e *zerolog.Event) {
	for i, n := range f {
		if n > 0 {
			e.Uint8(string(pricer.Reasons[i]), n)
		}
	}
}

// logInvalidLinks logs that another host reported impossible figures of links.
func (h *Host) logInvalidLinks(host string, figures int) {
	h.counters.linksInvalid(figures)
	h.log.StateChange().Str("Host", host).Int("Figures", figures).Msg(logger.LinksInvalid)
}

type attempt placer.Choice

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (c *attempt) MarshalZerologObject(e *zerolog.Event) {
	b := c.Basis
	e.Str("Upstream", c.Upstream.ID).Str("Software", c.Upstream.Software).Dur("Estimate", b.Estimate).Int("Requests", b.Work.Requests).
		Int("Pending", b.Work.Pending).Int("Memory", b.Work.Memory).Int("Missing", b.PrefillTokens).Int("Alone", b.UnsharedTokens).Int("Moved", b.FetchTokens).
		Dur("Behind", b.BacklogTime).Dur("Reading", b.PrefillTime).Dur("Fetching", b.FetchTime).Bool("Replaced", b.Replaced).
		Int("Stored", b.StoredParts).Int("Saved", b.SavedParts).
		Uint64("Weights", c.Weights).Hex("Shared", binary.BigEndian.AppendUint64(nil, uint64(b.SharedKey))).Dur("PeersAge", b.PeersAge)
	if f := b.Statement; f.Store != "" {
		e.Str("Store", f.Store).Int64("Epoch", f.Epoch).Dur("StatementAge", f.Age).Int64("Until", c.FetchDeadline)
	}
	if b.StaleStatement {
		e.Bool("StaleStatement", true)
	}
	if b.DelayedSaves > 0 {
		e.Int("DelayedSaves", b.DelayedSaves)
	}
	if b.FetchReasons != (pricer.Tally{}) {
		e.Object("Priced", fetchReasons(b.FetchReasons))
	}
	if b.Throttled > 0 {
		e.Int("Throttled", b.Throttled)
	}
	if b.Resting > 0 {
		e.Int("Resting", b.Resting)
	}
	if b.StatedPace != 0 {
		e.Float64("Paced", math.Round(100*b.StatedPace)/100)
	}
	if b.HiddenRequests > 0 {
		e.Int("Hidden", b.HiddenRequests)
	}
}
