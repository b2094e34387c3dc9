// Package recurrence computes the times at which schedules are due. It supports recurrence rules of RFC 5545,
// calendars of working days with holidays, exceptions and moved days, and time zones with clock changes. It is
// pure: equal inputs give equal results, and it reads no clock. Time zone data is embedded, so that members of
// one release agree regardless of the data installed on their hosts.
//
// A rule selects days. A calendar may shift or drop a day that is not a working day. Times of day in a time
// zone turn days into moments. The schedule's policies apply to times of day that a clock change skips (Gap) or
// repeats (Overlap):
//
//	rule, From, Until   ->  nominal days
//	Calendar, Shift     ->  shifted or dropped days; days that are shifted to the same day are merged
//	At, Zone            ->  moments
//	Gap, Overlap        ->  none, one or two instants for a time of day
//
// A schedule therefore contains each moment once, and Moment.Key identifies a moment independently of the
// process that computes it. Dropped days and times are reported with a reason. Values must be validated before
// use (ParseFile, ValidateAll); after that they are read-only and safe for concurrent use.
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

// Holidays is a named set of days. Each day is a date (YYYY-MM-DD) or recurs every year (MM-DD).
type Holidays struct {
	Name  string   `toml:"name"  json:"name"`
	Dates []string `toml:"dates" json:"dates"`
}

// Exception makes one day a working day or a day off. It takes precedence over holidays and weekdays.
type Exception struct {
	Date      Date   `toml:"date" json:"date"`
	IsWorking bool   `toml:"work" json:"work"`
	Reason    string `toml:"why"  json:"why"`
}

// Move shifts the moments of one day to another day, regardless of whether either is a working day.
type Move struct {
	From   Date   `toml:"from" json:"from"`
	To     Date   `toml:"to"   json:"to"`
	Reason string `toml:"why"  json:"why"`
}

// Calendar defines working days; if Working is empty, they are Monday to Friday. A calendar is ready for use
// after Validate and may then be read concurrently.
type Calendar struct {
	Name       string      `toml:"name"       json:"name"`
	Working    []string    `toml:"working"    json:"working"` // mon ... sun
	Holidays   []Holidays  `toml:"holidays"   json:"holidays"`
	Exceptions []Exception `toml:"exceptions" json:"exceptions"`
	Moves      []Move      `toml:"moves"      json:"moves"`

	validated       bool
	workingWeekdays [7]bool
	holidayDates    map[Date]string
	yearlyHolidays  map[yearDay]string
	exceptionByDate map[Date]Exception
	moveByDate      map[Date]Move
}

// yearDay is a month and day, without a year.
type yearDay struct {
	month time.Month
	day   int
}

// weekdays lists the names that Working may contain, in the order of time.Weekday.
var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// Validate makes the calendar ready for use, or returns an error that names the first invalid field.
func (c *Calendar) Validate() error {
	if err := c.indexWorking(); err != nil {
		return err
	}
	if err := c.indexHolidays(); err != nil {
		return err
	}
	if err := c.indexExceptions(); err != nil {
		return err
	}
	if err := c.indexMoves(); err != nil {
		return err
	}
	c.validated = true
	return nil
}

func (c *Calendar) indexWorking() error {
	c.workingWeekdays = [7]bool{}
	working := c.Working
	if len(working) == 0 {
		working = weekdays[time.Monday : time.Friday+1]
	}
	for _, name := range working {
		i := slices.Index(weekdays, name)
		if i < 0 {
			return fmt.Errorf("working: %q is none of %s", name, strings.Join(weekdays, ", "))
		}
		c.workingWeekdays[i] = true
	}
	return nil
}

func (c *Calendar) indexHolidays() error {
	c.holidayDates, c.yearlyHolidays = map[Date]string{}, map[yearDay]string{}
	for i, holidays := range c.Holidays {
		if holidays.Name == "" {
			return fmt.Errorf("holidays[%d].name is missing", i)
		}
		for _, text := range holidays.Dates {
			if date, err := ParseDate(text); err == nil {
				c.holidayDates[date] = holidays.Name
				continue
			}
			day, ok := parseYearDay(text)
			if !ok {
				return fmt.Errorf("holidays[%d].dates: %q is neither YYYY-MM-DD nor MM-DD", i, text)
			}
			c.yearlyHolidays[day] = holidays.Name
		}
	}
	return nil
}

