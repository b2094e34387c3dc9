package client

import (
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// Kinds of jobs.
const (
	Array   = string(scheduler.Array)   // each task runs to its end
	Service = string(scheduler.Service) // tasks run until the job is cancelled
	Gang    = string(scheduler.Gang)    // tasks run only all together
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
	ID          string // "job-" and digits; empty: a new one
	Class, Team string
	Kind        string // Array if empty
	Priority    string // low, standard (if empty), high, production
	Tasks       int    // at least 1, at most 100,000
	TaskResources
	Placement
	TaskTimes
}

// TaskResources is what each task needs.
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

// TaskTimes are in seconds.
type TaskTimes struct {
	EstimateS           float64 // of a task's run time without fetching its image
	CheckpointS         float64 // between two checkpoints; 0: tasks save nothing
	CheckpointDurationS float64 // that a stopped task needs to save
	DeadlineS           float64 // of the job, from its submission on; 0: none
}

// NewID returns an ID that nobody has used.
func NewID() string { return fmt.Sprintf("job-%018d", rand.Uint64N(1e18)) }

// toSchedulerJob returns the submission of a job, or a RejectedError.
func (j *Job) toSchedulerJob() (*scheduler.Job, error) {
	priority, ok := prioritiesByName[j.Priority]
	if !ok {
		return nil, invalid("priority %q is none of low, standard, high, production", j.Priority)
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
		return nil, invalid("id %q is not \"job-\" and digits", submission.ID)
	case !isKnownKind(submission.Kind):
		return nil, invalid("kind %q is none of array, service, gang", j.Kind)
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
