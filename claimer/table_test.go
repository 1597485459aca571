// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package claimer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/foldcheck"
	"amaranthgate.example/amaranthgate/replayer"
)

func claimOf(epoch uint64, key, nonce string) replayer.Entry {
	return replayer.NewEntry(KindClaim, Claim{Epoch: epoch, Request: Request{Key: NewKey("w", key), Nonce: nonce}})
}

func settleOf(epoch uint64, key, nonce string, s State) replayer.Entry {
	return replayer.NewEntry(KindOutcome, Settle{Epoch: epoch, Outcome: Outcome{Key: NewKey("w", key), Nonce: nonce, State: s}})
}

func TestTableRestores(t *testing.T) {
	foldcheck.Run(t, func() replayer.State { return NewTable() }, []foldcheck.WrittenEntry{
		{Writer: "a", Entry: replayer.NewEntry(KindOpen, Open{Epoch: 3})},
		{Writer: "a", Entry: claimOf(3, "k", "n1")},
		{Writer: "a", Entry: settleOf(3, "k", "n1", StateUnknown)},
		{Writer: "b", Entry: replayer.NewEntry(KindOpen, Open{Epoch: 9})},
		{Writer: "a", Entry: claimOf(3, "late", "n2")},
		{Writer: "b", Entry: settleOf(9, "k", "n1", StateDone)},
		{Writer: "b", Entry: claimOf(9, "l", "n3")},
	})
}

// TestTable checks the state of one key after a sequence of entries.
func TestTable(t *testing.T) {
	open := func(epoch uint64) replayer.Entry { return replayer.NewEntry(KindOpen, Open{Epoch: epoch}) }
	for _, c := range []struct {
		name    string
		entries []foldcheck.WrittenEntry
		state   State
		nonce   string
	}{
		{"the first wins", []foldcheck.WrittenEntry{{Writer: "a", Entry: open(1)}, {Writer: "a", Entry: claimOf(1, "k", "n1")}, {Writer: "a", Entry: claimOf(1, "k", "n2")}}, StateClaimed, "n1"},
		{"an old owner's claim is void", []foldcheck.WrittenEntry{{Writer: "a", Entry: open(1)}, {Writer: "b", Entry: open(2)}, {Writer: "a", Entry: claimOf(1, "k", "n1")}}, "", ""},
		{"another's claim under the epoch is void", []foldcheck.WrittenEntry{{Writer: "a", Entry: open(1)}, {Writer: "b", Entry: claimOf(1, "k", "n1")}}, "", ""},
		{"not run frees the key", []foldcheck.WrittenEntry{{Writer: "a", Entry: open(1)}, {Writer: "a", Entry: claimOf(1, "k", "n1")}, {Writer: "a", Entry: settleOf(1, "k", "n1", StateNotRun)}, {Writer: "a", Entry: claimOf(1, "k", "n2")}}, StateClaimed, "n2"},
		{"unknown does not free it", []foldcheck.WrittenEntry{{Writer: "a", Entry: open(1)}, {Writer: "a", Entry: claimOf(1, "k", "n1")}, {Writer: "a", Entry: settleOf(1, "k", "n1", StateUnknown)}, {Writer: "a", Entry: claimOf(1, "k", "n2")}}, StateUnknown, "n1"},
		{"the claimant may correct unknown", []foldcheck.WrittenEntry{{Writer: "a", Entry: open(1)}, {Writer: "a", Entry: claimOf(1, "k", "n1")}, {Writer: "a", Entry: settleOf(1, "k", "n1", StateUnknown)}, {Writer: "a", Entry: settleOf(1, "k", "n1", StateDone)}}, StateDone, "n1"},
		{"done is final", []foldcheck.WrittenEntry{{Writer: "a", Entry: open(1)}, {Writer: "a", Entry: claimOf(1, "k", "n1")}, {Writer: "a", Entry: settleOf(1, "k", "n1", StateDone)}, {Writer: "a", Entry: settleOf(1, "k", "n1", StateNotRun)}, {Writer: "a", Entry: claimOf(1, "k", "n2")}}, StateDone, "n1"},
		{"another's outcome is void", []foldcheck.WrittenEntry{{Writer: "a", Entry: open(1)}, {Writer: "a", Entry: claimOf(1, "k", "n1")}, {Writer: "a", Entry: settleOf(1, "k", "n2", StateNotRun)}}, StateClaimed, "n1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			for i, w := range c.entries {
				table.Apply(replayer.Position{Offset: uint64(i)}, w.Writer, w.Entry)
			}
			e, _ := table.Lookup(NewKey("w", "k"))
			assert.Equal(t, e.State, c.state)
			assert.Equal(t, e.Nonce, c.nonce)
		})
	}
}

// TestClaimWonAfterDeadline guards against a dispatch, or a key that stays claimed, when a claim is
// won after its deadline.
func TestClaimWonAfterDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewClaimant(Policy{Window: time.Hour, Timeout: 10 * time.Second}, time.Second)
	c.Start(now, Request{Key: NewKey("w", "k"), Nonce: "n"}, now.Add(time.Second))
	steps := c.HandleReply(now.Add(2*time.Second), Reply{Nonce: "n", Result: ResultWon})
	assert.Equal(t, steps.Settled[0].Verdict, VerdictUnavailable)
	assert.Equal(t, steps.Send[0].Outcome.State, StateNotRun)
}
