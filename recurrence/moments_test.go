package recurrence

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that the result is the same in every run.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "15"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "60"); err != nil {
		panic(err)
	}
	m.Run()
}

func mustParseDate(s string) Date {
	d, err := ParseDate(s)
	if err != nil {
		panic(err)
	}
	return d
}

// bruteForce is the reference implementation for a year's moments. It matches every day against the rule and
// searches day by day for the day that the calendar shifts it to. It finds instants by computing the zone's
// local time for every quarter of an hour.
type bruteForce struct {
	schedule    *Schedule
	calendar    *Calendar
	matchesRule func(Date) bool
}

func (b bruteForce) shift(d Date) (Date, bool) {
	for _, m := range b.calendar.Moves {
		if m.From == d {
			return m.To, true
		}
	}
	isWorking := func(x Date) bool { working, _ := b.calendar.IsWorking(x); return working }
	if isWorking(d) || b.schedule.Shift == Run {
		return d, true
	}
	next, prev := d, d
	for !isWorking(next) {
		next = next.Add(1)
	}
	for !isWorking(prev) {
		prev = prev.Add(-1)
	}
	switch b.schedule.Shift {
	case Next:
		return next, true
	case Previous:
		return prev, true
	case NextInMonth:
		if next.Month != d.Month {
			return prev, prev.Month == d.Month
		}
		return next, true
	case PreviousInMonth:
		if prev.Month != d.Month {
			return next, next.Month == d.Month
		}
		return prev, true
	}
	return d, false
}

// instantsByLocalTime returns every quarter of an hour in [from, to), keyed by the zone's local time.
func instantsByLocalTime(zone *time.Location, from, to time.Time) map[string][]time.Time {
	out := map[string][]time.Time{}
	for t := from; t.Before(to); t = t.Add(15 * time.Minute) {
		k := t.In(zone).Format("2006-01-02 15:04")
		out[k] = append(out[k], t)
	}
	return out
}

