package planner

// agingThreshold is the share of the time within which a job is to begin after which its first task goes before its
// equals. The rest of that time is for finding a machine.
const agingThreshold = 0.75

// IsAged reports whether a job has waited so long, with no task that runs or is done, that its first task goes before
// its equals. beginWithinMS is the time in which jobs are to begin; 0: jobs do not age. A later range of a job does
// not begin it, and a gang begins as a whole.
func (g *Group) IsAged(nowMS, beginWithinMS int64) bool {
	if beginWithinMS <= 0 || g.HasBegun || g.IsGang || g.RangeStart > 0 {
		return false
	}
	return float64(nowMS-g.AcceptedMS) >= agingThreshold*float64(beginWithinMS)
}

// SplitFirst takes the first task off an aged group, as a group of its own that goes before its equals, and reports
// whether it did. A single task is not split, and neither are tasks with a zone constraint, which would be placed as
// if the first were nowhere: such a group goes first itself, cut down to one task.
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
