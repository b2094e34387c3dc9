package recurrence

import (
	"fmt"
	"slices"
	"time"

	"github.com/teambition/rrule-go"
)

// Moment is a time at which a schedule is due. A dropped moment is a day or time that the rule and At select but
// the calendar or a clock change removes.
type Moment struct {
	At      time.Time // in the schedule's time zone; zero if dropped
	Date    Date      // the day after shifts
	Clock   Clock
	Nominal []Date // the days that the rule selects, in order
	Reason  string // why it differs from its nominal day and time, or is dropped
	Dropped bool
}

// Key identifies a moment within its schedule. It is the same for every computation on every member.
func (m Moment) Key() string { return m.At.UTC().Format("20060102T150405Z") }

// dueAt returns the time at which a moment is due, or would be due if it were not dropped.
func (m Moment) dueAt(zone *time.Location) time.Time {
	if m.Dropped {
		return time.Date(m.Date.Year, m.Date.Month, m.Date.Day, 0, 0, int(m.Clock), 0, zone)
	}
	return m.At
}

// Between returns the moments in [from, to) in order, including dropped ones. It returns an error if a day
// cannot be shifted, together with all other moments.
func (s *Schedule) Between(from, to time.Time) ([]Moment, error) {
	// The margin of two days is needed since a gap may move a time to a later day.
	days, err := s.shiftedDays(DateOf(from.In(s.location)).Add(-2), DateOf(to.In(s.location)).Add(2))
	var moments []Moment
	for _, day := range days {
		for _, m := range s.momentsOfDay(day) {
			if at := m.dueAt(s.location); !at.Before(from) && at.Before(to) {
				moments = append(moments, m)
			}
		}
	}
	slices.SortStableFunc(moments, func(a, b Moment) int {
		return a.dueAt(s.location).Compare(b.dueAt(s.location))
	})
	return withoutRepeatedInstants(moments), err
}

// withoutRepeatedInstants keeps only the first moment at each instant, since a gap may map two times of day to
// the same instant.
func withoutRepeatedInstants(moments []Moment) []Moment {
	var last *Moment
	return slices.DeleteFunc(moments, func(m Moment) bool {
		if m.Dropped {
			return false
		}
		if last != nil && last.At.Equal(m.At) {
			return true
		}
		last = &m
		return false
	})
}

// horizonDays limits the search for the next moment, in days.
const horizonDays = 30 * 366

// Next returns the first moment after a time, without dropped ones. ok is false if there is none within 30 years.
func (s *Schedule) Next(after time.Time) (m Moment, ok bool) {
	from := after.Add(time.Nanosecond)
	for stepDays, searched := 8, 0; searched < horizonDays; searched, stepDays = searched+stepDays, stepDays*2 {
		to := from.AddDate(0, 0, stepDays)
		moments, err := s.Between(from, to)
		if err != nil && len(moments) == 0 {
			return Moment{}, false
		}
		for _, m := range moments {
			if !m.Dropped {
				return m, true
			}
		}
		from = to
	}
	return Moment{}, false
}

// momentsOfDay returns the moments of a shifted day, one for each instant at which it is due.
func (s *Schedule) momentsOfDay(day Moment) (moments []Moment) {
	if day.Dropped {
		return []Moment{day}
	}
	for _, clock := range s.At {
		m := day
		m.Clock = clock
		instants, reason := s.instants(day.Date, clock)
		m.Reason = joinReasons(m.Reason, reason)
		if len(instants) == 0 {
			m.Dropped = true
			moments = append(moments, m)
		}
		for _, at := range instants {
			m.At = at
			moments = append(moments, m)
		}
	}
	return moments
}

func joinReasons(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "; " + b
}

