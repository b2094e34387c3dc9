// Package strict decodes TOML and rejects unknown fields. It is for file formats that this project defines.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes TOML into a value and rejects fields that the value does not have. The error names line,
// column and field of every unknown field, or of the first syntax or type error.
func Decode(b []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(into)
	var unknownFields *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &unknownFields):
		var problems []string
		for i := range unknownFields.Errors {
			row, col := unknownFields.Errors[i].Position()
			problems = append(
				problems,
				fmt.Sprintf(
					"line %d column %d: %s is no field", row, col,
					strings.Join(unknownFields.Errors[i].Key(), "."),
				),
			)
		}
		return errors.New(strings.Join(problems, "; "))
	case errors.As(err, &decodeErr):
		row, col := decodeErr.Position()
		if key := strings.Join(decodeErr.Key(), "."); key != "" {
			return fmt.Errorf("line %d column %d: %s: %s", row, col, key, decodeErr.Error())
		}
		return fmt.Errorf("line %d column %d: %s", row, col, decodeErr.Error())
	}
	return err
}
