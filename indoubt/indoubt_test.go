package indoubt

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/grebedock/grebedock/access"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "15"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

type input struct {
	read     bool
	outcome  access.Outcome
	revision uint64
}

func (i input) apply(write *ConditionalWrite) NextStep {
	if i.read {
		return write.CompleteRead(i.outcome, i.revision)
	}
	return write.CompleteAttempt(i.outcome)
}

func attempt(outcome access.Outcome) input { return input{outcome: outcome} }

func read(outcome access.Outcome, revision uint64) input { return input{true, outcome, revision} }

const expectedRevision = 7

// Tests the rows of the table in the package comment.
func TestTransitionsMatchPackageTable(t *testing.T) {
	unknown, conflict := attempt(access.Unknown), attempt(access.Conflict)
	for _, tc := range []struct {
		name   string
		inputs []input
		next   NextStep
	}{
		{"sent, OK", []input{attempt(access.OK)}, Settled},
		{"sent, refused", []input{attempt(access.Refused)}, Settled},
		{"sent, throttled", []input{attempt(access.Throttled)}, Settled},
		{"sent, gone", []input{attempt(access.Gone)}, Settled},
		{"sent, conflict", []input{conflict}, ReadBack},
		{"sent, unknown", []input{unknown}, ReadBack},
		{"doubt, OK", []input{unknown, attempt(access.OK)}, Settled},
		{"doubt, refused", []input{unknown, attempt(access.Refused)}, ReadBack},
		{"doubt, throttled", []input{unknown, attempt(access.Throttled)}, ReadBack},
		{"doubt, gone", []input{unknown, attempt(access.Gone)}, ReadBack},
		{"doubt, unknown", []input{unknown, unknown}, ReadBack},
		{"doubt, read another revision", []input{unknown, read(access.OK, 8)}, Settled},
		{"doubt, read the same revision", []input{unknown, read(access.OK, expectedRevision)}, Resend},
		{"doubt, read a missing key", []input{unknown, read(access.NotFound, 0)}, Settled},
		{"doubt, read refused", []input{unknown, read(access.Refused, 0)}, Resend},
		{"doubt, read unknown", []input{unknown, read(access.Unknown, 0)}, Resend},
		{"doubt, conflict, read refused", []input{unknown, conflict, read(access.Refused, 0)}, ReadBack},
		{"doubt, conflict, read", []input{unknown, conflict, read(access.OK, expectedRevision)}, Settled},
		{"decided, read unknown", []input{conflict, read(access.Unknown, 0)}, ReadBack},
		{"decided, read", []input{conflict, read(access.OK, expectedRevision)}, Settled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			write := ConditionalWrite{Revision: expectedRevision}
			got := NextStep(-1)
			for _, in := range tc.inputs {
				got = in.apply(&write)
			}
			if got != tc.next {
				t.Errorf("after %v: got %v, want %v", tc.inputs, got, tc.next)
			}
		})
	}
}

// contendedKey is a key that other writers also change, and the number of our attempts that may be applied late.
type contendedKey struct {
	revision     uint64
	applied      bool // our write was applied
	lateAttempts int
}

// apply applies our write if its precondition holds.
func (k *contendedKey) apply() bool {
	if k.revision != expectedRevision {
		return false
	}
	k.revision, k.applied = expectedRevision+2, true
	return true
}

// applyAttempt executes an attempt as the event demands and returns its outcome.
func (k *contendedKey) applyAttempt(event int) access.Outcome {
	switch event {
	case 0:
		return access.Refused
	case 1: // no response, not applied yet
		k.lateAttempts++
		return access.Unknown
	case 2: // no response, applied
		k.apply()
		return access.Unknown
	}
	if k.apply() {
		return access.OK
	}
	return access.Conflict
}

// drawInterference draws late attempts and writes of others to the key, and returns a description.
func (k *contendedKey) drawInterference(t *rapid.T) (history []string) {
	if k.lateAttempts > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		k.lateAttempts--
		k.apply()
		history = append(history, "late")
	}
	if rapid.IntRange(0, 12).Draw(t, "other") == 0 && k.revision == expectedRevision {
		k.revision = expectedRevision + 1
		history = append(history, "other")
	}
	return history
}

// Tests that a write which was not applied is settled only when no attempt can be applied any more, in any
// order of responses, refusals, losses and late applications.
func TestSettledOnlyWhenNoAttemptCanStillApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := contendedKey{revision: expectedRevision}
		write := ConditionalWrite{Revision: expectedRevision}
		next := Resend
		var history []string
		for step := 0; next != Settled && step < 40; step++ {
			history = append(history, key.drawInterference(t)...)
			event := rapid.IntRange(0, 3).Draw(t, "event")
			switch {
			case next != ReadBack:
				history = append(history, fmt.Sprint("attempt ", event))
				next = write.CompleteAttempt(key.applyAttempt(event))
			case event == 0:
				history = append(history, "read refused")
				next = write.CompleteRead(access.Refused, 0)
			default:
				history = append(history, "read")
				next = write.CompleteRead(access.OK, key.revision)
			}
		}
		stillApplicable := key.lateAttempts > 0 && key.revision == expectedRevision
		if next == Settled && !key.applied && stillApplicable {
			t.Fatalf("settled while a late attempt can still be applied: %v", history)
		}
	})
}
