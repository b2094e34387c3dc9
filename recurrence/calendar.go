// Package recurrence says when something recurs: rules of RFC 5545, calendars
// of working days with holidays, exceptions and moved days, and time zones with
// their clock changes. It is pure: equal inputs give equal moments, and it reads
// no clock. Zone data is embedded, so that members of one version agree.
//
// A rule names days. A calendar may move a day that is not a working day, or
// let it fall out. Times of day in a zone turn days into moments; what happens
// to a time that a clock change skips or repeats is the schedule's stated
// policy. Two days that end up on one are one: a schedule has each moment once.
package recurrence

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Date is a day of the calendar, in no zone.
type Date struct {
	Year  int
	Month time.Month
	Day   int
}

// ParseDate reads a date as YYYY-MM-DD.
func ParseDate(s string) (Date, error) {
	t, err := time.Parse(time.DateOnly, s)
	if err != nil {
		return Date{}, fmt.Errorf("%q is no date (YYYY-MM-DD)", s)
	}
	return DateOf(t), nil
}

// DateOf is the day of a time, in the time's own zone.
func DateOf(t time.Time) Date {
	y, m, d := t.Date()
	return Date{y, m, d}
}

func (d Date) utc() time.Time { return time.Date(d.Year, d.Month, d.Day, 0, 0, 0, 0, time.UTC) }

// Add is the day so many days later.
func (d Date) Add(days int) Date { return DateOf(d.utc().AddDate(0, 0, days)) }

// Weekday is the day of the week.
func (d Date) Weekday() time.Weekday { return d.utc().Weekday() }

// Compare orders days.
func (d Date) Compare(o Date) int {
	return cmp.Or(cmp.Compare(d.Year, o.Year), cmp.Compare(d.Month, o.Month), cmp.Compare(d.Day, o.Day))
}

func (d Date) String() string { return d.utc().Format(time.DateOnly) }

// UnmarshalText and MarshalText write dates as YYYY-MM-DD.
func (d *Date) UnmarshalText(b []byte) (err error) {
	*d, err = ParseDate(string(b))
	return err
}

// MarshalText writes a date.
func (d Date) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Clock is a time of day, in seconds from midnight.
type Clock int

// ParseClock reads HH:MM or HH:MM:SS.
func ParseClock(s string) (Clock, error) {
	for _, layout := range []string{"15:04", "15:04:05"} {
		if t, err := time.Parse(layout, s); err == nil {
			return Clock(t.Hour()*3600 + t.Minute()*60 + t.Second()), nil
		}
	}
	return 0, fmt.Errorf("%q is no time of day (HH:MM or HH:MM:SS)", s)
}

func (c Clock) String() string {
	if c%60 == 0 {
		return fmt.Sprintf("%02d:%02d", c/3600, c/60%60)
	}
	return fmt.Sprintf("%02d:%02d:%02d", c/3600, c/60%60, c%60)
}

// UnmarshalText and MarshalText write times of day as HH:MM.
func (c *Clock) UnmarshalText(b []byte) (err error) {
	*c, err = ParseClock(string(b))
	return err
}

// MarshalText writes a time of day.
func (c Clock) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Holidays is a named set of days: dates, or days of every year as MM-DD.
type Holidays struct {
	Name  string   `toml:"name"  json:"name"`
	Dates []string `toml:"dates" json:"dates"`
}

// Exception makes one day a working day or none, whatever else says.
type Exception struct {
	Date      Date   `toml:"date" json:"date"`
	IsWorking bool   `toml:"work" json:"work"`
	Reason    string `toml:"why"  json:"why"`
}

// Move shifts what is due on one day to another, whether or not either is a
// working day.
type Move struct {
	From   Date   `toml:"from" json:"from"`
	To     Date   `toml:"to"   json:"to"`
	Reason string `toml:"why"  json:"why"`
}