// parseYearDay parses MM-DD. February 29 is valid since it occurs in leap years.
func parseYearDay(text string) (yearDay, bool) {
	monthText, dayText, found := strings.Cut(text, "-")
	month, monthErr := strconv.Atoi(monthText)
	day, dayErr := strconv.Atoi(dayText)
	if !found || monthErr != nil || dayErr != nil {
		return yearDay{}, false
	}
	if month < 1 || month > 12 || day < 1 {
		return yearDay{}, false
	}
	const leapYear = 2024
	inLeapYear := time.Date(leapYear, time.Month(month), day, 0, 0, 0, 0, time.UTC)
	return yearDay{time.Month(month), day}, inLeapYear.Month() == time.Month(month)
}

func (c *Calendar) indexExceptions() error {
	c.exceptionByDate = map[Date]Exception{}
	for i, e := range c.Exceptions {
		if _, exists := c.exceptionByDate[e.Date]; exists {
			return fmt.Errorf("exceptions[%d]: %s is there twice", i, e.Date)
		}
		c.exceptionByDate[e.Date] = e
	}
	return nil
}

func (c *Calendar) indexMoves() error {
	c.moveByDate = map[Date]Move{}
	for i, m := range c.Moves {
		if _, exists := c.moveByDate[m.From]; exists {
			return fmt.Errorf("moves[%d]: %s is moved twice", i, m.From)
		}
		if m.From == m.To || m.From == (Date{}) || m.To == (Date{}) {
			return fmt.Errorf("moves[%d]: from and to must be two days", i)
		}
		c.moveByDate[m.From] = m
	}
	for i, m := range c.Moves {
		if _, exists := c.moveByDate[m.To]; exists {
			return fmt.Errorf("moves[%d]: %s is moved on: name the last day", i, m.To)
		}
	}
	return nil
}

// IsWorking reports whether a day is a working day, and the reason if it is a day off. For an exception it
// returns the reason in both cases. The calendar must be validated.
func (c *Calendar) IsWorking(d Date) (working bool, reason string) {
	if e, exists := c.exceptionByDate[d]; exists {
		return e.IsWorking, cmp.Or(e.Reason, "an exception")
	}
	if name, exists := c.holidayDates[d]; exists {
		return false, name
	}
	if name, exists := c.yearlyHolidays[yearDay{d.Month, d.Day}]; exists {
		return false, name
	}
	if !c.workingWeekdays[d.Weekday()] {
		return false, d.Weekday().String()
	}
	return true, ""
}

// Shift is the policy for days that are not working days.
type Shift string

// The policies for shifts. If NextInMonth or PreviousInMonth would move a day out of its month, the day moves
// to the nearest working day of the month in the other direction.
const (
	Run             Shift = "run"      // not shifted; only the calendar's moves apply
	Skip            Shift = "skip"     // dropped
	Next            Shift = "next"     // shifted to the next working day
	Previous        Shift = "previous" // shifted to the previous working day
	NextInMonth     Shift = "next_in_month"
	PreviousInMonth Shift = "previous_in_month"
)

func (s Shift) staysInMonth() bool { return s == NextInMonth || s == PreviousInMonth }

// step returns the direction of the search for a working day: 1 (forward) or -1 (backward).
func (s Shift) step() int {
	if s == Previous || s == PreviousInMonth {
		return -1
	}
	return 1
}

// maxShift limits the search for a working day, in days.
const maxShift = 366

var errNoWorkingDay = errors.New("no working day within a year")

// shift returns the day that d is shifted to and the reason for the shift. ok is false if d is dropped.
func (c *Calendar) shift(d Date, s Shift) (to Date, reason string, ok bool, err error) {
	if m, found := c.moveByDate[d]; found {
		return m.To, cmp.Or(m.Reason, "moved by the calendar"), true, nil
	}
	working, reason := c.IsWorking(d)
	switch {
	case working || s == Run:
		return d, "", true, nil
	case s == Skip:
		return d, reason, false, nil
	}
	to, ok = c.nearestWorkingDay(d, s.step(), s.staysInMonth())
	if !ok && s.staysInMonth() {
		to, ok = c.nearestWorkingDay(d, -s.step(), true)
	}
	if !ok {
		return d, reason, false, errNoWorkingDay
	}
	return to, reason, true, nil
}

// nearestWorkingDay returns the first working day after d (step 1) or before d (step -1).
func (c *Calendar) nearestWorkingDay(d Date, step int, withinMonth bool) (Date, bool) {
	candidate := d
	for range maxShift {
		candidate = candidate.Add(step)
		if withinMonth && candidate.Month != d.Month {
			return d, false
		}
		if working, _ := c.IsWorking(candidate); working {
			return candidate, true
		}
	}
	return d, false
}
