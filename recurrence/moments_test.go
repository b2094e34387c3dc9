package recurrence

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed: the same inputs, the same verdict, every time.
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

// bruteForce works a year out the slow way: it asks of every day whether the rule
// names it, walks day by day to where the calendar puts it, and finds instants
// by looking at the zone's clock each quarter of an hour.
type bruteForce struct {
	schedule    *Schedule
	calendar    *Calendar
	matchesRule func(Date) bool
}

func (o bruteForce) shift(d Date) (Date, bool) {
	for _, m := range o.calendar.Moves {
		if m.From == d {
			return m.To, true
		}
	}
	work := func(x Date) bool { ok, _ := o.calendar.IsWorking(x); return ok }
	if work(d) || o.schedule.Shift == Run {
		return d, true
	}
	next, prev := d, d
	for !work(next) {
		next = next.Add(1)
	}
	for !work(prev) {
		prev = prev.Add(-1)
	}
	switch o.schedule.Shift {
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

// instantsByLocalTime lists what a zone's clock shows, each quarter of an hour.
func instantsByLocalTime(zone *time.Location, from, to time.Time) map[string][]time.Time {
	out := map[string][]time.Time{}
	for t := from; t.Before(to); t = t.Add(15 * time.Minute) {
		k := t.In(zone).Format("2006-01-02 15:04")
		out[k] = append(out[k], t)
	}
	return out
}

func (o bruteForce) moments(year int) []string {
	from, to := time.Date(year, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(year+1, 1, 1, 0, 0, 0, 0, time.UTC)
	instantsByClock := instantsByLocalTime(o.schedule.location, from.AddDate(0, 0, -3), to.AddDate(0, 0, 3))
	days := map[Date]bool{}
	for d := DateOf(from).Add(-420); d.Compare(DateOf(to).Add(420)) < 0; d = d.Add(1) {
		if d.Compare(o.schedule.From) >= 0 && o.matchesRule(d) {
			if x, ok := o.shift(d); ok {
				days[x] = true
			}
		}
	}
	found := map[string]bool{}
	for d := range days {
		for _, c := range o.schedule.At {
			k := fmt.Sprintf("%s %s", d, c)
			ts := instantsByClock[k]
			switch {
			case len(ts) == 0 && o.schedule.Gap == GapAfter:
				// The first quarter whose clock is past it.
				for t := d.utc().Add(-30 * time.Hour); t.Before(to.AddDate(0, 0, 2)); t = t.Add(15 * time.Minute) {
					if t.In(o.schedule.location).Format("2006-01-02 15:04") > k {
						ts = []time.Time{t}
						break
					}
				}
			case len(ts) == 2 && o.schedule.Overlap == OverlapFirst:
				ts = ts[:1]
			case len(ts) == 2 && o.schedule.Overlap == OverlapSecond:
				ts = ts[1:]
			}
			for _, t := range ts {
				if !t.Before(from) && t.Before(to) {
					found[t.UTC().Format(time.RFC3339)] = true
				}
			}
		}
	}
	var out []string
	for k := range found {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Zones with changes of an hour and of half an hour, at midnight, across a date,
// and without any.
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

// Ten years of generated rules, calendars and zones equal the slow way: no
// moment twice, none missing.
func TestMomentsEqualBruteForce(t *testing.T) {
	changed := 0
	rapid.Check(t, func(t *rapid.T) {
		year := rapid.IntRange(2010, 2019).Draw(t, "year")
		c := &Calendar{Name: "c"}
		for range rapid.IntRange(0, 12).Draw(t, "holidays") {
			c.Holidays = append(
				c.Holidays,
				Holidays{
					Name: "h",
					Dates: []string{
						time.Date(
							year,
							1,
							1+rapid.IntRange(0, 364).Draw(t, "day"),
							0,
							0,
							0,
							0,
							time.UTC,
						).Format(
							rapid.SampledFrom([]string{"2006-01-02", "01-02"}).Draw(t, "kind"),
						),
					},
				},
			)
		}
		day := func(name string) Date {
			return DateOf(time.Date(year, 1, 1+rapid.IntRange(-5, 369).Draw(t, name), 0, 0, 0, 0, time.UTC))
		}
		for range rapid.IntRange(0, 3).Draw(t, "exceptions") {
			if d := day("exception"); !slices.ContainsFunc(c.Exceptions, func(e Exception) bool { return e.Date == d }) {
				c.Exceptions = append(c.Exceptions, Exception{Date: d, IsWorking: rapid.Bool().Draw(t, "work")})
			}
		}
		if from, to := day("from"), day("to"); from != to && rapid.Bool().Draw(t, "move") {
			c.Moves = []Move{{From: from, To: to}}
		}
		s := &Schedule{
			Name:     "s",
			Zone:     rapid.SampledFrom(zones).Draw(t, "zone"),
			Calendar: "c",
			From: mustParseDate(
				fmt.Sprintf("%d-01-%02d", year-rapid.IntRange(0, 2).Draw(t, "age"), rapid.IntRange(1, 28).Draw(t, "start")),
			),
			Shift:   rapid.SampledFrom([]Shift{Run, Skip, Next, Previous, NextInMonth, PreviousInMonth}).Draw(t, "shift"),
			Gap:     rapid.SampledFrom([]Gap{GapAfter, GapSkip}).Draw(t, "gap"),
			Overlap: rapid.SampledFrom([]Overlap{OverlapFirst, OverlapSecond, OverlapBoth}).Draw(t, "overlap"),
		}
		for range rapid.IntRange(1, 3).Draw(t, "times") {
			s.At = append(s.At, Clock(rapid.IntRange(0, 95).Draw(t, "quarter")*900))
		}
		if rapid.Bool().Draw(t, "night") {
			s.At = append(s.At, Clock(rapid.IntRange(0, 14).Draw(t, "quarter")*900)) // where clocks change
		}
		var hits func(Date) bool
		n := rapid.IntRange(1, 4).Draw(t, "interval")
		switch rapid.IntRange(0, 3).Draw(t, "rule") {
		case 0:
			s.Rule = fmt.Sprintf("FREQ=DAILY;INTERVAL=%d", n)
			hits = func(d Date) bool { return int(d.utc().Sub(s.From.utc()).Hours()/24)%n == 0 }
		case 1:
			w := rapid.IntRange(0, 6).Draw(t, "weekday")
			s.Rule = "FREQ=WEEKLY;BYDAY=" + []string{"SU", "MO", "TU", "WE", "TH", "FR", "SA"}[w]
			hits = func(d Date) bool { return int(d.Weekday()) == w }
		case 2:
			m := rapid.SampledFrom([]int{1, 15, 29, 30, 31, -1}).Draw(t, "monthday")
			s.Rule = fmt.Sprintf("FREQ=MONTHLY;BYMONTHDAY=%d", m)
			hits = func(d Date) bool { return d.Day == m || m == -1 && d.Add(1).Day == 1 }
		default:
			s.Rule = "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=29"
			hits = func(d Date) bool { return d.Month == 2 && d.Day == 29 }
		}
		if err := c.Validate(); err != nil {
			t.Skip(err)
		}
		if err := s.Validate(map[string]*Calendar{"c": c}); err != nil {
			t.Fatal(err)
		}
		want := bruteForce{s, c, hits}.moments(year)
		from, to := time.Date(year, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(year+1, 1, 1, 0, 0, 0, 0, time.UTC)
		ms, err := s.Between(from, to)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, m := range ms {
			if m.Dropped {
				if m.Reason == "" {
					t.Fatalf("%v fell out for no reason", m)
				}
				continue
			}
			if m.Reason != "" {
				changed++
			}
			got = append(got, m.At.UTC().Format(time.RFC3339))
		}
		if !slices.Equal(got, want) {
			t.Fatalf("%s %s in %s:\ngot  %v\nwant %v", s.Rule, s.Shift, s.Zone, got, want)
		}
		// Next walks the same moments, one after the other.
		at, walked := from.Add(-time.Nanosecond), []string(nil)
		for len(walked) <= len(want) {
			m, ok := s.Next(at)
			if !ok || !m.At.Before(to) {
				break
			}
			walked = append(walked, m.At.UTC().Format(time.RFC3339))
			at = m.At
		}
		if !slices.Equal(walked, want) {
			t.Fatalf("Next walks %v, not %v", walked, want)
		}
	})
	if changed < 100 {
		t.Errorf("%d moments were moved: the generator does not try enough", changed)
	}
}

// The hard days, each by hand.
func TestMomentsAroundClockChangesAndHolidays(t *testing.T) {
	for _, c := range []struct{ name, text, from, to, expected string }{
		{"a skipped hour", `zone = "America/Los_Angeles"` + "\n" + `rule = "FREQ=DAILY"` + "\n" + `at = ["02:30"]`, "2027-03-14", "2027-03-15", "2027-03-14T03:00:00-07:00"},
		{"a skipped hour, skipped", `zone = "America/Los_Angeles"` + "\n" + `rule = "FREQ=DAILY"` + "\n" + `at = ["02:30"]` + "\n" + `gap = "skip"`, "2027-03-14", "2027-03-15", ""},
		{"a repeated hour", `zone = "America/Los_Angeles"` + "\n" + `rule = "FREQ=DAILY"` + "\n" + `at = ["01:30"]`, "2027-11-07", "2027-11-08", "2027-11-07T01:30:00-07:00"},
		{"a repeated hour, second", `zone = "America/Los_Angeles"` + "\n" + `rule = "FREQ=DAILY"` + "\n" + `at = ["01:30"]` + "\n" + `overlap = "second"`, "2027-11-07", "2027-11-08", "2027-11-07T01:30:00-08:00"},
		{"a repeated hour, both", `zone = "America/Los_Angeles"` + "\n" + `rule = "FREQ=DAILY"` + "\n" + `at = ["01:30"]` + "\n" + `overlap = "both"`, "2027-11-07", "2027-11-08", "2027-11-07T01:30:00-07:00 2027-11-07T01:30:00-08:00"},
		{"half an hour", `zone = "Australia/Lord_Howe"` + "\n" + `rule = "FREQ=DAILY"` + "\n" + `at = ["02:15"]`, "2027-10-03", "2027-10-04", "2027-10-03T02:30:00+11:00"},
		{"a day that never was", `zone = "Pacific/Apia"` + "\n" + `rule = "FREQ=DAILY"` + "\n" + `at = ["09:00"]`, "2011-12-29", "2012-01-01", "2011-12-29T09:00:00-10:00 2011-12-31T00:00:00+14:00 2011-12-31T09:00:00+14:00"},
		{"two times in one gap", `zone = "America/Los_Angeles"` + "\n" + `rule = "FREQ=DAILY"` + "\n" + `at = ["02:15", "02:30", "03:00"]`, "2027-03-14", "2027-03-15", "2027-03-14T03:00:00-07:00"},
		{"a leap day", `zone = "Asia/Bangkok"` + "\n" + `rule = "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=29"` + "\n" + `at = ["12:00"]`, "2026-01-01", "2033-01-01", "2028-02-29T12:00:00+07:00 2032-02-29T12:00:00+07:00"},
		{"a holiday on a clock change", `zone = "America/Los_Angeles"` + "\n" + `rule = "FREQ=DAILY"` + "\n" + `at = ["02:30"]` + "\n" + `calendar = "c"` + "\n" + `shift = "next"`, "2027-03-13", "2027-03-16", "2027-03-13T02:30:00-08:00 2027-03-15T02:30:00-07:00"},
	} {
		f, err := ParseFile(
			[]byte(
				"[[calendar]]\nname = \"c\"\nworking = [\"mon\", \"tue\", \"wed\", \"thu\", \"fri\", \"sat\", \"sun\"]\nholidays = [{name = \"h\", dates = [\"2027-03-14\"]}]\n[[schedule]]\nname = \"s\"\nfrom = \"2010-01-01\"\n" + c.text,
			),
		)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		s := f.Schedules[0]
		at := func(d string) time.Time {
			return time.Date(mustParseDate(d).Year, mustParseDate(d).Month, mustParseDate(d).Day, 0, 0, 0, 0, s.location)
		}
		ms, err := s.Between(at(c.from), at(c.to))
		var got []string
		for _, m := range ms {
			if !m.Dropped {
				got = append(got, m.At.Format(time.RFC3339))
			}
		}
		if err != nil || strings.Join(got, " ") != c.expected {
			t.Errorf("%s: %v, %v, not %s", c.name, got, err, c.expected)
		}
	}
}

func TestInvalidFileIsRejectedNamingTheField(t *testing.T) {
	good := "[[schedule]]\nname = \"s\"\nzone = \"UTC\"\nrule = \"FREQ=DAILY\"\nfrom = \"2027-01-01\"\nat = [\"01:00\"]\n"
	for _, c := range []struct{ text, expectedErr string }{
		{good, ""},
		{good + "att = 1\n", "line 7 column 1: schedule.att is no field"},
		{strings.Replace(good, "2027-01-01", "2027-02-30", 1), "line 5"},
		{strings.Replace(good, "UTC", "Mars", 1), `schedule[0] s: zone: "Mars" is no time zone`},
		{strings.Replace(good, "DAILY", "HOURLY", 1), "FREQ must be DAILY"},
		{strings.Replace(good, "DAILY", "DAILY;BYHOUR=1", 1), `"BYHOUR=1" is no rule of days`},
		{strings.Replace(good, "DAILY", "SOMETIMES", 1), "is no rule"},
		{good + "shift = \"up\"\n", `shift: "up" is none of run, skip`},
		{good + "calendar = \"c\"\n", `calendar: there is no "c"`},
		{good + good, "schedule s is there twice"},
		{"[[calendar]]\nname = \"c\"\nworking = [\"monday\"]\n", `calendar c: working: "monday" is none of`},
		{"[[calendar]]\nname = \"c\"\nholidays = [{name = \"h\", dates = [\"02-30\"]}]\n", `"02-30" is neither`},
		{"[[calendar]]\nname = \"c\"\nmoves = [{from = \"2027-01-01\", to = \"2027-01-02\"}, {from = \"2027-01-02\", to = \"2027-01-03\"}]\n", "is moved on"},
	} {
		_, err := ParseFile([]byte(c.text))
		if c.expectedErr == "" && err != nil ||
			c.expectedErr != "" && (err == nil || !strings.Contains(err.Error(), c.expectedErr)) {
			t.Errorf("%v, not %q", err, c.expectedErr)
		}
	}
}

// A calendar without a working day is an error, not a search without end.
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
	if _, err := s.Between(mustParseDate("2028-01-01").utc(), mustParseDate("2028-01-03").utc()); err == nil ||
		!strings.Contains(err.Error(), "no working day") {
		t.Errorf("an empty calendar gives %v", err)
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
