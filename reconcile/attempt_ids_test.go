package reconcile

import (
	"testing"

	"pgregory.net/rapid"
)

// Tests that no ID is assigned twice, by one claim or by several, even if the wall clock steps back,
// stops or jumps between claims.
func TestAttemptIDsAreNeverReused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ids AttemptIDs
		used := map[uint64]bool{}
		revision, wallMS := uint64(0), int64(1_700_000_000_000)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0: // another claim, or a raised token of the same claim
				revision += uint64(rapid.IntRange(1, 3).Draw(t, "revisions"))
				if rapid.Bool().Draw(t, "new process") {
					ids = AttemptIDs{}
				}
				ids.Rebase(revision, wallMS)
			case 1:
				wallMS += int64(rapid.IntRange(-200, 200).Draw(t, "clock step"))
			case 2:
				wallMS += int64(rapid.IntRange(0, 5000).Draw(t, "elapsed"))
			default:
				if ids.revision == 0 {
					continue
				}
				for range rapid.IntRange(1, 600).Draw(t, "burst") {
					if ids.IsExhausted(wallMS) {
						break
					}
					id := ids.Next(wallMS)
					if used[id] {
						t.Fatalf("ID %d is assigned twice", id)
					}
					used[id] = true
				}
			}
		}
	})
}
