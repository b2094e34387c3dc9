package planner

import (
	"testing"

	"pgregory.net/rapid"
)

// drawWaitingGroups draws the groups of a round, including groups of jobs that have waited long.
func drawWaitingGroups(t *rapid.T, now int64) (groups []*Group) {
	n := rapid.IntRange(1, 12).Draw(t, "groups")
	for i := range n {
		g := &Group{
			Priority:   rapid.IntRange(0, 2).Draw(t, "priority"),
			Remaining:  rapid.IntRange(1, 9).Draw(t, "remaining"),
			LengthMS:   rapid.Int64Range(1, 200_000).Draw(t, "length"),
			AcceptedMS: now - rapid.Int64Range(0, 400_000).Draw(t, "waited"),
			Ranking: Ranking{
				MissedObjectives: rapid.Bool().Draw(t, "missed objectives"),
				WithinGuarantee:  rapid.Bool().Draw(t, "within guarantee"),
				QuotaTier:        rapid.IntRange(0, 3).Draw(t, "tier"),
			},
			PreviouslyAdmitted: rapid.Bool().Draw(t, "previously admitted"),
			HasBegun:           rapid.Bool().Draw(t, "begun"),
			Name:               string(rune('a' + i)),
		}
		g.IsGang = rapid.IntRange(0, 5).Draw(t, "gang") == 0
		g.SingleZone = rapid.IntRange(0, 5).Draw(t, "single zone") == 0
		g.RangeStart = rapid.IntRange(0, 3).Draw(t, "range start") / 3
		g.DeadlineMS = g.AcceptedMS + rapid.Int64Range(1000, 500_000).Draw(t, "deadline")
		groups = append(groups, g)
	}
	return groups
}

// The first task of each aged group is placed once, before all other tasks of its priority. The split neither loses nor
// duplicates tasks, except that a zone constraint reduces the group to one task.
func TestAgedGroupPlacesFirstTaskBeforeEquals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = int64(1_000_000)
		beginWithinMS := rapid.SampledFrom([]int64{0, 1000, 240_000}).Draw(t, "begin within")
		groups := drawWaitingGroups(t, now)
		tasks, expectedFirst := map[string]int{}, map[string]bool{}
		sorted := groups
		for _, g := range groups {
			tasks[g.Name] = g.Remaining
			waited := now - g.AcceptedMS
			want := beginWithinMS > 0 && 4*waited >= 3*beginWithinMS && !g.HasBegun && !g.IsGang && g.RangeStart == 0
			if got := g.IsAged(now, beginWithinMS); got != want {
				t.Fatalf("IsAged of %+v: got %v, want %v", g, got, want)
			}
			if !want {
				continue
			}
			expectedFirst[g.Name] = true
			if g.SingleZone {
				tasks[g.Name] = 1
			}
			if first, split := g.SplitFirst(); split {
				sorted = append(sorted, &first)
			}
		}
		SortGroups(sorted, func(g *Group) *Group { return g })
		for i, g := range sorted {
			tasks[g.Name] -= g.Remaining
			if g.IsFirstTask {
				if g.Remaining != 1 || !expectedFirst[g.Name] {
					t.Fatalf("group %+v is marked as first task, want one task of an aged group", g)
				}
				delete(expectedFirst, g.Name)
			}
			if i > 0 && g.Priority == sorted[i-1].Priority && g.IsFirstTask && !sorted[i-1].IsFirstTask {
				t.Fatalf("first task of %s is sorted after %s, want before", g.Name, sorted[i-1].Name)
			}
			if i > 0 && g.Priority > sorted[i-1].Priority {
				t.Fatalf("%s is sorted before %s, which has a higher priority", sorted[i-1].Name, g.Name)
			}
		}
		for name, left := range tasks {
			if left != 0 || expectedFirst[name] {
				t.Fatalf("%s: %d tasks missing, want 0; first task missing: %v", name, left, expectedFirst[name])
			}
		}
	})
}
