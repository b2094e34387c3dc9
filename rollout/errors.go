package rollout

import (
	"errors"
	"fmt"
)

// FieldError is a fault of one field of a plan, or of a command.
type FieldError struct {
	Field string // as in JSON and TOML
	Text  string // the whole text for operators
}

func (e *FieldError) Error() string { return e.Text }

// invalidField returns a FieldError whose text begins with the field.
func invalidField(field, format string, args ...any) error {
	return &FieldError{Field: field, Text: field + fmt.Sprintf(format, args...)}
}

// TerminalError refuses a command to a plan that is aborted or done.
type TerminalError struct {
	PlanID string
	State  State
}

func (e *TerminalError) Error() string { return fmt.Sprintf("plan %s is %s", e.PlanID, e.State) }

// ErrNoMachineSelected refuses a plan that selects no machine of the fleet.
var ErrNoMachineSelected = errors.New("no machine of the fleet is meant")
