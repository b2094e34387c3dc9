// Package schedules runs recurring jobs. A moment is a time at which a schedule is due. Each moment that the
// policies do not skip results in exactly one run, also when members stop, restart or take over shards.
// Host is a state machine without I/O: each input carries the time, and the host sends requests to the
// scheduler's core as a user does. It is not safe for concurrent use.
//
// The host owns a shard's definitions, progress and history in the state service (records.go lists the keys).
// A decision for a moment is a run, or a skip with its reason. The host stores it in one transaction whose
// preconditions are the shard's claim and the revisions of the schedule's definition and progress. The ID of
// the run's job is derived from the schedule and the moment, so any later owner can submit the same job again.
// The host decides a moment only once it has passed on every member's clock, given the platform's bound on
// clock errors.
//
//	state       event                                       next state  effect
//	future      the moment passes on every clock            due
//	due         busy is queue or replace, and the           due         the run is queried again after 1 s;
//	            preceding run is active                                 with replace, it is cancelled
//	due         the missed, late or busy policy skips it    skipped     the decision records the reason
//	due         the decision is stored                      pending     the run is submitted
//	due         the write fails or its outcome is unknown   due         the stored records are read again
//	pending     the run is accepted, or rejected            done        the next decision drops it from Pending
//	            permanently
//	pending     no response, or a conflict                  pending     the records are read again and the run
//	                                                                    is submitted again
//	any         another member claims the shard             as stored
//
// The design tolerates members that stop or lose their claim at any point, clocks that differ within the
// bound, outages of the state service, and requests that are lost, delayed or repeated.
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

// Job describes the job array that a schedule runs.
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
	DeadlineS float64 `toml:"deadline_s" json:"deadline_s"` // seconds after the run's submission; 0: no deadline
	Spot      bool    `toml:"spot"       json:"spot"`
}

// MissedPolicy selects which missed moments are run. A moment is missed if it passed while no member could
// decide it.
type MissedPolicy string

// The policies for missed moments.
const (
	MissedLatest MissedPolicy = "latest"
	MissedAll    MissedPolicy = "all"
	MissedSkip   MissedPolicy = "skip"
)

// BusyPolicy determines how a moment is handled while the preceding run is active.
type BusyPolicy string

// The policies for a moment whose preceding run is active.
const (
	BusyAllow   BusyPolicy = "allow"   // both runs are active at the same time
	BusyForbid  BusyPolicy = "forbid"  // the moment is skipped
	BusyQueue   BusyPolicy = "queue"   // the moment waits until the preceding run has ended
	BusyReplace BusyPolicy = "replace" // the preceding run is cancelled first
)

// runsOneAtATime reports whether the preceding run must have ended before the next moment is decided.
func (p BusyPolicy) runsOneAtATime() bool { return p == BusyQueue || p == BusyReplace }

// Spec is a schedule with its policies and the job or workflow that it runs.
type Spec struct {
	recurrence.Schedule
	Missed MissedPolicy `toml:"missed"   json:"missed"`
	// LateS is the maximum lateness in seconds at which a moment is still run; 0: one hour.
	LateS float64    `toml:"late_s"   json:"late_s"`
	Busy  BusyPolicy `toml:"busy"     json:"busy"`
	Job   Job        `toml:"job"      json:"job"`
	// Workflow is run instead of a job. Job then only provides the default team, class and priority of
	// the steps.
	Workflow *Workflow `toml:"workflow" json:"workflow,omitempty"`
}

// WorkflowInputs holds the inputs of a workflow by name. The document declares their types.
type WorkflowInputs map[string]any

// Workflow is a workflow that a schedule runs.
type Workflow struct {
	// File is the document's path relative to the schedule file. The command line packs that file into
	// Document before it applies the schedule.
	File     string         `toml:"file,omitempty"     json:"file,omitempty"`
	Document string         `toml:"document,omitempty" json:"document,omitempty"` // JSON
	Inputs   WorkflowInputs `toml:"inputs,omitempty"   json:"inputs,omitempty"`
}

// File is an operator's TOML file of calendars and schedules.
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

// ParseFile decodes and validates a file, and sets defaults. Syntax errors include the line and the field,
// validation errors the calendar or schedule and the field.
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

// validate sets defaults and returns an error for the first invalid field. It does not check the recurrence,
// which recurrence.Schedule validates.
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

// buildJob returns the scheduler's job for a run.
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

// runName returns the name of the run of a moment, given in Unix milliseconds. jobOrRunID derives the ID of
// the run's job from it.
func runName(schedule string, at int64) string {
	return "schedule/" + schedule + "@" + time.UnixMilli(at).UTC().Format("20060102T150405Z")
}

// Prefixes of the IDs of jobs and of workflow runs.
const (
	jobPrefix         = "job-"
	workflowRunPrefix = "run-"
)

// jobOrRunID returns the ID of a run's job, or of its workflow run. It is a hash of the run's name.
func (s *Spec) jobOrRunID(run string) string {
	h := fnv.New64a()
	h.Write([]byte(run))
	prefix := jobPrefix
	if s.Workflow != nil {
		prefix = workflowRunPrefix
	}
	return prefix + strconv.FormatUint(1e15+h.Sum64()%9e15, 10) // 16 digits
}

// workflowSubmission is the request body that submits a workflow.
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

// encodeSubmission returns the request body that submits the workflow under a run's ID.
func (s *Spec) encodeSubmission(id string) []byte {
	submission := workflowSubmission{
		Document: json.RawMessage(s.Workflow.Document),
		ID:       id,
		Inputs:   s.Workflow.Inputs,
	}
	submission.Job.Class, submission.Job.Priority, submission.Job.Team = s.Job.Class, s.Job.Priority, s.Job.Team
	return extension.Encode(submission)
}
