package recurrence

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // members without zone files, or with others, must agree

	"github.com/teambition/rrule-go"
)

// Gap is what happens to a time of day that a clock change skips; a day that a
// zone jumped over is one long gap.
type Gap string

// The policies for gaps.
const (
	GapAfter Gap = "after" // at the first instant after it
	GapSkip  Gap = "skip"  // not at all
)

// Overlap is what happens to a time of day that a clock change repeats.
type Overlap string

// The policies for overlaps.
const (
	OverlapFirst  Overlap = "first"
	OverlapSecond Overlap = "second"
	OverlapBoth   Overlap = "both"
)

// Schedule says when something recurs.
type Schedule struct {
	Name     string  `toml:"name"     json:"name"`
	Zone     string  `toml:"zone"     json:"zone"` // of the IANA database
	Calendar string  `toml:"calendar" json:"calendar"`
	Rule     string  `toml:"rule"     json:"rule"` // RFC 5545's RRULE, of days: FREQ from DAILY to YEARLY
	From     Date    `toml:"from"     json:"from"` // the first day that counts, and what INTERVAL counts from
	Until    *Date   `toml:"until"    json:"until,omitempty"`
	At       []Clock `toml:"at"       json:"at"`
	Shift    Shift   `toml:"shift"    json:"shift"`
	Gap      Gap     `toml:"gap"      json:"gap"`
	Overlap  Overlap `toml:"overlap"  json:"overlap"`

	calendar *Calendar
	location *time.Location
	rule     *rrule.RRule
}

// Moment is one time at which a schedule is due, or was, but for its calendar or
// a clock change.
type Moment struct {
	At      time.Time // in the schedule's zone; the zero time for what fell out
	Date    Date      // the day that it ends up on
	Clock   Clock
	Nominal []Date // the days that the rule names, in order
	Reason  string // why it is not at its day and time, or nothing
	Dropped bool   // it fell out
}

// Key names a moment within its schedule: it stays the same however often and
// by whomever it is worked out.
func (m Moment) Key() string { return m.At.UTC().Format("20060102T150405Z") }

// Errors of schedules.
var (
	ErrInvalidZone = errors.New("is no time zone")
	ErrInvalidRule = errors.New("is no rule")
)

var allowedRuleFields = []string{
	"FREQ",
	"INTERVAL",
	"COUNT",
	"BYDAY",
	"BYMONTHDAY",
	"BYYEARDAY",
	"BYWEEKNO",
	"BYMONTH",
	"BYSETPOS",
	"WKST",
}

// Validate says what is wrong with a schedule and makes it ready for use; calendars
// must be checked.
func (s *Schedule) Validate(calendars map[string]*Calendar) error {
	if s.Name == "" {
		return errors.New("name is missing")
	}
	var err error
	if s.Zone == "" || s.Zone == "Local" {
		return fmt.Errorf("zone: %q %w", s.Zone, ErrInvalidZone)
	}
	if s.location, err = time.LoadLocation(s.Zone); err != nil {
		return fmt.Errorf("zone: %q %w", s.Zone, ErrInvalidZone)
	}
	s.calendar = &Calendar{Working: weekdays}
	if s.Calendar != "" {
		if s.calendar = calendars[s.Calendar]; s.calendar == nil {
			return fmt.Errorf("calendar: there is no %q", s.Calendar)
		}
	}
	if !s.calendar.validated {
		if err := s.calendar.Validate(); err != nil {
			return fmt.Errorf("calendar %s: %w", s.Calendar, err)
		}
	}
	if s.From == (Date{}) {
		return errors.New("from is missing")
	}
	if s.Until != nil && s.Until.Compare(s.From) < 0 {
		return errors.New("until is before from")
	}
	if len(s.At) == 0 {
		return errors.New("at is missing")
	}
	s.At = slices.Compact(slices.Sorted(slices.Values(s.At)))
	for _, f := range []struct {
		name string
		v    *string
		all  []string
	}{
		{"shift", (*string)(&s.Shift), []string{string(Run), string(Skip), string(Next), string(Previous), string(NextInMonth), string(PreviousInMonth)}},
		{"gap", (*string)(&s.Gap), []string{string(GapAfter), string(GapSkip)}},
		{"overlap", (*string)(&s.Overlap), []string{string(OverlapFirst), string(OverlapSecond), string(OverlapBoth)}},
	} {
		if *f.v == "" {
			*f.v = f.all[0]
		}
		if !slices.Contains(f.all, *f.v) {
			return fmt.Errorf("%s: %q is none of %s", f.name, *f.v, strings.Join(f.all, ", "))
		}
	}
	return s.validateRule()
}