// shiftedDays returns the days of the rule that are in [from, to] after shifts, in order and without times. Days
// that are shifted to the same day are merged. The error is that of the last day that cannot be shifted.
func (s *Schedule) shiftedDays(from, to Date) (days []Moment, err error) {
	first, last := s.nominalRange(from, to)
	indexByDate := map[Date]int{}
	for _, t := range s.ruleStartingNear(first).Between(first.utc(), last.utc(), true) {
		nominal := DateOf(t)
		day, shiftErr := s.shiftedDay(nominal)
		if shiftErr != nil {
			err = fmt.Errorf("%s: %w", nominal, shiftErr)
			continue
		}
		if !day.Date.isWithin(from, to) {
			continue
		}
		if !day.Dropped {
			if i, exists := indexByDate[day.Date]; exists {
				days[i].Nominal = append(days[i].Nominal, nominal)
				days[i].Reason = joinReasons(days[i].Reason, day.Reason)
				continue
			}
			indexByDate[day.Date] = len(days)
		}
		days = append(days, day)
	}
	slices.SortStableFunc(days, func(a, b Moment) int { return a.Date.Compare(b.Date) })
	return days, err
}

// shiftedDay returns a day of the rule after the calendar has shifted or dropped it.
func (s *Schedule) shiftedDay(nominal Date) (Moment, error) {
	shifted, reason, ok, err := s.calendar.shift(nominal, s.Shift)
	if ok && shifted != nominal {
		reason = fmt.Sprintf("%s is moved to %s: %s", nominal, shifted, reason)
	}
	return Moment{Date: shifted, Nominal: []Date{nominal}, Reason: reason, Dropped: !ok}, err
}

// searchMarginDays limits the search for nominal days outside a range. No shift is longer (moves are handled
// separately), and time zones differ by at most a day.
const searchMarginDays = maxShift + 2

// nominalRange returns the range of nominal days that may be in [from, to] after shifts.
func (s *Schedule) nominalRange(from, to Date) (first, last Date) {
	marginDays := 2 // sufficient if days are not shifted
	if s.Shift != Run && s.Shift != Skip {
		marginDays = s.maxShiftDays(from, to)
	}
	first, last = from.Add(-marginDays), to.Add(marginDays)
	for _, m := range s.calendar.moveByDate {
		if !m.To.isWithin(from, to) {
			continue
		}
		if m.From.Compare(first) < 0 {
			first = m.From
		}
		if m.From.Compare(last) > 0 {
			last = m.From
		}
	}
	return first, last
}

// maxShiftDays returns the maximum distance outside a range from which a day may be shifted into it: the longest
// run of days off that adjoins the range.
func (s *Schedule) maxShiftDays(from, to Date) int {
	n := max(s.calendar.daysOffBeyond(from, -1), s.calendar.daysOffBeyond(to, 1))
	if s.Shift.staysInMonth() {
		n = max(n, 32)
	}
	return n
}

// daysOffBeyond returns the distance in days from d to the next working day in the direction of step, at least
// 2 and at most searchMarginDays.
func (c *Calendar) daysOffBeyond(d Date, step int) int {
	for distance := 1; distance < searchMarginDays; distance++ {
		d = d.Add(step)
		if working, _ := c.IsWorking(d); working && distance > 1 {
			return distance
		}
	}
	return searchMarginDays
}

// ruleStartingNear returns the rule with a start shortly before a day. The library iterates from the rule's
// first day on every call, for example through ten years if the rule began ten years ago. Daily and weekly
// rules are periodic, so whole periods can be skipped.
func (s *Schedule) ruleStartingNear(d Date) *rrule.RRule {
	options := s.rule.OrigOptions
	period := max(1, options.Interval)
	switch {
	case options.Count > 0 || options.Freq != rrule.DAILY && options.Freq != rrule.WEEKLY:
		return s.rule
	case options.Freq == rrule.WEEKLY:
		period *= 7
	}
	skippedPeriods := int(d.utc().Sub(s.From.utc()).Hours()/24)/period - 1
	if skippedPeriods <= 0 {
		return s.rule
	}
	options.Dtstart = s.From.Add(skippedPeriods * period).utc()
	rule, err := rrule.NewRRule(options)
	if err != nil {
		return s.rule
	}
	return rule
}