// Calendar tells working days. The zero value's are Monday to Friday.
type Calendar struct {
	Name       string      `toml:"name"       json:"name"`
	Working    []string    `toml:"working"    json:"working"` // mon ... sun
	Holidays   []Holidays  `toml:"holidays"   json:"holidays"`
	Exceptions []Exception `toml:"exceptions" json:"exceptions"`
	Moves      []Move      `toml:"moves"      json:"moves"`

	validated       bool
	workingWeekdays [7]bool
	holidayDates    map[Date]string
	yearlyHolidays  map[[2]int]string
	exceptionByDate map[Date]Exception
	moveByDate      map[Date]Move
}

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// Validate says what is wrong with a calendar and makes it ready for use.
func (c *Calendar) Validate() error {
	c.workingWeekdays, c.holidayDates, c.yearlyHolidays, c.exceptionByDate, c.moveByDate = [7]bool{}, map[Date]string{}, map[[2]int]string{}, map[Date]Exception{}, map[Date]Move{}
	working := c.Working
	if len(working) == 0 {
		working = weekdays[1:6]
	}
	for _, w := range working {
		i := slices.Index(weekdays, w)
		if i < 0 {
			return fmt.Errorf("working: %q is none of %s", w, strings.Join(weekdays, ", "))
		}
		c.workingWeekdays[i] = true
	}
	for i, h := range c.Holidays {
		if h.Name == "" {
			return fmt.Errorf("holidays[%d].name is missing", i)
		}
		for _, s := range h.Dates {
			if d, err := ParseDate(s); err == nil {
				c.holidayDates[d] = h.Name
				continue
			}
			month, day, ok := strings.Cut(s, "-")
			m, err1 := strconv.Atoi(month)
			d, err2 := strconv.Atoi(day)
			// The 29th of February is a day of leap years.
			if !ok || err1 != nil || err2 != nil || m < 1 || m > 12 || d < 1 ||
				DateOf(time.Date(2024, time.Month(m), d, 0, 0, 0, 0, time.UTC)).Month != time.Month(m) {
				return fmt.Errorf("holidays[%d].dates: %q is neither YYYY-MM-DD nor MM-DD", i, s)
			}
			c.yearlyHolidays[[2]int{m, d}] = h.Name
		}
	}
	for i, e := range c.Exceptions {
		if _, ok := c.exceptionByDate[e.Date]; ok {
			return fmt.Errorf("exceptions[%d]: %s is there twice", i, e.Date)
		}
		c.exceptionByDate[e.Date] = e
	}
	for i, m := range c.Moves {
		if _, ok := c.moveByDate[m.From]; ok {
			return fmt.Errorf("moves[%d]: %s is moved twice", i, m.From)
		}
		if m.From == m.To || m.From == (Date{}) || m.To == (Date{}) {
			return fmt.Errorf("moves[%d]: from and to must be two days", i)
		}
		c.moveByDate[m.From] = m
	}
	for i, m := range c.Moves {
		if _, ok := c.moveByDate[m.To]; ok {
			return fmt.Errorf("moves[%d]: %s is moved on: name the last day", i, m.To)
		}
	}
	c.validated = true
	return nil
}

// IsWorking tells whether a day is a working day, and why it is not.
func (c *Calendar) IsWorking(d Date) (ok bool, reason string) {
	if e, is := c.exceptionByDate[d]; is {
		if e.Reason == "" {
			e.Reason = "an exception"
		}
		return e.IsWorking, e.Reason
	}
	if h, is := c.holidayDates[d]; is {
		return false, h
	}
	if h, is := c.yearlyHolidays[[2]int{int(d.Month), d.Day}]; is {
		return false, h
	}
	if !c.workingWeekdays[d.Weekday()] {
		return false, d.Weekday().String()
	}
	return true, ""
}

// Shift is what happens to a day that is not a working day.
type Shift string

// The shifts. NextInMonth and PreviousInMonth turn round at the month's ends:
// what would leave the month goes to the nearest working day within it.
const (
	Run             Shift = "run"  // it stays: the calendar only moves days
	Skip            Shift = "skip" // it falls out
	Next            Shift = "next" // to the next working day
	Previous        Shift = "previous"
	NextInMonth     Shift = "next_in_month"
	PreviousInMonth Shift = "previous_in_month"
)

// maxShift bounds the search for a working day.
const maxShift = 366

var errNoWorkingDay = errors.New("no working day within a year")

// shift is where a day ends up, and why. ok is false when it falls out.
func (c *Calendar) shift(d Date, s Shift) (to Date, reason string, ok bool, err error) {
	if m, found := c.moveByDate[d]; found {
		reason = m.Reason
		if reason == "" {
			reason = "moved by the calendar"
		}
		return m.To, reason, true, nil
	}
	work, reason := c.IsWorking(d)
	switch {
	case work || s == Run:
		return d, "", true, nil
	case s == Skip:
		return d, reason, false, nil
	}
	search := func(step int) (Date, bool) {
		for x, n := d, 0; n < maxShift; n++ {
			if x = x.Add(step); s == NextInMonth || s == PreviousInMonth {
				if x.Month != d.Month {
					return d, false
				}
			}
			if w, _ := c.IsWorking(x); w {
				return x, true
			}
		}
		return d, false
	}
	step := 1
	if s == Previous || s == PreviousInMonth {
		step = -1
	}
	to, ok = search(step)
	if !ok && (s == NextInMonth || s == PreviousInMonth) {
		to, ok = search(-step)
	}
	if !ok {
		return d, reason, false, errNoWorkingDay
	}
	return to, reason, true, nil
}
