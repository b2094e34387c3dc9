package recurrence

import (
	"errors"
	"fmt"

	"github.com/grebedock/grebedock/strict"
)

// File holds the calendars and schedules of an operator's TOML file.
type File struct {
	Calendars []*Calendar `toml:"calendar"`
	Schedules []*Schedule `toml:"schedule"`
}

// ParseFile decodes and validates a file. Syntax errors name the line and the field. Validation errors name the
// calendar or schedule and the field.
func ParseFile(b []byte) (*File, error) {
	var f File
	if err := strict.Decode(b, &f); err != nil {
		return nil, err
	}
	return &f, ValidateAll(f.Calendars, f.Schedules)
}

// ValidateAll validates calendars and the schedules that refer to them. It returns all errors joined.
func ValidateAll(calendars []*Calendar, schedules []*Schedule) error {
	var errs []error
	calendarByName := map[string]*Calendar{}
	for i, c := range calendars {
		err := c.Validate()
		switch {
		case c.Name == "":
			err = fmt.Errorf("calendar[%d].name is missing", i)
		case calendarByName[c.Name] != nil:
			err = fmt.Errorf("calendar %s is there twice", c.Name)
		case err != nil:
			err = fmt.Errorf("calendar %s: %w", c.Name, err)
		}
		calendarByName[c.Name] = c
		errs = append(errs, err)
	}
	scheduleNames := map[string]bool{}
	for i, s := range schedules {
		err := s.Validate(calendarByName)
		switch {
		case err != nil:
			err = fmt.Errorf("schedule[%d] %s: %w", i, s.Name, err)
		case scheduleNames[s.Name]:
			err = fmt.Errorf("schedule %s is there twice", s.Name)
		}
		scheduleNames[s.Name] = true
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