func (s *Schedule) validateRule() error {
	for _, p := range strings.Split(s.Rule, ";") {
		name, _, _ := strings.Cut(p, "=")
		if !slices.Contains(allowedRuleFields, name) {
			return fmt.Errorf("rule: %q %w of days (%s)", p, ErrInvalidRule, strings.Join(allowedRuleFields, ", "))
		}
	}
	o, err := rrule.StrToROption(s.Rule)
	if err != nil {
		return fmt.Errorf("rule: %q %w: %v", s.Rule, ErrInvalidRule, err)
	}
	if o.Freq > rrule.DAILY {
		return fmt.Errorf("rule: FREQ must be DAILY, WEEKLY, MONTHLY or YEARLY; times of day stand in at")
	}
	if o.Interval < 0 || o.Count < 0 {
		return fmt.Errorf("rule: INTERVAL and COUNT must not be negative")
	}
	o.Dtstart = s.From.utc()
	if s.Until != nil {
		o.Until = s.Until.utc()
	}
	if s.rule, err = rrule.NewRRule(*o); err != nil {
		return fmt.Errorf("rule: %q %w: %v", s.Rule, ErrInvalidRule, err)
	}
	return nil
}

// searchMarginDays is how many days round a range are looked at: shifts go no further,
// moves are looked at by themselves, and zones differ by a day at most.
const searchMarginDays = maxShift + 2

// shiftedDays places the rule's days that may end up in [from, to].
func (s *Schedule) shiftedDays(from, to Date) (out []Moment, err error) {
	marginDays := 2 // where no shift can come from further away
	if s.Shift != Run && s.Shift != Skip {
		marginDays = s.maxShiftDays(from, to)
	}
	first, last := from.Add(-marginDays), to.Add(marginDays)
	for _, m := range s.calendar.moveByDate {
		if m.To.Compare(from) >= 0 && m.To.Compare(to) <= 0 {
			if m.From.Compare(first) < 0 {
				first = m.From
			}
			if m.From.Compare(last) > 0 {
				last = m.From
			}
		}
	}
	at := map[Date]int{}
	for _, t := range s.ruleStartingNear(first).Between(first.utc(), last.utc(), true) {
		d := DateOf(t)
		shifted, reason, ok, e := s.calendar.shift(d, s.Shift)
		if e != nil {
			err = fmt.Errorf("%s: %w", d, e)
			continue
		}
		if shifted.Compare(from) < 0 || shifted.Compare(to) > 0 {
			continue
		}
		if !ok {
			out = append(out, Moment{Date: d, Nominal: []Date{d}, Reason: reason, Dropped: true})
			continue
		}
		if shifted != d {
			reason = fmt.Sprintf("%s is moved to %s: %s", d, shifted, reason)
		}
		if i, is := at[shifted]; is {
			// Two days that end up on one are one.
			out[i].Nominal = append(out[i].Nominal, d)
			out[i].Reason = joinReasons(out[i].Reason, reason)
			continue
		}
		at[shifted] = len(out)
		out = append(out, Moment{Date: shifted, Nominal: []Date{d}, Reason: reason})
	}
	slices.SortStableFunc(out, func(a, b Moment) int { return a.Date.Compare(b.Date) })
	return out, err
}

// maxShiftDays is how far days round a range may be moved: over the longest row of
// days off that touches it.
func (s *Schedule) maxShiftDays(from, to Date) int {
	n := 0
	for _, edge := range []struct {
		d    Date
		step int
	}{{from, -1}, {to, 1}} {
		for x, k := edge.d, 0; k < searchMarginDays; k++ {
			x = x.Add(edge.step)
			if w, _ := s.calendar.IsWorking(x); w && k > 0 {
				n = max(n, k+1)
				break
			}
			n = max(n, k+1)
		}
	}
	if s.Shift == NextInMonth || s.Shift == PreviousInMonth {
		n = max(n, 32)
	}
	return min(n, searchMarginDays)
}

// ruleStartingNear is the rule counted from close before a day. The library walks from the
// first day on, so a rule that is ten years old would be walked for ten years
// each time; days and weeks repeat, so whole periods can be left out.
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
	r, err := rrule.NewRRule(options)
	if err != nil {
		return s.rule
	}
	return r
}

func joinReasons(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "; " + b
}

// momentsOfDay turns a placed day into its times.
func (s *Schedule) momentsOfDay(day Moment) (out []Moment) {
	if day.Dropped {
		return []Moment{day}
	}
	for _, c := range s.At {
		m := day
		m.Clock = c
		ts, reason, ok := s.instants(day.Date, c)
		m.Reason = joinReasons(m.Reason, reason)
		if !ok {
			m.Dropped = true
			out = append(out, m)
			continue
		}
		for _, t := range ts {
			m.At = t
			out = append(out, m)
		}
	}
	return out
}

