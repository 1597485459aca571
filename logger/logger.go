// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package logger

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Bounds of the lines of requests, a second and host. A host of the size to design
// for takes 18 requests a second at the peak, which are 36 routine lines of 300 bytes.
const (
	RoutineLines = 200
	FailureLines = 300
	// BeliefLines bounds lines about records and hosts that change what is believed. A host
	// that starts in a fleet of 300 before 3,000 upstreams would write 3,300 within 0.3 s,
	// which is when callers come back.
	BeliefLines = 60
)

// Logger writes lines. It is safe for concurrent use.
type Logger struct {
	zerolog.Logger
	routine zerolog.Logger
	failure zerolog.Logger
	belief  zerolog.Logger
	left    atomic.Uint64 // left counts lines that were left out.
	said    atomic.Uint64 // said is how many of them a line has told of.
}

// New returns a logger at a level that zerolog knows; an unknown one stands for info.
func New(w io.Writer, level string) *Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return From(zerolog.New(w).Level(l).With().Timestamp().Logger())
}

// From bounds the lines of a logger.
func From(base zerolog.Logger) *Logger {
	l := &Logger{Logger: base}
	l.routine = base.Sample(l.bound(RoutineLines))
	l.failure = base.Sample(l.bound(FailureLines))
	l.belief = base.Sample(l.bound(BeliefLines))
	return l
}

// Routine begins a line of a request that goes well.
func (l *Logger) Routine() *zerolog.Event { return l.routine.Info() }

// Failure begins a line of a request that failed or was late.
func (l *Logger) Failure() *zerolog.Event { return l.failure.Info() }

// Belief begins a line about one of many records or hosts that are news.
func (l *Logger) Belief() *zerolog.Event { return l.belief.Info() }

// LeftOut returns the number of lines that were left out.
func (l *Logger) LeftOut() uint64 { return l.left.Load() }

// Account says how many lines were left out since it was last called, if any were.
func (l *Logger) Account() {
	left := l.left.Load()
	if n := left - l.said.Swap(left); n > 0 {
		l.Info().Uint64("Lines", n).Msg(LinesLeftOut)
	}
}

// counter is the last sampler of a chain: it lets nothing pass and counts.
type counter struct{ n *atomic.Uint64 }

// Sample implements zerolog.Sampler.
func (c counter) Sample(zerolog.Level) bool {
	c.n.Add(1)
	return false
}

func (l *Logger) bound(lines uint32) zerolog.Sampler {
	return &zerolog.BurstSampler{Burst: lines, Period: time.Second, NextSampler: counter{&l.left}}
}
