package rollout

import (
	"errors"
	"fmt"
)

// FieldError reports an invalid field of a plan, or an invalid command.
type FieldError struct {
	Field string // name of the field in JSON and TOML
	Text  string // complete message for operators
}

func (e *FieldError) Error() string { return e.Text }

// invalidField returns a FieldError whose text begins with the field.
func invalidField(field, format string, args ...any) error {
	return &FieldError{Field: field, Text: field + fmt.Sprintf(format, args...)}
}

// TerminalError reports a command to a plan that is already aborted or done.
type TerminalError struct {
	PlanID string
	State  State
}

func (e *TerminalError) Error() string { return fmt.Sprintf("plan %s is %s", e.PlanID, e.State) }

// ErrNoMachineSelected reports a plan that selects no machine of the fleet.
var ErrNoMachineSelected = errors.New("no machine of the fleet is meant")
