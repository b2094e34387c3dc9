// Package schedules decides which recurring jobs are due and sees to it that
// each due moment becomes exactly one run, whatever members end, restart or
// take over. Host is a state machine without input or output: time comes with
// the inputs, and it talks to the scheduler's core as a user does.
//
// What a schedule decided for a moment (a run, or none and why) is one write
// under the shard's claim and the revision of the schedule's progress; the
// run's job has an id that follows from schedule and moment, so that it can be
// submitted again by whoever comes next. Nothing is decided before a moment has
// come on every clock within the platform's bound.
package schedules

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/recurrence"
	"github.com/grebedock/grebedock/scheduler"
	"github.com/grebedock/grebedock/strict"
)

// Job is what a schedule runs: an array job.
type Job struct {
	Team      string  `toml:"team"       json:"team"`
	Class     string  `toml:"class"      json:"class"`
	Priority  string  `toml:"priority"   json:"priority"` // low, standard, high, production
	Tasks     int     `toml:"tasks"      json:"tasks"`
	CPUs      float64 `toml:"cpus"       json:"cpus"`
	GPUs      float64 `toml:"gpus"       json:"gpus"`
	MemoryGB  float64 `toml:"memory_gb"  json:"memory_gb"`
	Image     string  `toml:"image"      json:"image"`
	ImageGB   float64 `toml:"image_gb"   json:"image_gb"`
	EstimateS float64 `toml:"estimate_s" json:"estimate_s"`
	DeadlineS float64 `toml:"deadline_s" json:"deadline_s"` // from the run's submission; 0: none
	Spot      bool    `toml:"spot"       json:"spot"`
}

// Spec is a schedule with what it runs and its policies.
type Spec struct {
	recurrence.Schedule
	// Missed says what becomes of moments that passed while nobody could
	// decide: run all, only the latest, or none of them.
	Missed string `toml:"missed"   json:"missed"` // all, latest, skip
	// LateS is how late a run may be submitted at most, in seconds; what is
	// later is skipped, and told. 0: an hour.
	LateS float64 `toml:"late_s"   json:"late_s"`
	// Overlap of runs: what happens while the run before is not over.
	Busy string `toml:"busy"     json:"busy"` // allow, forbid, queue, replace
	Job  Job    `toml:"job"      json:"job"`
	// Workflow is run instead of a job; Job then only names team, class and
	// priority of steps that name none.
	Workflow *Workflow `toml:"workflow" json:"workflow,omitempty"`
}

// Workflow is a workflow that a schedule runs.
type Workflow struct {
	// File is the document, seen from the schedules' file; whoever applies it
	// packs it into Document.
	File     string         `toml:"file,omitempty"     json:"file,omitempty"`
	Document string         `toml:"document,omitempty" json:"document,omitempty"` // as JSON
	Inputs   map[string]any `toml:"inputs,omitempty"   json:"inputs,omitempty"`
}

// File is calendars and schedules as operators write them, in TOML.
type File struct {
	Calendars []*recurrence.Calendar `toml:"calendar" json:"calendar"`
	Schedules []*Spec                `toml:"schedule" json:"schedule"`
}

var (
	namePattern      = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	prioritiesByName = map[string]scheduler.Priority{
		"low":        scheduler.Low,
		"standard":   scheduler.Normal,
		"high":       scheduler.High,
		"production": scheduler.Production,
	}
)

// ParseFile reads and checks a file. The error names line and field where the
// text is wrong, and calendar or schedule where its meaning is.
func ParseFile(b []byte) (*File, error) {
	var f File
	if err := strict.Decode(b, &f); err != nil {
		return nil, err
	}
	var recurring []*recurrence.Schedule
	for _, s := range f.Schedules {
		recurring = append(recurring, &s.Schedule)
	}
	errs := []error{recurrence.ValidateAll(f.Calendars, recurring)}
	for i, s := range f.Schedules {
		if err := s.validate(); err != nil {
			errs = append(errs, fmt.Errorf("schedule[%d] %s: %w", i, s.Name, err))
		}
	}
	return &f, errors.Join(errs...)
}

// validate fills in defaults and says what is wrong beside the recurrence.
func (s *Spec) validate() error {
	if !namePattern.MatchString(s.Name) {
		return errors.New("name must be 1 to 63 of a-z, 0-9 and -")
	}
	for _, f := range []struct {
		name string
		v    *string
		all  []string
	}{{"missed", &s.Missed, []string{"latest", "all", "skip"}}, {"busy", &s.Busy, []string{"allow", "forbid", "queue", "replace"}},
		{"job.priority", &s.Job.Priority, []string{"standard", "low", "high", "production"}}} {
		if *f.v == "" {
			*f.v = f.all[0]
		}
		if !slices.Contains(f.all, *f.v) {
			return fmt.Errorf("%s: %q is none of %s", f.name, *f.v, strings.Join(f.all, ", "))
		}
	}
	if s.LateS == 0 {
		s.LateS = 3600
	}
	if s.Job.Tasks == 0 {
		s.Job.Tasks = 1
	}
	switch j := s.Job; {
	case !(s.LateS > 0):
		return errors.New("late_s must be above 0")
	case j.Team == "":
		return errors.New("job.team is missing")
	case s.Workflow != nil && s.Workflow.File == "" && s.Workflow.Document == "":
		return errors.New("workflow.file is missing")
	case s.Workflow == nil && !(j.CPUs > 0):
		return errors.New("job.cpus must be above 0")
	case j.Tasks < 1 || j.Tasks > 100_000:
		return errors.New("job.tasks must be from 1 to 100000")
	case j.MemoryGB < 0 || j.GPUs < 0 || j.ImageGB < 0 || j.EstimateS < 0 || j.DeadlineS < 0:
		return errors.New("job: amounts and times must not be negative")
	}
	return nil
}

// buildJob is the run of a moment.
func (s *Spec) buildJob(id, run string) *scheduler.Job {
	j := s.Job
	return &scheduler.Job{
		ID:          id,
		WorkflowRun: run,
		Class:       j.Class,
		Team:        j.Team,
		Kind:        scheduler.Array,
		Priority:    prioritiesByName[j.Priority],
		Tasks:       j.Tasks,
		Request: availability.Resources{
			CPUs:     j.CPUs,
			GPUs:     j.GPUs,
			MemoryGB: j.MemoryGB,
			DiskGB:   j.ImageGB,
		},
		Image:     j.Image,
		Spot:      j.Spot,
		EstimateS: j.EstimateS,
		DeadlineS: j.DeadlineS,
	}
}

// runName names the run of a moment; its job's id follows from it.
func runName(schedule string, at int64) string {
	return "schedule/" + schedule + "@" + time.UnixMilli(at).UTC().Format("20060102T150405Z")
}

// jobOrRunID is the id of a moment's job, or of its workflow's run.
func (s *Spec) jobOrRunID(run string) string {
	h := fnv.New64a()
	h.Write([]byte(run))
	kind := "job-"
	if s.Workflow != nil {
		kind = "run-"
	}
	return kind + strconv.FormatUint(1e15+h.Sum64()%9e15, 10)
}

// encodeSubmission is the run of a workflow.
func (s *Spec) encodeSubmission(id string) []byte {
	w := s.Workflow
	return extension.Encode(map[string]any{"id": id, "document": json.RawMessage(w.Document), "inputs": w.Inputs,
		"job": map[string]any{"team": s.Job.Team, "class": s.Job.Class, "priority": s.Job.Priority}})
}
