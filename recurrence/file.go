package recurrence

import (
	"errors"
	"fmt"

	"github.com/grebedock/grebedock/strict"
)

// File is calendars and schedules as operators write them, in TOML.
type File struct {
	Calendars []*Calendar `toml:"calendar"`
	Schedules []*Schedule `toml:"schedule"`
}

// ParseFile reads and checks a file. The error names line and field where the
// text is wrong, and calendar or schedule where its meaning is.
func ParseFile(b []byte) (*File, error) {
	var f File
	if err := strict.Decode(b, &f); err != nil {
		return nil, err
	}
	return &f, ValidateAll(f.Calendars, f.Schedules)
}

// ValidateAll checks calendars and schedules that refer to them.
func ValidateAll(cs []*Calendar, ss []*Schedule) error {
	var errs []error
	calendars := map[string]*Calendar{}
	for i, c := range cs {
		err := c.Validate()
		if c.Name == "" {
			err = fmt.Errorf("calendar[%d].name is missing", i)
		} else if calendars[c.Name] != nil {
			err = fmt.Errorf("calendar %s is there twice", c.Name)
		} else if err != nil {
			err = fmt.Errorf("calendar %s: %w", c.Name, err)
		}
		calendars[c.Name] = c
		errs = append(errs, err)
	}
	names := map[string]bool{}
	for i, s := range ss {
		err := s.Validate(calendars)
		if err != nil {
			err = fmt.Errorf("schedule[%d] %s: %w", i, s.Name, err)
		} else if names[s.Name] {
			err = fmt.Errorf("schedule %s is there twice", s.Name)
		}
		names[s.Name] = true
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
