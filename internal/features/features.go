// Package features reads the file that enables subsystems: one table per
// subsystem, with the field `on`. The file is separate from the platform's
// settings file and contains switches and paths. Operators' settings are changed
// through the administration API.
//
// The package owns the format of the file, and keeps no state. It assumes that
// the file does not change while the process runs. It guarantees that every
// subsystem is off unless the file enables it, and that an error names the file,
// the line and the field. It handles mistakes in the file: a misspelt name is
// refused, since its subsystem would otherwise stay off unnoticed.
package features

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/grebedock/grebedock/strict"
)

// Switch is the table of a subsystem that has only a switch.
type Switch struct {
	Enabled bool `toml:"on"`
}

// Set holds the enabled features. In the zero value, every feature is off.
type Set struct {
	// Connections bounds the resources that connections take of a controller.
	Connections Switch `toml:"connections"`
	// Relay sends users' requests to a peer while only this controller cannot
	// reach the state service.
	Relay Switch `toml:"relay"`
	// Admission accepts submissions by priority and fairly between teams, several
	// at a time, and sheds submissions that would wait too long.
	Admission Switch `toml:"admission"`
	// Recovery paces the commands that follow a claim, and records for the next
	// owner the state that heartbeats do not contain.
	Recovery Switch `toml:"recovery"`
	// Quota satisfies teams' guarantees by reclaiming what other teams use beyond
	// their own.
	Quota Switch `toml:"quota"`
	// Aging places the first tasks of large jobs that have waited too long to
	// start before other jobs of their priority.
	Aging Switch `toml:"aging"`
	// Rollout drains and replaces machines in steps, according to plans.
	Rollout Switch `toml:"rollout"`
	// Workflows runs workflows of the Common Workflow Language.
	Workflows Workflows `toml:"workflows"`
	// Schedules runs jobs that follow calendars.
	Schedules Switch `toml:"schedules"`
}

// Workflows is the table of workflows.
type Workflows struct {
	Switch
	// DataDir is the absolute path of a directory that controllers and workers
	// share, for descriptions of steps and their outputs. Without it, steps have
	// no outputs.
	DataDir string `toml:"data"`
}

// Load reads and validates the file at path. With an empty path, every feature is
// off. An error names the file, the line and the field.
func Load(path string) (Set, error) {
	if path == "" {
		return Set{}, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return Set{}, fmt.Errorf("features: %w", err)
	}
	s, err := Parse(b)
	if err != nil {
		return Set{}, fmt.Errorf("features: %s: %w", path, err)
	}
	return s, nil
}

// Parse parses and validates the text of a file. The platform's file may gain
// fields, but in this file an unknown name is a mistake.
func Parse(b []byte) (Set, error) {
	var s Set
	if err := strict.Decode(b, &s); err != nil {
		return Set{}, err
	}
	if s.Workflows.DataDir != "" && !filepath.IsAbs(s.Workflows.DataDir) {
		return Set{}, fmt.Errorf("workflows.data %q is not an absolute path", s.Workflows.DataDir)
	}
	return s, nil
}

// EnabledNames returns the names of the enabled features, in the order of Set's
// fields.
func (s Set) EnabledNames() []string {
	features := []struct {
		name string
		Switch
	}{
		{"connections", s.Connections},
		{"relay", s.Relay},
		{"admission", s.Admission},
		{"recovery", s.Recovery},
		{"quota", s.Quota},
		{"aging", s.Aging},
		{"rollout", s.Rollout},
		{"workflows", s.Workflows.Switch},
		{"schedules", s.Schedules},
	}
	var names []string
	for _, f := range features {
		if f.Enabled {
			names = append(names, f.name)
		}
	}
	return names
}
