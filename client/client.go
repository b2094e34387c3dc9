// Package client submits jobs to grebedock's members, asks for them and cancels
// them, with the retries that users are asked to make: several members are tried,
// and Retry-After is heeded.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/internal/httpclient"
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

// Job is a job to submit. Times are seconds, sizes gigabytes.
type Job struct {
	ID                  string // "job-" and digits; empty: a new one
	Class, Team         string
	Kind                string // Array if empty
	Priority            string // low, standard (if empty), high, production
	Tasks               int    // at least 1, at most 100,000
	CPUs, GPUs          float64
	MemoryGB            float64
	Image               string
	ImageGB             float64
	Types               []string // allowed machine types; empty: any
	Zone                string   // the only allowed zone; empty: any
	OneZone             bool     // all tasks in the same zone
	Spread              bool     // at most half of the tasks in one zone
	Spot                bool     // may use machines that the cloud takes back
	EstimateS           float64  // of a task's run time without its image
	CheckpointS         float64  // between two checkpoints; 0: tasks save nothing
	CheckpointDurationS float64  // that a stopped task needs to save
	DeadlineS           float64  // from the submission on; 0: none
}

// State is how far a job is.
type State string

// The states of a job. The last two never change.
const (
	Pending   = State(scheduler.Pending)
	Running   = State(scheduler.Running)
	Done      = State(scheduler.Done)
	Cancelled = State(scheduler.Cancelled)
)

// IsFinal tells whether a job in this state never changes again.
func (s State) IsFinal() bool { return scheduler.JobState(s).IsTerminal() }

// Status is what members say of a job. Done and Running count tasks, for display.
type Status struct {
	ID            string
	State         State
	Done, Running int
}

// ErrNotFound says that there is no such job.
var ErrNotFound = errors.New("no such job")

// RejectedError is an answer that asking again does not change.
type RejectedError struct {
	Status int // of HTTP; 400 too for what is not even sent
	Reason string
}

func (r *RejectedError) Error() string { return fmt.Sprintf("refused (%d): %s", r.Status, r.Reason) }

// UnavailableError says that no member gave an answer that counts in the time that
// requests are repeated for. A submission may still have been accepted: the same
// id may be submitted again.
type UnavailableError struct {
	Attempts  int
	LastError string
}

func (u *UnavailableError) Error() string {
	return fmt.Sprintf("no answer after %d tries, the last: %s", u.Attempts, u.LastError)
}

// Times that users are asked to keep to.
const (
	submitTimeout = 5 * time.Second
	queryTimeout  = 2 * time.Second
)

// Client talks to members. Its methods may be called from any goroutine.
type Client struct{ failover *httpclient.FailoverClient }

// New returns a client of members at these addresses, host:port of their front
// address each. The first is tried first.
func New(members ...string) (*Client, error) {
	if len(members) == 0 {
		return nil, errors.New("no member is named")
	}
	for _, m := range members {
		if _, _, err := net.SplitHostPort(m); err != nil {
			return nil, fmt.Errorf("member %q: %w", m, err)
		}
	}
	return &Client{httpclient.NewFailoverClient(members)}, nil
}

// NewID is an id that nobody has used.
func NewID() string { return fmt.Sprintf("job-%018d", rand.Uint64N(1e18)) }

func (j *Job) toSchedulerJob() (*scheduler.Job, error) {
	p, ok := prioritiesByName[j.Priority]
	if !ok {
		return nil, &RejectedError{400, fmt.Sprintf("priority %q is none of low, standard, high, production", j.Priority)}
	}
	out := &scheduler.Job{
		ID:       j.ID,
		Class:    j.Class,
		Team:     j.Team,
		Kind:     scheduler.JobKind(j.Kind),
		Priority: p,
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
	if out.Kind == "" {
		out.Kind = scheduler.Array
	}
	if out.ID == "" {
		out.ID = NewID()
	}
	switch {
	case !wire.IsValidJobID(out.ID):
		return nil, &RejectedError{400, fmt.Sprintf("id %q is not \"job-\" and digits", out.ID)}
	case out.Kind != scheduler.Array && out.Kind != scheduler.Service && out.Kind != scheduler.Gang:
		return nil, &RejectedError{400, fmt.Sprintf("kind %q is none of array, service, gang", j.Kind)}
	case out.Tasks < 1 || out.Tasks > wire.MaxTasks:
		return nil, &RejectedError{400, fmt.Sprintf("tasks must be from 1 to %d", wire.MaxTasks)}
	}
	return out, nil
}

// Submit submits a job until a member has accepted it. A job whose id is known
// already is not submitted again: its state is returned.
func (c *Client) Submit(ctx context.Context, j Job) (Status, error) {
	core, err := j.toSchedulerJob()
	if err != nil {
		return Status{}, err
	}
	s, err := c.doUntilFinal(ctx, wire.SubmitRequest(core), submitTimeout)
	if s.ID == "" {
		s.ID = core.ID
	}
	return s, err
}

// Job asks for a job.
func (c *Client) Job(ctx context.Context, id string) (Status, error) {
	if !wire.IsValidJobID(id) {
		return Status{}, ErrNotFound
	}
	return c.doUntilFinal(ctx, wire.QueryRequest(id), queryTimeout)
}

// Cancel cancels a job, or returns that it is done.
func (c *Client) Cancel(ctx context.Context, id string) (Status, error) {
	if !wire.IsValidJobID(id) {
		return Status{}, ErrNotFound
	}
	return c.doUntilFinal(ctx, wire.CancelRequest(id), submitTimeout)
}

// Wait asks for a job until it is over. Each answer goes to progress, if that is
// not nil. While nobody answers it goes on asking until ctx ends.
func (c *Client) Wait(ctx context.Context, id string, interval time.Duration, progress func(Status)) (Status, error) {
	for {
		s, err := c.Job(ctx, id)
		var unavailable *UnavailableError
		if err != nil && !errors.As(err, &unavailable) {
			return s, err
		}
		if err == nil && progress != nil {
			progress(s)
		}
		if s.State.IsFinal() {
			return s, nil
		}
		if err := sleep(ctx, interval); err != nil {
			return s, err
		}
	}
}

// doUntilFinal makes a request until its answer counts.
func (c *Client) doUntilFinal(ctx context.Context, r wire.Request, timeout time.Duration) (Status, error) {
	res, addr, attempts, ok, err := c.failover.DoUntilFinal(ctx, r, timeout)
	if err != nil {
		return Status{}, err
	}
	a := wire.ParseUserResponse(res.Status, res.Body)
	switch {
	case !ok && res.Status == 0:
		return Status{}, &UnavailableError{attempts, addr + " does not answer"}
	case !ok:
		return Status{}, &UnavailableError{attempts, fmt.Sprintf("%s says %d %s", addr, res.Status, a.Error)}
	case res.Status/100 == 2:
		return Status{ID: a.ID, State: State(a.State), Done: a.Done, Running: a.Running}, nil
	case res.Status == 404:
		return Status{}, ErrNotFound
	}
	return Status{}, &RejectedError{res.Status, a.Error}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
