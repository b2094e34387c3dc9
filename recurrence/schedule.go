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
	Name     string  `toml:"name" json:"name"`
	Zone     string  `toml:"zone" json:"zone"` // of the IANA database
	Calendar string  `toml:"calendar" json:"calendar"`
	Rule     string  `toml:"rule" json:"rule"` // RFC 5545's RRULE, of days: FREQ from DAILY to YEARLY
	From     Date    `toml:"from" json:"from"` // the first day that counts, and what INTERVAL counts from
	Until    *Date   `toml:"until" json:"until,omitempty"`
	At       []Clock `toml:"at" json:"at"`
	Shift    Shift   `toml:"shift" json:"shift"`
	Gap      Gap     `toml:"gap" json:"gap"`
	Overlap  Overlap `toml:"overlap" json:"overlap"`

	cal  *Calendar
	zone *time.Location
	rule *rrule.RRule
}

// Moment is one time at which a schedule is due, or was, but for its calendar or
// a clock change.
type Moment struct {
	At      time.Time // in the schedule's zone; the zero time for what fell out
	Date    Date      // the day that it ends up on
	Clock   Clock
	Nominal []Date // the days that the rule names, in order
	Why     string // why it is not at its day and time, or nothing
	Fell    bool   // it fell out
}

// Key names a moment within its schedule: it stays the same however often and
// by whomever it is worked out.
func (m Moment) Key() string { return m.At.UTC().Format("20060102T150405Z") }

// Errors of schedules.
var (
	ErrZone = errors.New("is no time zone")
	ErrRule = errors.New("is no rule")
)

var ruleWords = []string{"FREQ", "INTERVAL", "COUNT", "BYDAY", "BYMONTHDAY", "BYYEARDAY", "BYWEEKNO", "BYMONTH", "BYSETPOS", "WKST"}

