package emulator

import (
	"fmt"

	"github.com/grebedock/grebedock/scheduler"
)

// Job is a job with the responses that its user received and the progress of its tasks on machines.
type Job struct {
	Spec              scheduler.Job
	Accepted          bool
	ObservedState     scheduler.JobState
	CancelRequested   bool  // by its user
	CancelConfirmedAt int64 // when a response first confirmed its cancellation to its user
	DoneTasks         map[string]bool
	StartCounts       map[string]int // number of starts, by task
	TaskRunS          float64        // run time of its tasks in seconds, for TaskRunMS functions
	SubmittedAt       int64
	// AcceptedAt is when its user received the first response that the job is accepted.
	AcceptedAt   int64
	FirstStartAt int64 // when its first task started, 0: not yet
	DoneAt       int64 // when its last task was done, 0: not yet

	finalObservedAt int64 // when its user received its final state
	// When its user last received a response with its state.
	lastResponseAt  int64
	longestRunMS    int64 // longest run time of its tasks that ran
	withinGuarantee bool  // submitted within its team's guarantee
	countedStartAt  map[string]int64
}

// NewJob returns a job that has not been submitted.
func NewJob(j scheduler.Job) *Job {
	return &Job{
		Spec:           j,
		DoneTasks:      map[string]bool{},
		StartCounts:    map[string]int{},
		countedStartAt: map[string]int64{},
	}
}

// SendRequest sends a user's request to a random member.
func (sim *Simulation) SendRequest(req scheduler.UserRequest, onResponse func(scheduler.UserResponse, bool)) {
	sim.SendRequestTo(sim.Members[sim.Rand.IntN(len(sim.Members))], req, onResponse)
}

// SendRequestTo sends a user's request to a member.
func (sim *Simulation) SendRequestTo(
	m *Member,
	req scheduler.UserRequest,
	onResponse func(scheduler.UserResponse, bool),
) {
	finished := false
	historyIndex := sim.recordRequest(req)
	finish := func(resp scheduler.UserResponse, ok bool) {
		if !finished {
			finished = true
			sim.recordResponse(historyIndex, resp, ok)
			onResponse(resp, ok)
		}
	}
	sim.sendMessage("users", m.Name, func() {
		if m.Core == nil {
			return
		}
		m.lastReplyID++
		replyID := m.lastReplyID
		m.pendingUserRequests[replyID] = func(resp scheduler.UserResponse) {
			if sim.options.InjectedFault.UserResponse != nil {
				sim.options.InjectedFault.UserResponse(&resp)
			}
			if sim.options.InjectedFault.ResponseToRequest != nil {
				sim.options.InjectedFault.ResponseToRequest(req, &resp)
			}
			sim.checkResponse(req, resp)
			sim.sendMessage(m.Name, "users", func() { finish(resp, true) })
		}
		m.Core.HandleUserRequest(m.Clock(), replyID, req)
		m.dispatchOutputs()
	})
	sim.After(5000, func() { finish(scheduler.UserResponse{}, false) })
}

// ReceiveResponse processes a response to a request that was sent at requestedAt, and checks it
// against the responses that the user had received before.
func (sim *Simulation) ReceiveResponse(j *Job, requestedAt int64, resp scheduler.UserResponse) {
	switch resp.Status {
	case 200, 201:
		j.lastResponseAt = sim.Now
		if j.ObservedState.IsTerminal() && requestedAt > j.finalObservedAt && resp.State != j.ObservedState {
			sim.recordViolation("went_back", "%s was %s, is %s", j.Spec.ID, j.ObservedState, resp.State)
		}
		mayFail := j.Spec.AtMostOnce || j.Spec.MaxTaskErrors > 0
		if resp.State == scheduler.Cancelled && !j.CancelRequested && !(mayFail && resp.FailureReason != "") {
			sim.recordViolation("went_back", "%s is cancelled, by nobody", j.Spec.ID)
		}
		if resp.State == scheduler.Cancelled && j.CancelConfirmedAt == 0 {
			j.CancelConfirmedAt = sim.Now
		}
		if resp.FailureReason != "" {
			sim.FailureReasons[resp.ID] = resp.FailureReason
		}
		if !j.Accepted {
			j.Accepted, j.AcceptedAt = true, sim.Now
			sim.checkAccepted(j)
			sim.readAtAllMembers(j)
		}
		if resp.State.IsTerminal() && !j.ObservedState.IsTerminal() {
			j.ObservedState, j.finalObservedAt = resp.State, sim.Now
			sim.readAtAllMembers(j)
		}
	case 404, 400, 422:
		if j.Accepted && requestedAt > j.AcceptedAt {
			sim.recordViolation("forgotten", "%s gets %d", j.Spec.ID, resp.Status)
		}
		sim.checkRefused(j, resp)
	}
}

