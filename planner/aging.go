package planner

// agingThreshold is the fraction of the target time to begin a job after which the job's first task is placed before
// groups of equal priority. The rest of that time is left for finding a machine.
const agingThreshold = 0.75

// IsAged reports whether a job with no running or completed task has waited so long that its first task is placed
// before groups of equal priority. beginWithinMS is the target time to begin a job; at 0, jobs do not age. Only the
// first task range of a job ages, and gangs do not age because a gang begins as a whole.
func (g *Group) IsAged(nowMS, beginWithinMS int64) bool {
	if beginWithinMS <= 0 || g.HasBegun || g.IsGang || g.RangeStart > 0 {
		return false
	}
	return float64(nowMS-g.AcceptedMS) >= agingThreshold*float64(beginWithinMS)
}

// SplitFirst splits the first task of an aged group into a group of its own, which is placed before groups of equal
// priority. split reports whether it did so. A group of one task is not split. A group with a zone constraint is not
// split either, since its other tasks would be placed without regard to the first one's zone. Such a group is reduced
// to one task and is itself placed first.
func (g *Group) SplitFirst() (first Group, split bool) {
	if g.Remaining == 1 || g.SingleZone || g.SpreadZones {
		g.IsFirstTask, g.Remaining = true, 1
		return Group{}, false
	}
	first = *g
	first.IsFirstTask, first.Remaining = true, 1
	g.Remaining--
	return first, true
}
