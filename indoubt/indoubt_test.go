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

// The rows of the package's table.
func TestTransitionsMatchPackageTable(t *testing.T) {
	type input struct {
		read     bool
		outcome  access.Outcome
		revision uint64
	}
	attempt := func(outcome access.Outcome) input { return input{outcome: outcome} }
	read := func(outcome access.Outcome, revision uint64) input { return input{true, outcome, revision} }
	for _, tc := range []struct {
		inputs []input
		want   NextStep
	}{
		{[]input{attempt(access.OK)}, Settled},
		{[]input{attempt(access.Refused)}, Settled},
		{[]input{attempt(access.Throttled)}, Settled},
		{[]input{attempt(access.Gone)}, Settled},
		{[]input{attempt(access.Conflict)}, ReadBack},
		{[]input{attempt(access.Unknown)}, ReadBack},
		{[]input{attempt(access.Unknown), attempt(access.OK)}, Settled},
		{[]input{attempt(access.Unknown), attempt(access.Refused)}, ReadBack},
		{[]input{attempt(access.Unknown), attempt(access.Throttled)}, ReadBack},
		{[]input{attempt(access.Unknown), attempt(access.Gone)}, ReadBack},
		{[]input{attempt(access.Unknown), attempt(access.Unknown)}, ReadBack},
		{[]input{attempt(access.Unknown), read(access.OK, 8)}, Settled},
		{[]input{attempt(access.Unknown), read(access.OK, 7)}, Resend},
		{[]input{attempt(access.Unknown), read(access.NotFound, 0)}, Settled},
		{[]input{attempt(access.Unknown), read(access.Refused, 0)}, Resend},
		{[]input{attempt(access.Unknown), read(access.Unknown, 0)}, Resend},
		{[]input{attempt(access.Unknown), attempt(access.Conflict), read(access.Refused, 0)}, ReadBack},
		{[]input{attempt(access.Unknown), attempt(access.Conflict), read(access.OK, 7)}, Settled},
		{[]input{attempt(access.Conflict), read(access.Unknown, 0)}, ReadBack},
		{[]input{attempt(access.Conflict), read(access.OK, 7)}, Settled},
	} {
		write := ConditionalWrite{Revision: 7}
		got := NextStep(-1)
		for _, step := range tc.inputs {
			if step.read {
				got = write.CompleteRead(step.outcome, step.revision)
			} else {
				got = write.CompleteAttempt(step.outcome)
			}
		}
		if got != tc.want {
			t.Errorf("after %v: %v, want %v", tc.inputs, got, tc.want)
		}
	}
}

// A key without the write counts on that only when no try can work any more, whatever
// the order in which tries are answered, refused, lost and carried out late.
func TestSettledOnlyWhenNoAttemptCanStillApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revision, applied := uint64(7), false // of the key, in the store
		lateAttempts := 0                     // tries that may yet be carried out
		applyAttempt := func() bool {
			if revision != 7 {
				return false
			}
			revision, applied = 9, true
			return true
		}
		write := ConditionalWrite{Revision: 7}
		next := Resend
		var history []string
		for step := 0; next != Settled && step < 40; step++ {
			if lateAttempts > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				lateAttempts--
				applyAttempt()
				history = append(history, "late")
			}
			if rapid.IntRange(0, 12).Draw(t, "other") == 0 && revision == 7 {
				revision = 8 // somebody else's write
				history = append(history, "other")
			}
			event := rapid.IntRange(0, 3).Draw(t, "kind")
			if next == ReadBack {
				if event == 0 {
					next = write.CompleteRead(access.Refused, 0)
				} else {
					next = write.CompleteRead(access.OK, revision)
				}
				history = append(history, fmt.Sprint("read ", event))
				continue
			}
			switch event {
			case 0:
				next = write.CompleteAttempt(access.Refused)
			case 1: // no answer, and not carried out yet
				lateAttempts++
				next = write.CompleteAttempt(access.Unknown)
			case 2: // no answer, carried out
				applyAttempt()
				next = write.CompleteAttempt(access.Unknown)
			default:
				if applyAttempt() {
					next = write.CompleteAttempt(access.OK)
				} else {
					next = write.CompleteAttempt(access.Conflict)
				}
			}
			history = append(history, fmt.Sprint("try ", event))
		}
		if next == Settled && !applied && lateAttempts > 0 && revision == 7 {
			t.Fatalf("settled, and a late try still works: %v", history)
		}
	})
}