// Submit makes a job's user submit it until it is accepted, and poll it periodically.
func (sim *Simulation) Submit(j *Job) {
	id := j.Spec.ID
	sim.Jobs[id] = j
	sim.JobIDs = append(sim.JobIDs, id)
	j.SubmittedAt = sim.Now
	j.withinGuarantee = sim.isWithinGuarantee(j)
	submitted := j.Spec
	if sim.options.InjectedFault.SubmittedJob != nil {
		sim.options.InjectedFault.SubmittedJob(&submitted)
	}
	var attempt func()
	attempt = func() {
		requestedAt := sim.Now
		sim.SendRequest(
			scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: id, Job: &submitted},
			func(resp scheduler.UserResponse, ok bool) {
				if ok {
					sim.ReceiveResponse(j, requestedAt, resp)
					sim.Tracef("user: %s submitted, response %d %s", id, resp.Status, resp.Error)
				}
				if !j.Accepted {
					sim.After(1000*int64(max(1, resp.RetryAfterS)), attempt)
				}
			},
		)
	}
	attempt()
	sim.Poll(j)
}

// SendRequestDirect sends a request to a member, bypassing the simulated network.
func (m *Member) SendRequestDirect(req scheduler.UserRequest, onResponse func(scheduler.UserResponse)) {
	m.lastReplyID++
	historyIndex := m.sim.recordRequest(req)
	m.pendingUserRequests[m.lastReplyID] = func(resp scheduler.UserResponse) {
		m.sim.recordResponse(historyIndex, resp, true)
		m.sim.checkResponse(req, resp)
		onResponse(resp)
	}
	m.Core.HandleUserRequest(m.Clock(), m.lastReplyID, req)
	m.dispatchOutputs()
}

// CancelJob makes a job's user cancel it, and retry until a member responds with status 200.
func (sim *Simulation) CancelJob(j *Job) {
	if !j.Accepted {
		sim.After(1000, func() { sim.CancelJob(j) })
		return
	}
	j.CancelRequested = true
	requestedAt := sim.Now
	sim.SendRequest(
		scheduler.UserRequest{Kind: scheduler.CancelJob, ID: j.Spec.ID},
		func(resp scheduler.UserResponse, ok bool) {
			if ok {
				sim.ReceiveResponse(j, requestedAt, resp)
			}
			if !ok || resp.Status != 200 {
				sim.After(1000, func() { sim.CancelJob(j) })
			}
		},
	)
}

// Poll makes a job's user query it periodically from now on.
func (sim *Simulation) Poll(j *Job) {
	sim.After(4000+sim.Rand.Int64N(2000), func() {
		requestedAt := sim.Now
		sim.SendRequest(
			scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID},
			func(resp scheduler.UserResponse, ok bool) {
				if ok {
					sim.ReceiveResponse(j, requestedAt, resp)
				}
			},
		)
		sim.Poll(j)
	})
}

// QueryUnknownJobs periodically queries jobs that were never submitted.
func (sim *Simulation) QueryUnknownJobs() {
	id := fmt.Sprintf("job-9%05d", sim.Rand.IntN(100000))
	sim.SendRequest(
		scheduler.UserRequest{Kind: scheduler.QueryJob, ID: id},
		func(resp scheduler.UserResponse, ok bool) {
			if ok && resp.Status == 200 {
				sim.recordViolation("invented", "%s gets 200", id)
			}
		},
	)
	sim.After(5000, sim.QueryUnknownJobs)
}
