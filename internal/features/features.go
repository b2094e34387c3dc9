// Package features reads the file that switches on what is new: one table a
// subsystem, each with `on`. It stands beside the platform's settings file and
// holds switches and places; operators' settings go through the administration
// API.
package features

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/grebedock/grebedock/strict"
)

// Switch is a subsystem's table.
type Switch struct {
	Enabled bool `toml:"on"`
}

// Set tells what is switched on. The zero value has everything off.
type Set struct {
	// Connections bounds what connections may take of a member.
	Connections Switch `toml:"connections"`
	// Relay has a peer answer users while the state service fails this member
	// alone.
	Relay Switch `toml:"relay"`
	// Admission accepts submissions in order of priority and fair between
	// teams, several at once, and sheds what would wait too long.
	Admission Switch `toml:"admission"`
	// Recovery paces the orders that follow a claim, and remembers for the next one
	// what reports do not say.
	Recovery Switch `toml:"recovery"`
	// Quota gives teams their guarantees by what others run beyond theirs.
	Quota Switch `toml:"quota"`
	// Aging has the first tasks of large jobs that waited too long to begin go before
	// their equals.
	Aging Switch `toml:"aging"`
	// Rollout drains and replaces machines in steps, by plans.
	Rollout Switch `toml:"rollout"`
	// Workflows takes workflows of the Common Workflow Language.
	Workflows Workflows `toml:"workflows"`
	// Schedules runs jobs that follow calendars.
	Schedules Switch `toml:"schedules"`
}

// Workflows is the workflows' table.
type Workflows struct {
	Switch
	// DataDir is a directory that members and workers share: descriptions of
	// steps and their outputs. Without one, steps give no outputs.
	DataDir string `toml:"data"`
}

// Load reads and checks a file; with no path everything is off. The error
// names the file, the line and the field.
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

// Parse reads and checks switches. Unlike the platform's file, which may gain
// fields, an unknown name here is a mistake: something would stay off unseen.
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

// EnabledNames lists what is switched on.
func (s Set) EnabledNames() []string {
	var out []string
	for _, f := range []struct {
		name string
		s    Switch
	}{{"connections", s.Connections}, {"relay", s.Relay}, {"admission", s.Admission}, {"recovery", s.Recovery}, {"quota", s.Quota}, {"aging", s.Aging}, {"rollout", s.Rollout}, {"workflows", s.Workflows.Switch}, {"schedules", s.Schedules}} {
		if f.s.Enabled {
			out = append(out, f.name)
		}
	}
	return out
}