// Check says what is wrong with a schedule and makes it ready for use; calendars
// must be checked.
func (s *Schedule) Check(calendars map[string]*Calendar) error {
	if s.Name == "" {
		return errors.New("name is missing")
	}
	var err error
	if s.Zone == "" || s.Zone == "Local" {
		return fmt.Errorf("zone: %q %w", s.Zone, ErrZone)
	}
	if s.zone, err = time.LoadLocation(s.Zone); err != nil {
		return fmt.Errorf("zone: %q %w", s.Zone, ErrZone)
	}
	s.cal = &Calendar{Working: weekdays}
	if s.Calendar != "" {
		if s.cal = calendars[s.Calendar]; s.cal == nil {
			return fmt.Errorf("calendar: there is no %q", s.Calendar)
		}
	}
	if !s.cal.ready {
		if err := s.cal.Check(); err != nil {
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
	return s.checkRule()
}

func (s *Schedule) checkRule() error {
	for _, p := range strings.Split(s.Rule, ";") {
		name, _, _ := strings.Cut(p, "=")
		if !slices.Contains(ruleWords, name) {
			return fmt.Errorf("rule: %q %w of days (%s)", p, ErrRule, strings.Join(ruleWords, ", "))
		}
	}
	o, err := rrule.StrToROption(s.Rule)
	if err != nil {
		return fmt.Errorf("rule: %q %w: %v", s.Rule, ErrRule, err)
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
		return fmt.Errorf("rule: %q %w: %v", s.Rule, ErrRule, err)
	}
	return nil
}

// margin is how many days round a range are looked at: shifts go no further,
// moves are looked at by themselves, and zones differ by a day at most.
const margin = maxShift + 2

// days places the rule's days that may end up in [from, to].
func (s *Schedule) days(from, to Date) (out []Moment, err error) {
	back := 2 // where no shift can come from further away
	if s.Shift != Run && s.Shift != Skip {
		back = s.reach(from, to)
	}
	lo, hi := from.Add(-back), to.Add(back)
	for _, m := range s.cal.moves {
		if m.To.Compare(from) >= 0 && m.To.Compare(to) <= 0 {
			if m.From.Compare(lo) < 0 {
				lo = m.From
			}
			if m.From.Compare(hi) > 0 {
				hi = m.From
			}
		}
	}
	at := map[Date]int{}
	for _, t := range s.near(lo).Between(lo.utc(), hi.utc(), true) {
		d := DateOf(t)
		to2, why, ok, e := s.cal.place(d, s.Shift)
		if e != nil {
			err = fmt.Errorf("%s: %w", d, e)
			continue
		}
		if to2.Compare(from) < 0 || to2.Compare(to) > 0 {
			continue
		}
		if !ok {
			out = append(out, Moment{Date: d, Nominal: []Date{d}, Why: why, Fell: true})
			continue
		}
		if to2 != d {
			why = fmt.Sprintf("%s is moved to %s: %s", d, to2, why)
		}
		if i, is := at[to2]; is {
			// Two days that end up on one are one.
			out[i].Nominal = append(out[i].Nominal, d)
			out[i].Why = joinWhy(out[i].Why, why)
			continue
		}
		at[to2] = len(out)
		out = append(out, Moment{Date: to2, Nominal: []Date{d}, Why: why})
	}
	slices.SortStableFunc(out, func(a, b Moment) int { return a.Date.Compare(b.Date) })
	return out, err
}

// reach is how far days round a range may be moved: over the longest row of
// days off that touches it.
func (s *Schedule) reach(from, to Date) int {
	n := 0
	for _, edge := range []struct {
		d    Date
		step int
	}{{from, -1}, {to, 1}} {
		for x, k := edge.d, 0; k < margin; k++ {
			x = x.Add(edge.step)
			if w, _ := s.cal.IsWorking(x); w && k > 0 {
				n = max(n, k+1)
				break
			}
			n = max(n, k+1)
		}
	}
	if s.Shift == NextInMonth || s.Shift == PreviousInMonth {
		n = max(n, 32)
	}
	return min(n, margin)
}

// near is the rule counted from close before a day. The library walks from the
// first day on, so a rule that is ten years old would be walked for ten years
// each time; days and weeks repeat, so whole periods can be left out.
func (s *Schedule) near(d Date) *rrule.RRule {
	o := s.rule.OrigOptions
	period := max(1, o.Interval)
	switch {
	case o.Count > 0 || o.Freq != rrule.DAILY && o.Freq != rrule.WEEKLY:
		return s.rule
	case o.Freq == rrule.WEEKLY:
		period *= 7
	}
	k := int(d.utc().Sub(s.From.utc()).Hours()/24)/period - 1
	if k <= 0 {
		return s.rule
	}
	o.Dtstart = s.From.Add(k * period).utc()
	r, err := rrule.NewRRule(o)
	if err != nil {
		return s.rule
	}
	return r
}

func joinWhy(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "; " + b
}

// moments turns a placed day into its times.
func (s *Schedule) moments(day Moment) (out []Moment) {
	if day.Fell {
		return []Moment{day}
	}
	for _, c := range s.At {
		m := day
		m.Clock = c
		ts, why, ok := s.instants(day.Date, c)
		m.Why = joinWhy(m.Why, why)
		if !ok {
			m.Fell = true
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
func (s *Schedule) instants(d Date, c Clock) (ts []time.Time, why string, ok bool) {
	wall := d.utc().Add(time.Duration(c) * time.Second)
	ts = append(ts, s.shows(wall)...)
	switch {
	case len(ts) == 1:
		return ts, "", true
	case len(ts) == 0 && s.Gap == GapSkip:
		return nil, fmt.Sprintf("the clocks skip %s %s", d, c), false
	case len(ts) == 0:
		return []time.Time{s.afterGap(wall)}, fmt.Sprintf("the clocks skip %s %s", d, c), true
	}
	why = fmt.Sprintf("the clocks show %s %s twice", d, c)
	switch s.Overlap {
	case OverlapFirst:
		return ts[:1], why + ": the first", true
	case OverlapSecond:
		return ts[len(ts)-1:], why + ": the second", true
	}
	return ts, why + ": both", true
}

// shows finds the instants whose local time is wall, in order. Offsets within a
// day and a half round it are all that can apply: a zone may jump by a day.
func (s *Schedule) shows(wall time.Time) (ts []time.Time) {
	seen := map[int]bool{}
	for h := -36; h <= 36; h++ {
		_, off := wall.Add(time.Duration(h) * time.Hour).In(s.zone).Zone()
		if seen[off] {
			continue
		}
		seen[off] = true
		t := wall.Add(-time.Duration(off) * time.Second)
		if _, is := t.In(s.zone).Zone(); is == off {
			ts = append(ts, t.In(s.zone))
		}
	}
	slices.SortFunc(ts, func(a, b time.Time) int { return a.Compare(b) })
	return ts
}

// afterGap is the first instant whose local time is past wall, for a wall time
// that no clock shows: the moment of the change.
func (s *Schedule) afterGap(wall time.Time) time.Time {
	local := func(t time.Time) time.Time {
		_, off := t.In(s.zone).Zone()
		return t.Add(time.Duration(off) * time.Second)
	}
	lo, hi := wall.Add(-40*time.Hour), wall.Add(40*time.Hour)
	for hi.Sub(lo) > time.Second {
		mid := lo.Add(hi.Sub(lo) / 2).Truncate(time.Second)
		if local(mid).After(wall) {
			hi = mid
		} else {
			lo = mid
		}
	}
	return hi.In(s.zone)
}

// Between gives the moments in [from, to), and what fell out or would have been
// there, in order. The schedule must be checked.
func (s *Schedule) Between(from, to time.Time) ([]Moment, error) {
	days, err := s.days(DateOf(from.In(s.zone)).Add(-2), DateOf(to.In(s.zone)).Add(2))
	var out []Moment
	for _, d := range days {
		for _, m := range s.moments(d) {
			at := m.At
			if m.Fell {
				at = time.Date(m.Date.Year, m.Date.Month, m.Date.Day, 0, 0, int(m.Clock), 0, s.zone)
			}
			if !at.Before(from) && at.Before(to) {
				out = append(out, m)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Moment) int { return a.sortKey(s.zone).Compare(b.sortKey(s.zone)) })
	// A gap may put two times of a day on one instant: each instant is once.
	var last *Moment
	return slices.DeleteFunc(out, func(m Moment) bool {
		if m.Fell {
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
	if m.Fell {
		return time.Date(m.Date.Year, m.Date.Month, m.Date.Day, 0, 0, int(m.Clock), 0, zone)
	}
	return m.At
}

// horizon bounds the search for the next moment.
const horizon = 30 * 366

// Next is the first moment after a time. ok is false when there is none within
// thirty years.
func (s *Schedule) Next(after time.Time) (m Moment, ok bool) {
	from := after.Add(time.Nanosecond)
	for step, n := 8, 0; n < horizon; n, step = n+step, step*2 {
		to := from.AddDate(0, 0, step)
		ms, err := s.Between(from, to)
		if err != nil && len(ms) == 0 {
			return Moment{}, false
		}
		for _, m := range ms {
			if !m.Fell {
				return m, true
			}
		}
		from = to
	}
	return Moment{}, false
}

// Midnight is the first instant of a day in the schedule's zone.
func (s *Schedule) Midnight(d Date) time.Time {
	if ts := s.shows(d.utc()); len(ts) > 0 {
		return ts[0]
	}
	return s.afterGap(d.utc())
}
