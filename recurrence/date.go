package recurrence

import (
	"cmp"
	"fmt"
	"time"
)

// Date is a calendar day without a time zone.
type Date struct {
	Year  int
	Month time.Month
	Day   int
}

// ParseDate parses YYYY-MM-DD.
func ParseDate(s string) (Date, error) {
	t, err := time.Parse(time.DateOnly, s)
	if err != nil {
		return Date{}, fmt.Errorf("%q is no date (YYYY-MM-DD)", s)
	}
	return DateOf(t), nil
}

// DateOf returns the day of a time in the time's location.
func DateOf(t time.Time) Date {
	y, m, d := t.Date()
	return Date{y, m, d}
}

func (d Date) utc() time.Time { return time.Date(d.Year, d.Month, d.Day, 0, 0, 0, 0, time.UTC) }

// Add returns the date that is a number of days later, or earlier if days is negative.
func (d Date) Add(days int) Date { return DateOf(d.utc().AddDate(0, 0, days)) }

// Weekday returns the day of the week.
func (d Date) Weekday() time.Weekday { return d.utc().Weekday() }

// Compare returns a negative number if d is before other, 0 if they are equal, and a positive number otherwise.
func (d Date) Compare(other Date) int {
	return cmp.Or(
		cmp.Compare(d.Year, other.Year),
		cmp.Compare(d.Month, other.Month),
		cmp.Compare(d.Day, other.Day),
	)
}

func (d Date) String() string { return d.utc().Format(time.DateOnly) }

// isWithin reports whether d is in [first, last].
func (d Date) isWithin(first, last Date) bool { return d.Compare(first) >= 0 && d.Compare(last) <= 0 }

// UnmarshalText parses YYYY-MM-DD.
func (d *Date) UnmarshalText(b []byte) (err error) {
	*d, err = ParseDate(string(b))
	return err
}

// MarshalText formats the date as YYYY-MM-DD.
func (d Date) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Clock is a local time of day, in seconds after midnight.
type Clock int

// ParseClock parses HH:MM or HH:MM:SS.
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

// UnmarshalText parses HH:MM or HH:MM:SS.
func (c *Clock) UnmarshalText(b []byte) (err error) {
	*c, err = ParseClock(string(b))
	return err
}

// MarshalText formats the time as HH:MM, or as HH:MM:SS if the seconds are not 0.
func (c Clock) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
