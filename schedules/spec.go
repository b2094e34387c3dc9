// Package schedules decides which recurring jobs are due, and has each due moment become exactly one
// run, whatever members end, restart or take over. Host is a state machine without input or
// output: time comes with the inputs, and it sends requests to the scheduler's core as a user does.
// Calls must come from one goroutine at a time.
//
// It owns a shard's definitions, progress and history in the state service (records.go names the keys).
// What a schedule decided for a moment (a run, or none and why) is one write under the shard's
// claim and the revision of the schedule's progress. The ID of the run's job follows from
// schedule and moment, so that any later owner can submit it again. Nothing is decided before a
// moment has come on every member's clock, within the platform's bound on clock errors.
//
//	moment      input                                       to          effect
//	future      it has come on every clock                  due
//	due         busy is queue or replace, the preceding     due         asked again in a second; replace
//	            run is not over                                         cancels it
//	due         missed, late or busy policies skip it       skipped     the reason is logged with it
//	due         the write of the decision is stored         pending     its job is submitted
//	due         the write is refused or in doubt            due         the stored record is read again
//	pending     submitted, or refused for good              done        left out of the next decision
//	pending     no answer, or a conflict                    pending     read again and submitted again
//	any         another member claims the shard             as stored
//
// It is built for members that end or lose their claim at any point, clocks that differ within the
// bound, store outages, and requests that are lost, late or repeated.
package schedules

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"regexp"
	"strconv"
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

// MissedPolicy is which moments are run that passed while no member could decide.
type MissedPolicy string

// The policies for missed moments.
const (
	MissedLatest MissedPolicy = "latest"
	MissedAll    MissedPolicy = "all"
	MissedSkip   MissedPolicy = "skip"
)

// BusyPolicy is what happens to a moment while the preceding run is not over.
type BusyPolicy string

// The policies for a preceding run that is not over.
const (
	BusyAllow   BusyPolicy = "allow"   // both run
	BusyForbid  BusyPolicy = "forbid"  // the moment is skipped
	BusyQueue   BusyPolicy = "queue"   // the moment waits
	BusyReplace BusyPolicy = "replace" // the preceding run is cancelled
)

// runsOneAtATime reports whether each run waits for the decision about the one before.
func (p BusyPolicy) runsOneAtATime() bool { return p == BusyQueue || p == BusyReplace }

// Spec is a schedule with what it runs and its policies.
type Spec struct {
	recurrence.Schedule
	Missed MissedPolicy `toml:"missed"   json:"missed"`
	// LateS is how late a moment may be decided and still run, in seconds; 0: an hour.
	LateS float64    `toml:"late_s"   json:"late_s"`
	Busy  BusyPolicy `toml:"busy"     json:"busy"`
	Job   Job        `toml:"job"      json:"job"`
	// Workflow is run instead of a job; Job then only gives team, class and priority to steps that name
	// none.
	Workflow *Workflow `toml:"workflow" json:"workflow,omitempty"`
}

// WorkflowInputs are the inputs of a workflow by name, of any type that its document declares.
type WorkflowInputs map[string]any

// Workflow is a workflow that a schedule runs.
type Workflow struct {
	// File is the document's path relative to the schedules' file. The command line packs the file into
	// Document before it applies the schedule.
	File     string         `toml:"file,omitempty"     json:"file,omitempty"`
	Document string         `toml:"document,omitempty" json:"document,omitempty"` // as JSON
	Inputs   WorkflowInputs `toml:"inputs,omitempty"   json:"inputs,omitempty"`
}

// File holds calendars and schedules as operators write them in TOML.
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

// ParseFile decodes and validates a file, and sets defaults. Errors of syntax name line and field;
// errors of meaning name the calendar or schedule and the field.
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

// validate sets defaults and returns an error for the first invalid field beside the recurrence.
func (s *Spec) validate() error {
	if !namePattern.MatchString(s.Name) {
		return errors.New("name must be 1 to 63 of a-z, 0-9 and -")
	}
	if err := s.validatePolicies(); err != nil {
		return err
	}
	if s.LateS == 0 {
		s.LateS = defaultLateS
	}
	if s.Job.Tasks == 0 {
		s.Job.Tasks = 1
	}
	switch w := s.Workflow; {
	case !(s.LateS > 0):
		return errors.New("late_s must be above 0")
	case s.Job.Team == "":
		return errors.New("job.team is missing")
	case w != nil && w.File == "" && w.Document == "":
		return errors.New("workflow.file is missing")
	case w == nil && !(s.Job.CPUs > 0):
		return errors.New("job.cpus must be above 0")
	}
	return s.Job.validateAmounts()
}

const defaultLateS = 3600

func (s *Spec) validatePolicies() error {
	if err := recurrence.ValidateChoice("missed", &s.Missed, MissedLatest, MissedAll, MissedSkip); err != nil {
		return err
	}
	err := recurrence.ValidateChoice("busy", &s.Busy, BusyAllow, BusyForbid, BusyQueue, BusyReplace)
	if err != nil {
		return err
	}
	return recurrence.ValidateChoice("job.priority", &s.Job.Priority, "standard", "low", "high", "production")
}

func (j *Job) validateAmounts() error {
	if j.Tasks < 1 || j.Tasks > 100_000 {
		return errors.New("job.tasks must be from 1 to 100000")
	}
	for _, amount := range []float64{j.MemoryGB, j.GPUs, j.ImageGB, j.EstimateS, j.DeadlineS} {
		if amount < 0 {
			return errors.New("job: amounts and times must not be negative")
		}
	}
	return nil
}

// buildJob returns the job that runs a moment.
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

// runName returns the name of the run of a moment (time of day, ms); the ID of its job follows from it.
func runName(schedule string, at int64) string {
	return "schedule/" + schedule + "@" + time.UnixMilli(at).UTC().Format("20060102T150405Z")
}

// The prefixes of the IDs of jobs and of workflow runs.
const (
	jobPrefix         = "job-"
	workflowRunPrefix = "run-"
)

// jobOrRunID returns the ID of the job of a run, or of its workflow's run.
func (s *Spec) jobOrRunID(run string) string {
	h := fnv.New64a()
	h.Write([]byte(run))
	prefix := jobPrefix
	if s.Workflow != nil {
		prefix = workflowRunPrefix
	}
	return prefix + strconv.FormatUint(1e15+h.Sum64()%9e15, 10) // 16 digits
}

// workflowSubmission is the body of a workflow's submission.
type workflowSubmission struct {
	Document json.RawMessage `json:"document"`
	ID       string          `json:"id"`
	Inputs   WorkflowInputs  `json:"inputs"`
	Job      struct {
		Class    string `json:"class"`
		Priority string `json:"priority"`
		Team     string `json:"team"`
	} `json:"job"`
}

// encodeSubmission returns the body that submits the workflow under a run's ID.
func (s *Spec) encodeSubmission(id string) []byte {
	submission := workflowSubmission{
		Document: json.RawMessage(s.Workflow.Document),
		ID:       id,
		Inputs:   s.Workflow.Inputs,
	}
	submission.Job.Class, submission.Job.Priority, submission.Job.Team = s.Job.Class, s.Job.Priority, s.Job.Team
	return extension.Encode(submission)
}
