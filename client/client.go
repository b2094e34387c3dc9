// Package client submits, queries and cancels jobs through grebedock's members, with the retries that the user
// API recommends: it tries several members and honours Retry-After.
//
// A Client owns only connections and does not cache responses. It assumes that an ID permanently identifies
// one job. A call ends when its response is final, when the time for retries has passed (UnavailableError; not
// for Wait), or when its context ends. Members may be unreachable, overloaded or restarting.
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

// The states of a job. Done and Cancelled are final.
const (
	Pending   = State(scheduler.Pending)
	Running   = State(scheduler.Running)
	Done      = State(scheduler.Done)
	Cancelled = State(scheduler.Cancelled)
)

// IsFinal reports whether a job in this state does not change any more.
func (s State) IsFinal() bool { return scheduler.JobState(s).IsTerminal() }

// Status is the status of a job as members report it. Done and Running count tasks and are for display.
type Status struct {
	ID            string
	State         State
	Done, Running int
}

// ErrNotFound reports that a job does not exist.
var ErrNotFound = errors.New("no such job")

// RejectedError reports that a request was rejected. Repeating the request does not change the response.
type RejectedError struct {
	Status int // HTTP status; 400 also if the client rejects a job before it sends a request
	Reason string
}

func (r *RejectedError) Error() string {
	return fmt.Sprintf("rejected with status %d: %s", r.Status, r.Reason)
}

// UnavailableError reports that no member gave a final response within the time for retries. A submission may
// still have been accepted; it is safe to submit the same ID again.
type UnavailableError struct {
	Attempts  int
	LastError string
}

func (u *UnavailableError) Error() string {
	return fmt.Sprintf("no final response after %d attempts; last error: %s", u.Attempts, u.LastError)
}

// Timeouts of one attempt, as the user API recommends them.
const (
	submitTimeout = 5 * time.Second
	queryTimeout  = 2 * time.Second
)

// Client sends requests to members. Its methods are safe for concurrent use.
type Client struct{ failover *httpclient.FailoverClient }

// New returns a client of members, each given as the host:port of its user API. Calls try them in order.
func New(members ...string) (*Client, error) {
	if len(members) == 0 {
		return nil, errors.New("at least one member address is required")
	}
	for _, member := range members {
		if _, _, err := net.SplitHostPort(member); err != nil {
			return nil, fmt.Errorf("invalid member address %q: %w", member, err)
		}
	}
	return &Client{httpclient.NewFailoverClient(members)}, nil
}

// Submit submits a job and retries until a member has accepted or rejected it. If a job with this ID exists
// already, Submit returns its status. The status contains the job's ID even if no final response was received.
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

// Cancel cancels a job and returns its status: Cancelled, or Done if the job was done already.
func (c *Client) Cancel(ctx context.Context, id string) (Status, error) {
	if !wire.IsValidJobID(id) {
		return Status{}, ErrNotFound
	}
	return c.doUntilFinal(ctx, wire.CancelRequest(id), submitTimeout)
}

// Wait queries a job at intervals until its state is final. It passes each status to progress, unless that is
// nil. While no member responds, Wait continues to query until ctx ends.
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

// doUntilFinal sends a request and retries it until the response is final.
func (c *Client) doUntilFinal(ctx context.Context, request wire.Request, timeout time.Duration) (Status, error) {
	response, member, attempts, final, err := c.failover.DoUntilFinal(ctx, request, timeout)
	if err != nil {
		return Status{}, err
	}
	body := wire.ParseUserResponse(response.Status, response.Body)
	switch {
	case !final && response.Status == 0:
		return Status{}, &UnavailableError{attempts, member + " did not respond"}
	case !final:
		return Status{}, &UnavailableError{
			attempts,
			fmt.Sprintf("%s returned %d %s", member, response.Status, body.Error),
		}
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
