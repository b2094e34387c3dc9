package recurrence

import (
	"fmt"
	"slices"
	"time"
)

// instants returns the instants of a day and time of day after the policies for gaps and overlaps are applied.
// If a policy applied, it also returns the reason. It returns no instant if the time is dropped.
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

// instantsOfLocalTime returns, in order, the instants at which clocks in the schedule's zone show a local time,
// which is passed as a time in UTC. It tries the UTC offsets in force within 36 hours of that time; no other
// offset can apply. The margin exceeds a day since a zone may skip a whole day.
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

// afterGap returns the first instant whose local time is after localTime, for a local time that a clock change
// skips. It is the instant of the clock change.
func (s *Schedule) afterGap(localTime time.Time) time.Time {
	local := func(t time.Time) time.Time {
		_, offsetS := t.In(s.location).Zone()
		return t.Add(time.Duration(offsetS) * time.Second)
	}
	const margin = 40 * time.Hour // larger than any UTC offset or clock change
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

// Midnight returns the first instant of a day in the schedule's time zone.
func (s *Schedule) Midnight(d Date) time.Time {
	if instants := s.instantsOfLocalTime(d.utc()); len(instants) > 0 {
		return instants[0]
	}
	return s.afterGap(d.utc())
}
