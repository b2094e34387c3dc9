package recurrence

import (
	"fmt"
	"slices"
	"time"
)

// instants returns the instants at which a day and time of day are due, by the policies for gaps and
// overlaps, and the reason if a policy applied; none if the time is dropped.
func (s *Schedule) instants(d Date, c Clock) (instants []time.Time, reason string) {
	localTime := d.utc().Add(time.Duration(c) * time.Second)
	instants = s.instantsOfLocalTime(localTime)
	switch len(instants) {
	case 1:
		return instants, ""
	case 0:
		if s.Gap != GapSkip {
			instants = []time.Time{s.afterGap(localTime)}
		}
		return instants, fmt.Sprintf("the clocks skip %s %s", d, c)
	}
	reason = fmt.Sprintf("the clocks show %s %s twice", d, c)
	switch s.Overlap {
	case OverlapFirst:
		return instants[:1], reason + ": the first"
	case OverlapSecond:
		return instants[len(instants)-1:], reason + ": the second"
	}
	return instants, reason + ": both"
}

// instantsOfLocalTime returns the instants at which the zone's clocks show a local time (given as if in
// UTC), in order. The offsets in force within a day and a half of it are all that can apply: a
// zone may skip a whole day.
func (s *Schedule) instantsOfLocalTime(localTime time.Time) (instants []time.Time) {
	const marginHours = 36
	seen := map[int]bool{}
	for h := -marginHours; h <= marginHours; h++ {
		_, offsetS := localTime.Add(time.Duration(h) * time.Hour).In(s.location).Zone()
		if seen[offsetS] {
			continue
		}
		seen[offsetS] = true
		t := localTime.Add(-time.Duration(offsetS) * time.Second).In(s.location)
		if _, actualS := t.Zone(); actualS == offsetS {
			instants = append(instants, t)
		}
	}
	slices.SortFunc(instants, time.Time.Compare)
	return instants
}

// afterGap returns the first instant whose local time is after localTime, which no clock shows: the
// instant of the clock change.
func (s *Schedule) afterGap(localTime time.Time) time.Time {
	local := func(t time.Time) time.Time {
		_, offsetS := t.In(s.location).Zone()
		return t.Add(time.Duration(offsetS) * time.Second)
	}
	const margin = 40 * time.Hour // beyond any offset and change
	lo, hi := localTime.Add(-margin), localTime.Add(margin)
	for hi.Sub(lo) > time.Second {
		mid := lo.Add(hi.Sub(lo) / 2).Truncate(time.Second)
		if local(mid).After(localTime) {
			hi = mid
		} else {
			lo = mid
		}
	}
	return hi.In(s.location)
}

// Midnight returns the first instant of a day in the schedule's zone.
func (s *Schedule) Midnight(d Date) time.Time {
	if instants := s.instantsOfLocalTime(d.utc()); len(instants) > 0 {
		return instants[0]
	}
	return s.afterGap(d.utc())
}
