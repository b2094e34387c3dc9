// Package features reads the file that switches subsystems on: a table for each,
// with `on`. The file stands beside the platform's settings file and holds
// switches and paths; operators' settings go through the administration API.
//
// It owns the file's form, and keeps nothing. It may assume that the file does
// not change while the process runs. It promises that everything is off unless
// the file says otherwise, and that an error names the file, the line and the
// field. It is built for mistakes in the file: a misspelt name is refused, since
// its subsystem would stay off unnoticed.
package features

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/grebedock/grebedock/strict"
)

// Switch is the table of a subsystem that has nothing but a switch.
type Switch struct {
	Enabled bool `toml:"on"`
}

// Set is the features that are switched on. The zero value has everything off.
type Set struct {
	// Connections bounds what connections may take of a controller.
	Connections Switch `toml:"connections"`
	// Relay has a peer respond to users while the state service fails for this
	// controller alone.
	Relay Switch `toml:"relay"`
	// Admission accepts submissions in order of priority and fair between
	// teams, several at once, and sheds what would wait too long.
	Admission Switch `toml:"admission"`
	// Recovery paces the commands that follow a claim, and records for the next
	// owner what heartbeats do not contain.
	Recovery Switch `toml:"recovery"`
	// Quota gives teams their guarantees from what others run beyond theirs.
	Quota Switch `toml:"quota"`
	// Aging places the first tasks of large jobs that waited too long to begin
	// before others of their priority.
	Aging Switch `toml:"aging"`
	// Rollout drains and replaces machines in steps, by plans.
	Rollout Switch `toml:"rollout"`
	// Workflows takes workflows of the Common Workflow Language.
	Workflows Workflows `toml:"workflows"`
	// Schedules runs jobs that follow calendars.
	Schedules Switch `toml:"schedules"`
}

// Workflows is the table of workflows.
type Workflows struct {
	Switch
	// DataDir is the absolute path of a directory that controllers and workers
	// share, for descriptions of steps and their outputs. Without one, steps have
	// no outputs.
	DataDir string `toml:"data"`
}

// Load reads and checks the file at path; with path "" everything is off. An
// error names the file, the line and the field.
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

// Parse reads and checks a file's text. Unlike the platform's file, which may
// gain fields, an unknown name here is a mistake.
func Parse(b []byte) (Set, error) {
	var s Set
	if err := strict.Decode(b, &s); err != nil {
		return Set{}, err
	}
	if s.Workflows.DataDir != "" && !filepath.IsAbs(s.Workflows.DataDir) {
		return Set{}, fmt.Errorf("workflows.data %q is no absolute path", s.Workflows.DataDir)
	}
	return s, nil
}

// EnabledNames returns the names of the features that are switched on, in the
// order of Set's fields.
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
