// Package client submits jobs to grebedock's members, queries and cancels them, with the retries that users
// are asked to make: several members are tried, and Retry-After is honoured.
//
// It owns connections and nothing else: what members respond is not cached. It assumes that an ID names one
// job for ever. It promises that a call ends when its response is final, when the time for retries is over
// (UnavailableError; not for Wait), or when its context ends. It is built for members that are unreachable,
// overloaded or restarting.
package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// State is the state of a job.
type State string

// The states of a job. The last two never change.
const (
	Pending   = State(scheduler.Pending)
	Running   = State(scheduler.Running)
	Done      = State(scheduler.Done)
	Cancelled = State(scheduler.Cancelled)
)

// IsFinal reports whether a job in this state never changes again.
func (s State) IsFinal() bool { return scheduler.JobState(s).IsTerminal() }

// Status is what members report of a job. Done and Running count tasks, for display.
type Status struct {
	ID            string
	State         State
	Done, Running int
}

// ErrNotFound is returned for a job that does not exist.
var ErrNotFound = errors.New("no such job")

// RejectedError is a final response: repeating the request does not change it.
type RejectedError struct {
	Status int // of HTTP; 400 also for what is rejected before it is sent
	Reason string
}

func (r *RejectedError) Error() string { return fmt.Sprintf("refused (%d): %s", r.Status, r.Reason) }

// UnavailableError is returned when no member gave a final response in the time for retries. A submission may
// still have been accepted: the same ID may be submitted again.
type UnavailableError struct {
	Attempts  int
	LastError string
}

func (u *UnavailableError) Error() string {
	return fmt.Sprintf("no answer after %d tries, the last: %s", u.Attempts, u.LastError)
}

// Timeouts of one attempt, as users are asked to keep to.
const (
	submitTimeout = 5 * time.Second
	queryTimeout  = 2 * time.Second
)

// Client sends requests to members. Its methods may be called from any goroutine.
type Client struct{ failover *httpclient.FailoverClient }

// New returns a client of members, given as host:port of their user API each. The first is tried first.
func New(members ...string) (*Client, error) {
	if len(members) == 0 {
		return nil, errors.New("no member is named")
	}
	for _, member := range members {
		if _, _, err := net.SplitHostPort(member); err != nil {
			return nil, fmt.Errorf("member %q: %w", member, err)
		}
	}
	return &Client{httpclient.NewFailoverClient(members)}, nil
}

// Submit submits a job until a member has accepted it. A job whose ID is known already is not submitted
// again: its status is returned. The status has the job's ID also when the response is not final.
func (c *Client) Submit(ctx context.Context, job Job) (Status, error) {
	submission, err := job.toSchedulerJob()
	if err != nil {
		return Status{}, err
	}
	status, err := c.doUntilFinal(ctx, wire.SubmitRequest(submission), submitTimeout)
	if status.ID == "" {
		status.ID = submission.ID
	}
	return status, err
}

// Job returns the status of a job, or ErrNotFound.
func (c *Client) Job(ctx context.Context, id string) (Status, error) {
	if !wire.IsValidJobID(id) {
		return Status{}, ErrNotFound
	}
	return c.doUntilFinal(ctx, wire.QueryRequest(id), queryTimeout)
}

// Cancel cancels a job and returns its status: Cancelled, or Done if it was done already.
func (c *Client) Cancel(ctx context.Context, id string) (Status, error) {
	if !wire.IsValidJobID(id) {
		return Status{}, ErrNotFound
	}
	return c.doUntilFinal(ctx, wire.CancelRequest(id), submitTimeout)
}

// Wait queries a job at intervals until its state is final. Each status goes to progress, unless that is nil.
// While no member responds it goes on until ctx ends.
func (c *Client) Wait(ctx context.Context, id string, interval time.Duration, progress func(Status)) (Status, error) {
	for {
		status, err := c.Job(ctx, id)
		var unavailable *UnavailableError
		if err != nil && !errors.As(err, &unavailable) {
			return status, err
		}
		if err == nil && progress != nil {
			progress(status)
		}
		if status.State.IsFinal() {
			return status, nil
		}
		if err := sleep(ctx, interval); err != nil {
			return status, err
		}
	}
}

// doUntilFinal sends a request until its response is final.
func (c *Client) doUntilFinal(ctx context.Context, request wire.Request, timeout time.Duration) (Status, error) {
	response, member, attempts, final, err := c.failover.DoUntilFinal(ctx, request, timeout)
	if err != nil {
		return Status{}, err
	}
	body := wire.ParseUserResponse(response.Status, response.Body)
	switch {
	case !final && response.Status == 0:
		return Status{}, &UnavailableError{attempts, member + " does not answer"}
	case !final:
		return Status{}, &UnavailableError{attempts, fmt.Sprintf("%s says %d %s", member, response.Status, body.Error)}
	case response.Status/100 == 2:
		return Status{ID: body.ID, State: State(body.State), Done: body.Done, Running: body.Running}, nil
	case response.Status == http.StatusNotFound:
		return Status{}, ErrNotFound
	}
	return Status{}, &RejectedError{response.Status, body.Error}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
