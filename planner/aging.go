package planner

// agedShare is the part of the time within which a job is to begin after which its
// first task goes before its equals. The rest of that time is for finding room.
const agedShare = 0.75

// Aged tells whether a job has waited so long, with no task that runs or is done, that
// its first task goes before its equals. within is the time in which jobs are to begin,
// in milliseconds; 0: jobs do not age. What is left of a job in other ranges does not
// begin it, and a gang begins as a whole.
func (g *Group) Aged(now, within int64) bool {
	if within <= 0 || g.Begun || g.Gang || g.Lo > 0 {
		return false
	}
	return float64(now-g.Accepted) >= agedShare*float64(within)
}

// SplitFirst takes the first task off an aged group, as a group of its own that goes
// before its equals, and tells whether it did. A single task, and what zones bind, is
// not split: it goes first itself, by one task. The tasks of what zones bind would
// be placed as if the first were nowhere.
func (g *Group) SplitFirst() (first Group, split bool) {
	if g.Left == 1 || g.OneZone || g.Spread {
		g.First, g.Left = true, 1
		return Group{}, false
	}
	first = *g
	first.First, first.Left = true, 1
	g.Left--
	return first, true
}
