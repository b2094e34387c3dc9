// Package strict reads TOML files of the project's own, in which an unknown name
// is a mistake.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads TOML whose every field is known. The error names line, column
// and field of all that is wrong.
func Decode(b []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(into)
	var missing *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case errors.As(err, &missing):
		var all []string
		for i := range missing.Errors {
			row, col := missing.Errors[i].Position()
			all = append(all, fmt.Sprintf("line %d column %d: %s is no field", row, col, strings.Join(missing.Errors[i].Key(), ".")))
		}
		return errors.New(strings.Join(all, "; "))
	case errors.As(err, &bad):
		row, col := bad.Position()
		if key := strings.Join(bad.Key(), "."); key != "" {
			return fmt.Errorf("line %d column %d: %s: %s", row, col, key, bad.Error())
		}
		return fmt.Errorf("line %d column %d: %s", row, col, bad.Error())
	}
	return err
}
