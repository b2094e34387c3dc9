package client

import (
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// The kinds of jobs.
const (
	Array   = string(scheduler.Array)   // each task runs to completion
	Service = string(scheduler.Service) // tasks run until the job is cancelled
	Gang    = string(scheduler.Gang)    // all tasks run at the same time or none
)

var prioritiesByName = map[string]scheduler.Priority{
	"low":        scheduler.Low,
	"":           scheduler.Normal,
	"standard":   scheduler.Normal,
	"high":       scheduler.High,
	"production": scheduler.Production,
}

// Job is a job to submit.
type Job struct {
	ID          string // "job-" and digits; empty: Submit generates one
	Class, Team string
	Kind        string // Array if empty
	Priority    string // low, standard (if empty), high, production
	Tasks       int    // from 1 to 100,000
	TaskResources
	Placement
	TaskTimes
}

// TaskResources holds the resource requests of each task.
type TaskResources struct {
	CPUs, GPUs float64
	MemoryGB   float64
	Image      string
	ImageGB    float64
}

// Placement constrains where tasks run.
type Placement struct {
	Types   []string // allowed machine types; empty: any
	Zone    string   // the only allowed zone; empty: any
	OneZone bool     // all tasks in the same zone
	Spread  bool     // at most half of the tasks in one zone
	Spot    bool     // may run on spot machines, which the cloud reclaims
}

// TaskTimes holds durations of a job and its tasks, in seconds.
type TaskTimes struct {
	EstimateS           float64 // estimated run time of a task, without the image fetch
	CheckpointS         float64 // interval between checkpoints; 0: tasks save no checkpoints
	CheckpointDurationS float64 // time that a stopped task needs to save a checkpoint
	DeadlineS           float64 // deadline of the job, from its submission; 0: none
}

// NewID returns a random ID, which is unique with high probability.
func NewID() string { return fmt.Sprintf("job-%018d", rand.Uint64N(1e18)) }

// toSchedulerJob converts a job to the scheduler's form. It returns a *RejectedError if the job is invalid.
func (j *Job) toSchedulerJob() (*scheduler.Job, error) {
	priority, ok := prioritiesByName[j.Priority]
	if !ok {
		return nil, invalid("priority %q is not one of low, standard, high, production", j.Priority)
	}
	submission := &scheduler.Job{
		ID:       j.ID,
		Class:    j.Class,
		Team:     j.Team,
		Kind:     scheduler.JobKind(j.Kind),
		Priority: priority,
		Tasks:    j.Tasks,
		Request: availability.Resources{
			CPUs:     j.CPUs,
			GPUs:     j.GPUs,
			MemoryGB: j.MemoryGB,
			DiskGB:   j.ImageGB,
		},
		Image:               j.Image,
		Types:               j.Types,
		Zone:                j.Zone,
		OneZone:             j.OneZone,
		Spread:              j.Spread,
		Spot:                j.Spot,
		EstimateS:           j.EstimateS,
		CheckpointIntervalS: j.CheckpointS,
		CheckpointDurationS: j.CheckpointDurationS,
		DeadlineS:           j.DeadlineS,
	}
	if submission.Kind == "" {
		submission.Kind = scheduler.Array
	}
	if submission.ID == "" {
		submission.ID = NewID()
	}
	switch {
	case !wire.IsValidJobID(submission.ID):
		return nil, invalid("id %q must consist of \"job-\" and digits", submission.ID)
	case !isKnownKind(submission.Kind):
		return nil, invalid("kind %q is not one of array, service, gang", j.Kind)
	case submission.Tasks < 1 || submission.Tasks > wire.MaxTasks:
		return nil, invalid("tasks must be from 1 to %d", wire.MaxTasks)
	}
	return submission, nil
}

func isKnownKind(kind scheduler.JobKind) bool {
	return kind == scheduler.Array || kind == scheduler.Service || kind == scheduler.Gang
}

// invalid returns the error for a job that is rejected before it is sent.
func invalid(format string, args ...any) error {
	return &RejectedError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}
