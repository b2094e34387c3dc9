package recurrence

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // members must agree even if their hosts have no zone files or other versions

	"github.com/teambition/rrule-go"
)

// Gap is the policy for times of day that a clock change skips. A day that a time zone skipped is handled as one
// long gap.
type Gap string

// The policies for gaps.
const (
	GapAfter Gap = "after" // due at the first instant after the gap
	GapSkip  Gap = "skip"  // dropped
)

// Overlap is the policy for times of day that a clock change repeats.
type Overlap string

// The policies for overlaps.
const (
	OverlapFirst  Overlap = "first"
	OverlapSecond Overlap = "second"
	OverlapBoth   Overlap = "both"
)

// Schedule defines the times at which something recurs. It is ready for use after Validate.
type Schedule struct {
	Name     string  `toml:"name"     json:"name"`
	Zone     string  `toml:"zone"     json:"zone"`     // name in the IANA time zone database
	Calendar string  `toml:"calendar" json:"calendar"` // name of the calendar; empty: every day is a working day
	Rule     string  `toml:"rule"     json:"rule"`     // RRULE of RFC 5545 that selects days: FREQ from DAILY to YEARLY
	From     Date    `toml:"from"     json:"from"`     // first day, from which INTERVAL counts
	Until    *Date   `toml:"until"    json:"until,omitempty"`
	At       []Clock `toml:"at"       json:"at"`
	Shift    Shift   `toml:"shift"    json:"shift"`
	Gap      Gap     `toml:"gap"      json:"gap"`
	Overlap  Overlap `toml:"overlap"  json:"overlap"`

	calendar *Calendar
	location *time.Location
	rule     *rrule.RRule
}

// Validation errors of schedules. They are wrapped with the field and its value.
var (
	ErrInvalidZone = errors.New("is no time zone")
	ErrInvalidRule = errors.New("is no rule")
)

// Validate makes the schedule ready for use, or returns an error that names the first invalid field. It sets
// the defaults of Shift, Gap and Overlap, and sorts At. calendars is keyed by name.
func (s *Schedule) Validate(calendars map[string]*Calendar) error {
	if s.Name == "" {
		return errors.New("name is missing")
	}
	if err := s.loadZone(); err != nil {
		return err
	}
	if err := s.resolveCalendar(calendars); err != nil {
		return err
	}
	if err := s.validateTimes(); err != nil {
		return err
	}
	if err := s.validatePolicies(); err != nil {
		return err
	}
	return s.parseRule()
}

func (s *Schedule) loadZone() (err error) {
	if s.Zone == "" || s.Zone == "Local" { // LoadLocation maps these to UTC and to the host's zone
		return fmt.Errorf("zone: %q %w", s.Zone, ErrInvalidZone)
	}
	if s.location, err = time.LoadLocation(s.Zone); err != nil {
		return fmt.Errorf("zone: %q %w", s.Zone, ErrInvalidZone)
	}
	return nil
}

func (s *Schedule) resolveCalendar(calendars map[string]*Calendar) error {
	s.calendar = &Calendar{Working: weekdays}
	if s.Calendar != "" {
		if s.calendar = calendars[s.Calendar]; s.calendar == nil {
			return fmt.Errorf("calendar: there is no %q", s.Calendar)
		}
	}
	if s.calendar.validated {
		return nil
	}
	if err := s.calendar.Validate(); err != nil {
		return fmt.Errorf("calendar %s: %w", s.Calendar, err)
	}
	return nil
}

func (s *Schedule) validateTimes() error {
	switch {
	case s.From == (Date{}):
		return errors.New("from is missing")
	case s.Until != nil && s.Until.Compare(s.From) < 0:
		return errors.New("until is before from")
	case len(s.At) == 0:
		return errors.New("at is missing")
	}
	s.At = slices.Compact(slices.Sorted(slices.Values(s.At)))
	return nil
}

func (s *Schedule) validatePolicies() error {
	err := ValidateChoice("shift", &s.Shift, Run, Skip, Next, Previous, NextInMonth, PreviousInMonth)
	if err != nil {
		return err
	}
	if err := ValidateChoice("gap", &s.Gap, GapAfter, GapSkip); err != nil {
		return err
	}
	return ValidateChoice("overlap", &s.Overlap, OverlapFirst, OverlapSecond, OverlapBoth)
}

// ValidateChoice returns an error that names the field if the value is not one of the allowed ones. It sets an
// empty value to the first of them.
func ValidateChoice[T ~string](field string, value *T, allowed ...T) error {
	if *value == "" {
		*value = allowed[0]
	}
	if slices.Contains(allowed, *value) {
		return nil
	}
	names := make([]string, len(allowed))
	for i, choice := range allowed {
		names[i] = string(choice)
	}
	return fmt.Errorf("%s: %q is none of %s", field, *value, strings.Join(names, ", "))
}

// allowedRuleFields lists the fields of an RRULE that select days.
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

func (s *Schedule) parseRule() error {
	for _, part := range strings.Split(s.Rule, ";") {
		name, _, _ := strings.Cut(part, "=")
		if !slices.Contains(allowedRuleFields, name) {
			allowed := strings.Join(allowedRuleFields, ", ")
			return fmt.Errorf("rule: %q %w of days (%s)", part, ErrInvalidRule, allowed)
		}
	}
	options, err := rrule.StrToROption(s.Rule)
	if err != nil {
		return fmt.Errorf("rule: %q %w: %v", s.Rule, ErrInvalidRule, err)
	}
	if options.Freq > rrule.DAILY {
		return errors.New("rule: FREQ must be DAILY, WEEKLY, MONTHLY or YEARLY; times of day stand in at")
	}
	if options.Interval < 0 || options.Count < 0 {
		return errors.New("rule: INTERVAL and COUNT must not be negative")
	}
	options.Dtstart = s.From.utc()
	if s.Until != nil {
		options.Until = s.Until.utc()
	}
	if s.rule, err = rrule.NewRRule(*options); err != nil {
		return fmt.Errorf("rule: %q %w: %v", s.Rule, ErrInvalidRule, err)
	}
	return nil
}
