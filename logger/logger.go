// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package logger

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Maximum lines per second and host.
const (
	RoutineLines = 200
	FailureLines = 300
	// StateChangeLines limits lines about records and hosts. A host that starts in a large fleet learns of
	// thousands at once.
	StateChangeLines = 60
)

// Logger writes log lines. It is safe for concurrent use.
type Logger struct {
	zerolog.Logger
	routine     zerolog.Logger
	failure     zerolog.Logger
	stateChange zerolog.Logger
	omitted     atomic.Uint64 // omitted counts omitted lines.
	reported    atomic.Uint64 // reported is the part of omitted that ReportOmitted has logged.
}

// New returns a logger at a zerolog level; an unknown level means info.
func New(w io.Writer, level string) *Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return From(zerolog.New(w).Level(l).With().Timestamp().Logger())
}

// From returns a logger that writes to base and limits the rate of its lines.
func From(base zerolog.Logger) *Logger {
	l := &Logger{Logger: base}
	l.routine = base.Sample(l.sampler(RoutineLines))
	l.failure = base.Sample(l.sampler(FailureLines))
	l.stateChange = base.Sample(l.sampler(StateChangeLines))
	return l
}

// Routine begins a line about a successful request.
func (l *Logger) Routine() *zerolog.Event { return l.routine.Info() }

// Failure begins a line about a request that failed or was late.
func (l *Logger) Failure() *zerolog.Event { return l.failure.Info() }

// StateChange begins a line about a change in the known records or hosts.
func (l *Logger) StateChange() *zerolog.Event { return l.stateChange.Info() }

// Omitted returns the number of omitted lines.
func (l *Logger) Omitted() uint64 { return l.omitted.Load() }

// ReportOmitted logs the number of lines omitted since its last call, if any.
func (l *Logger) ReportOmitted() {
	left := l.omitted.Load()
	if n := left - l.reported.Swap(left); n > 0 {
		l.Info().Uint64("Lines", n).Msg(LinesLeftOut)
	}
}

// countingSampler omits and counts all lines.
type countingSampler struct{ n *atomic.Uint64 }

// Sample implements zerolog.Sampler.
func (c countingSampler) Sample(zerolog.Level) bool {
	c.n.Add(1)
	return false
}

func (l *Logger) sampler(lines uint32) zerolog.Sampler {
	return &zerolog.BurstSampler{Burst: lines, Period: time.Second, NextSampler: countingSampler{&l.omitted}}
}