// instants are the times at which a zone's clocks show a day and a time.
func (s *Schedule) instants(d Date, c Clock) (ts []time.Time, reason string, ok bool) {
	localTime := d.utc().Add(time.Duration(c) * time.Second)
	ts = append(ts, s.instantsOfLocalTime(localTime)...)
	switch {
	case len(ts) == 1:
		return ts, "", true
	case len(ts) == 0 && s.Gap == GapSkip:
		return nil, fmt.Sprintf("the clocks skip %s %s", d, c), false
	case len(ts) == 0:
		return []time.Time{s.afterGap(localTime)}, fmt.Sprintf("the clocks skip %s %s", d, c), true
	}
	reason = fmt.Sprintf("the clocks show %s %s twice", d, c)
	switch s.Overlap {
	case OverlapFirst:
		return ts[:1], reason + ": the first", true
	case OverlapSecond:
		return ts[len(ts)-1:], reason + ": the second", true
	}
	return ts, reason + ": both", true
}

// instantsOfLocalTime finds the instants whose local time is wall, in order. Offsets within a
// day and a half round it are all that can apply: a zone may jump by a day.
func (s *Schedule) instantsOfLocalTime(localTime time.Time) (ts []time.Time) {
	seen := map[int]bool{}
	for h := -36; h <= 36; h++ {
		_, off := localTime.Add(time.Duration(h) * time.Hour).In(s.location).Zone()
		if seen[off] {
			continue
		}
		seen[off] = true
		t := localTime.Add(-time.Duration(off) * time.Second)
		if _, actual := t.In(s.location).Zone(); actual == off {
			ts = append(ts, t.In(s.location))
		}
	}
	slices.SortFunc(ts, func(a, b time.Time) int { return a.Compare(b) })
	return ts
}

// afterGap is the first instant whose local time is past wall, for a wall time
// that no clock shows: the moment of the change.
func (s *Schedule) afterGap(localTime time.Time) time.Time {
	local := func(t time.Time) time.Time {
		_, off := t.In(s.location).Zone()
		return t.Add(time.Duration(off) * time.Second)
	}
	lo, hi := localTime.Add(-40*time.Hour), localTime.Add(40*time.Hour)
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

// Between gives the moments in [from, to), and what fell out or would have been
// there, in order. The schedule must be checked.
func (s *Schedule) Between(from, to time.Time) ([]Moment, error) {
	days, err := s.shiftedDays(DateOf(from.In(s.location)).Add(-2), DateOf(to.In(s.location)).Add(2))
	var out []Moment
	for _, d := range days {
		for _, m := range s.momentsOfDay(d) {
			at := m.At
			if m.Dropped {
				at = time.Date(m.Date.Year, m.Date.Month, m.Date.Day, 0, 0, int(m.Clock), 0, s.location)
			}
			if !at.Before(from) && at.Before(to) {
				out = append(out, m)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Moment) int { return a.sortKey(s.location).Compare(b.sortKey(s.location)) })
	// A gap may put two times of a day on one instant: each instant is once.
	var last *Moment
	return slices.DeleteFunc(out, func(m Moment) bool {
		if m.Dropped {
			return false
		}
		if last != nil && last.At.Equal(m.At) {
			return true
		}
		last = &m
		return false
	}), err
}

func (m Moment) sortKey(zone *time.Location) time.Time {
	if m.Dropped {
		return time.Date(m.Date.Year, m.Date.Month, m.Date.Day, 0, 0, int(m.Clock), 0, zone)
	}
	return m.At
}

// horizonDays bounds the search for the next moment.
const horizonDays = 30 * 366

// Next is the first moment after a time. ok is false when there is none within
// thirty years.
func (s *Schedule) Next(after time.Time) (m Moment, ok bool) {
	from := after.Add(time.Nanosecond)
	for step, n := 8, 0; n < horizonDays; n, step = n+step, step*2 {
		to := from.AddDate(0, 0, step)
		ms, err := s.Between(from, to)
		if err != nil && len(ms) == 0 {
			return Moment{}, false
		}
		for _, m := range ms {
			if !m.Dropped {
				return m, true
			}
		}
		from = to
	}
	return Moment{}, false
}

// Midnight is the first instant of a day in the schedule's zone.
func (s *Schedule) Midnight(d Date) time.Time {
	if ts := s.instantsOfLocalTime(d.utc()); len(ts) > 0 {
		return ts[0]
	}
	return s.afterGap(d.utc())
}