func yearRange(year int) (from, to time.Time) {
	return time.Date(year, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(year+1, 1, 1, 0, 0, 0, 0, time.UTC)
}

func (b bruteForce) moments(year int) []string {
	from, to := yearRange(year)
	instantsByClock := instantsByLocalTime(b.schedule.location, from.AddDate(0, 0, -3), to.AddDate(0, 0, 3))
	found := map[string]bool{}
	for d := range b.shiftedDays(from, to) {
		for _, c := range b.schedule.At {
			for _, t := range b.instants(d, c, instantsByClock, to) {
				if !t.Before(from) && t.Before(to) {
					found[t.UTC().Format(time.RFC3339)] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

func (b bruteForce) shiftedDays(from, to time.Time) map[Date]bool {
	days := map[Date]bool{}
	for d := DateOf(from).Add(-420); d.Compare(DateOf(to).Add(420)) < 0; d = d.Add(1) {
		if d.Compare(b.schedule.From) < 0 || !b.matchesRule(d) {
			continue
		}
		if shifted, ok := b.shift(d); ok {
			days[shifted] = true
		}
	}
	return days
}

func (b bruteForce) instants(d Date, c Clock, instantsByClock map[string][]time.Time, to time.Time) []time.Time {
	localTime := fmt.Sprintf("%s %s", d, c)
	instants := instantsByClock[localTime]
	switch {
	case len(instants) == 0 && b.schedule.Gap == GapAfter:
		// Return the first quarter of an hour whose local time is later.
		for t := d.utc().Add(-30 * time.Hour); t.Before(to.AddDate(0, 0, 2)); t = t.Add(15 * time.Minute) {
			if t.In(b.schedule.location).Format("2006-01-02 15:04") > localTime {
				return []time.Time{t}
			}
		}
	case len(instants) == 2 && b.schedule.Overlap == OverlapFirst:
		return instants[:1]
	case len(instants) == 2 && b.schedule.Overlap == OverlapSecond:
		return instants[1:]
	}
	return instants
}

// zones covers clock changes of an hour, of half an hour, at midnight and across the date line, and zones without
// changes.
var zones = []string{
	"Asia/Bangkok",
	"America/Los_Angeles",
	"America/Vancouver",
	"Australia/Lord_Howe",
	"Asia/Kathmandu",
	"America/Sao_Paulo",
	"Pacific/Apia",
	"Europe/London",
	"Asia/Kolkata",
	"UTC",
}

// For generated rules, calendars and zones over ten years, the moments equal those of the reference
// implementation: no moment is repeated or missing.
func TestMomentsEqualBruteForce(t *testing.T) {
	changed := 0
	rapid.Check(t, func(t *rapid.T) {
		year := rapid.IntRange(2010, 2019).Draw(t, "year")
		calendar := drawCalendar(t, year)
		schedule, matchesRule := drawSchedule(t, year)
		if err := calendar.Validate(); err != nil {
			t.Skip(err)
		}
		if err := schedule.Validate(map[string]*Calendar{"c": calendar}); err != nil {
			t.Fatal(err)
		}
		expected := bruteForce{schedule, calendar, matchesRule}.moments(year)
		from, to := yearRange(year)
		moments, err := schedule.Between(from, to)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, m := range moments {
			if m.Dropped {
				if m.Reason == "" {
					t.Fatalf("got %v dropped without a reason, want a reason", m)
				}
				continue
			}
			if m.Reason != "" {
				changed++
			}
			got = append(got, m.At.UTC().Format(time.RFC3339))
		}
		if !slices.Equal(got, expected) {
			t.Fatalf("%s %s in %s:\ngot  %v\nwant %v", schedule.Rule, schedule.Shift, schedule.Zone, got, expected)
		}
		if got := iterateNext(schedule, from, to, len(expected)); !slices.Equal(got, expected) {
			t.Fatalf("Next: got %v, want %v", got, expected)
		}
	})
	if changed < 100 {
		t.Errorf("got %d moments that differ from their nominal days and times, want at least 100", changed)
	}
}

// iterateNext returns the moments in [from, to) that Next yields, at most maxMoments+1 of them.
func iterateNext(s *Schedule, from, to time.Time, maxMoments int) (moments []string) {
	after := from.Add(-time.Nanosecond)
	for len(moments) <= maxMoments {
		m, ok := s.Next(after)
		if !ok || !m.At.Before(to) {
			break
		}
		moments = append(moments, m.At.UTC().Format(time.RFC3339))
		after = m.At
	}
	return moments
}

func drawCalendar(t *rapid.T, year int) *Calendar {
	c := &Calendar{Name: "c"}
	for range rapid.IntRange(0, 12).Draw(t, "holidays") {
		date := time.Date(year, 1, 1+rapid.IntRange(0, 364).Draw(t, "day"), 0, 0, 0, 0, time.UTC)
		layout := rapid.SampledFrom([]string{"2006-01-02", "01-02"}).Draw(t, "layout")
		c.Holidays = append(c.Holidays, Holidays{Name: "h", Dates: []string{date.Format(layout)}})
	}
	drawDay := func(label string) Date {
		return DateOf(time.Date(year, 1, 1+rapid.IntRange(-5, 369).Draw(t, label), 0, 0, 0, 0, time.UTC))
	}
	for range rapid.IntRange(0, 3).Draw(t, "exceptions") {
		d := drawDay("exception")
		if !slices.ContainsFunc(c.Exceptions, func(e Exception) bool { return e.Date == d }) {
			c.Exceptions = append(c.Exceptions, Exception{Date: d, IsWorking: rapid.Bool().Draw(t, "working")})
		}
	}
	if from, to := drawDay("from"), drawDay("to"); from != to && rapid.Bool().Draw(t, "move") {
		c.Moves = []Move{{From: from, To: to}}
	}
	return c
}

// drawSchedule returns a schedule with calendar c, and a function that reports whether its rule selects a day.
func drawSchedule(t *rapid.T, year int) (s *Schedule, matchesRule func(Date) bool) {
	zone := rapid.SampledFrom(zones).Draw(t, "zone")
	age, startDay := rapid.IntRange(0, 2).Draw(t, "age"), rapid.IntRange(1, 28).Draw(t, "start")
	s = &Schedule{
		Name:     "s",
		Zone:     zone,
		Calendar: "c",
		From:     mustParseDate(fmt.Sprintf("%d-01-%02d", year-age, startDay)),
		Shift:    rapid.SampledFrom([]Shift{Run, Skip, Next, Previous, NextInMonth, PreviousInMonth}).Draw(t, "shift"),
		Gap:      rapid.SampledFrom([]Gap{GapAfter, GapSkip}).Draw(t, "gap"),
		Overlap:  rapid.SampledFrom([]Overlap{OverlapFirst, OverlapSecond, OverlapBoth}).Draw(t, "overlap"),
	}
	for range rapid.IntRange(1, 3).Draw(t, "times") {
		s.At = append(s.At, Clock(rapid.IntRange(0, 95).Draw(t, "quarter")*900))
	}
	if rapid.Bool().Draw(t, "night") {
		s.At = append(s.At, Clock(rapid.IntRange(0, 14).Draw(t, "quarter")*900)) // the hours of clock changes
	}
	interval := rapid.IntRange(1, 4).Draw(t, "interval")
	switch rapid.IntRange(0, 3).Draw(t, "rule") {
	case 0:
		s.Rule = fmt.Sprintf("FREQ=DAILY;INTERVAL=%d", interval)
		return s, func(d Date) bool { return int(d.utc().Sub(s.From.utc()).Hours()/24)%interval == 0 }
	case 1:
		weekday := rapid.IntRange(0, 6).Draw(t, "weekday")
		s.Rule = "FREQ=WEEKLY;BYDAY=" + []string{"SU", "MO", "TU", "WE", "TH", "FR", "SA"}[weekday]
		return s, func(d Date) bool { return int(d.Weekday()) == weekday }
	case 2:
		day := rapid.SampledFrom([]int{1, 15, 29, 30, 31, -1}).Draw(t, "monthday")
		s.Rule = fmt.Sprintf("FREQ=MONTHLY;BYMONTHDAY=%d", day)
		return s, func(d Date) bool { return d.Day == day || day == -1 && d.Add(1).Day == 1 }
	}
	s.Rule = "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=29"
	return s, func(d Date) bool { return d.Month == 2 && d.Day == 29 }
}

// The expected moments around clock changes, holidays and leap days were computed by hand.
func TestMomentsAroundClockChangesAndHolidays(t *testing.T) {
	const (
		daily      = `rule = "FREQ=DAILY"` + "\n"
		losAngeles = `zone = "America/Los_Angeles"` + "\n" + daily
		calendar   = `
[[calendar]]
name = "c"
working = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"]
holidays = [{name = "h", dates = ["2027-03-14"]}]
[[schedule]]
name = "s"
from = "2010-01-01"
`
	)
	for _, c := range []struct{ name, text, from, to, expected string }{
		{
			"skipped hour", losAngeles + `at = ["02:30"]`,
			"2027-03-14", "2027-03-15", "2027-03-14T03:00:00-07:00",
		},
		{
			"skipped hour, dropped", losAngeles + `at = ["02:30"]` + "\n" + `gap = "skip"`,
			"2027-03-14", "2027-03-15", "",
		},
		{
			"repeated hour", losAngeles + `at = ["01:30"]`,
			"2027-11-07", "2027-11-08", "2027-11-07T01:30:00-07:00",
		},
		{
			"repeated hour, second", losAngeles + `at = ["01:30"]` + "\n" + `overlap = "second"`,
			"2027-11-07", "2027-11-08", "2027-11-07T01:30:00-08:00",
		},
		{
			"repeated hour, both", losAngeles + `at = ["01:30"]` + "\n" + `overlap = "both"`,
			"2027-11-07", "2027-11-08", "2027-11-07T01:30:00-07:00 2027-11-07T01:30:00-08:00",
		},
		{
			"change of half an hour", `zone = "Australia/Lord_Howe"` + "\n" + daily + `at = ["02:15"]`,
			"2027-10-03", "2027-10-04", "2027-10-03T02:30:00+11:00",
		},
		{
			"skipped day", `zone = "Pacific/Apia"` + "\n" + daily + `at = ["09:00"]`, "2011-12-29", "2012-01-01",
			"2011-12-29T09:00:00-10:00 2011-12-31T00:00:00+14:00 2011-12-31T09:00:00+14:00",
		},
		{
			"two times in one gap", losAngeles + `at = ["02:15", "02:30", "03:00"]`,
			"2027-03-14", "2027-03-15", "2027-03-14T03:00:00-07:00",
		},
		{
			"leap day",
			`zone = "Asia/Bangkok"` + "\n" + `rule = "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=29"` + "\n" + `at = ["12:00"]`,
			"2026-01-01", "2033-01-01", "2028-02-29T12:00:00+07:00 2032-02-29T12:00:00+07:00",
		},
		{
			"holiday on a clock change",
			losAngeles + `at = ["02:30"]` + "\n" + `calendar = "c"` + "\n" + `shift = "next"`,
			"2027-03-13", "2027-03-16", "2027-03-13T02:30:00-08:00 2027-03-15T02:30:00-07:00",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, err := ParseFile([]byte(calendar + c.text))
			if err != nil {
				t.Fatal(err)
			}
			s := f.Schedules[0]
			midnight := func(text string) time.Time {
				d := mustParseDate(text)
				return time.Date(d.Year, d.Month, d.Day, 0, 0, 0, 0, s.location)
			}
			moments, err := s.Between(midnight(c.from), midnight(c.to))
			if err != nil {
				t.Error(err)
			}
			var got []string
			for _, m := range moments {
				if !m.Dropped {
					got = append(got, m.At.Format(time.RFC3339))
				}
			}
			if strings.Join(got, " ") != c.expected {
				t.Errorf("got %v, want %s", got, c.expected)
			}
		})
	}
}

func TestInvalidFileIsRejectedNamingTheField(t *testing.T) {
	const valid = `[[schedule]]
name = "s"
zone = "UTC"
rule = "FREQ=DAILY"
from = "2027-01-01"
at = ["01:00"]
`
	if _, err := ParseFile([]byte(valid)); err != nil {
		t.Errorf("valid file: got error %v, want none", err)
	}
	replaced := func(old, with string) string { return strings.Replace(valid, old, with, 1) }
	calendar := func(fields string) string { return "[[calendar]]\nname = \"c\"\n" + fields + "\n" }
	movedOn := `moves = [{from = "2027-01-01", to = "2027-01-02"}, {from = "2027-01-02", to = "2027-01-03"}]`
	for _, c := range []struct{ name, text, expected string }{
		{"unknown field", valid + "att = 1\n", "line 7 column 1: schedule.att is no field"},
		{"invalid date", replaced("2027-01-01", "2027-02-30"), "line 5"},
		{"unknown zone", replaced("UTC", "Mars"), `schedule[0] s: zone: "Mars" is no time zone`},
		{"hourly rule", replaced("DAILY", "HOURLY"), "FREQ must be DAILY"},
		{"rule with hours", replaced("DAILY", "DAILY;BYHOUR=1"), `"BYHOUR=1" is no rule of days`},
		{"unknown frequency", replaced("DAILY", "SOMETIMES"), "is no rule"},
		{"unknown shift", valid + "shift = \"up\"\n", `shift: "up" is none of run, skip`},
		{"unknown calendar", valid + "calendar = \"c\"\n", `calendar: there is no "c"`},
		{"repeated name", valid + valid, "schedule s is there twice"},
		{"unknown weekday", calendar(`working = ["monday"]`), `calendar c: working: "monday" is none of`},
		{"invalid holiday", calendar(`holidays = [{name = "h", dates = ["02-30"]}]`), `"02-30" is neither`},
		{"chained moves", calendar(movedOn), "is moved on"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseFile([]byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.expected) {
				t.Errorf("got error %v, want one that contains %q", err, c.expected)
			}
		})
	}
}

// A calendar without a working day results in an error instead of an endless search.
func TestCalendarWithoutWorkingDayReturnsError(t *testing.T) {
	c := &Calendar{Name: "c", Working: []string{"mon"}}
	for d := mustParseDate("2027-01-01"); d.Year < 2030; d = d.Add(1) {
		if d.Weekday() == time.Monday {
			c.Exceptions = append(c.Exceptions, Exception{Date: d})
		}
	}
	s := &Schedule{
		Name:     "s",
		Zone:     "UTC",
		Calendar: "c",
		Rule:     "FREQ=DAILY",
		From:     mustParseDate("2027-01-01"),
		At:       []Clock{0},
		Shift:    Next,
	}
	if err := s.Validate(map[string]*Calendar{"c": c}); err != nil {
		t.Fatal(err)
	}
	_, err := s.Between(mustParseDate("2028-01-01").utc(), mustParseDate("2028-01-03").utc())
	if !errors.Is(err, errNoWorkingDay) || !strings.Contains(err.Error(), "no working day") {
		t.Errorf("got error %v, want %v", err, errNoWorkingDay)
	}
}

func BenchmarkNext(b *testing.B) {
	s := &Schedule{
		Name: "s",
		Zone: "Asia/Bangkok",
		Rule: "FREQ=DAILY",
		From: mustParseDate("2017-01-01"),
		At:   []Clock{3600},
	}
	if err := s.Validate(nil); err != nil {
		b.Fatal(err)
	}
	at := mustParseDate("2027-01-01").utc()
	for b.Loop() {
		m, _ := s.Next(at)
		at = m.At
	}
}
