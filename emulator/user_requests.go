package emulator

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/scheduler"
)

// User requests other than submissions and polling: simultaneous cancellations of several jobs,
// cancellations at a job's end, concurrent queries to all members, and invalid requests.

// maxHungWorkers is the maximum number of machines that hang when jobs are cancelled together.
const maxHungWorkers = 8

// CancelRunningJobs cancels, within 200 ms, the count running jobs with the most unfinished tasks.
// If hangMS is above 0, up to maxHungWorkers of their machines hang for hangMS from now.
func (sim *Simulation) CancelRunningJobs(count int, hangMS int64) {
	workers := map[string][]*Worker{}
	sim.EachTask(func(worker *Worker, t *platformfake.Task) { workers[t.Job.ID] = append(workers[t.Job.ID], worker) })
	var running []*Job
	for _, id := range sim.JobIDs {
		if j := sim.Jobs[id]; len(workers[id]) > 0 && j.Accepted && !j.CancelRequested &&
			!j.ObservedState.IsTerminal() {
			running = append(running, j)
		}
	}
	remainingTasks := func(j *Job) int { return j.Spec.Tasks - len(j.DoneTasks) }
	slices.SortStableFunc(running, func(a, b *Job) int { return cmp.Compare(remainingTasks(b), remainingTasks(a)) })
	hung := 0
	for _, j := range running[:min(count, len(running))] {
		sim.After(sim.Rand.Int64N(200), func() { sim.CancelJob(j) })
		for _, worker := range workers[j.Spec.ID] {
			if hangMS > 0 && hung < maxHungWorkers && worker.HangUntil <= sim.Now {
				hung++
				worker.HangUntil = sim.Now + hangMS
			}
		}
	}
}

// CancelAtEnd cancels a share of the jobs when their last task ends, for ms milliseconds from now.
func (sim *Simulation) CancelAtEnd(probability float64, ms int64) {
	sim.cancelsAtEnd = faultRate{probability, sim.Now + ms}
}

// onJobDone is called when the last task of a job is done.
func (sim *Simulation) onJobDone(j *Job) {
	if j.Accepted && !j.CancelRequested && sim.cancelsAtEnd.occurs(sim) {
		sim.After(sim.Rand.Int64N(30), func() { sim.CancelJob(j) })
	}
	sim.readAtAllMembers(j)
}

// ReadConcurrently makes users query all members within concurrentReadWindowMS after a job was
// accepted, after its last task was done, and after its final state was reported, for ms
// milliseconds from now.
func (sim *Simulation) ReadConcurrently(ms int64) {
	sim.concurrentReadsUntil = max(sim.concurrentReadsUntil, sim.Now+ms)
}

// concurrentReadWindowMS is the time in ms within which concurrent queries are sent.
const concurrentReadWindowMS = 40

// readAtAllMembers queries each member twice, repeats the submission at one, and cancels one job in
// eight on average.
func (sim *Simulation) readAtAllMembers(j *Job) {
	if sim.concurrentReadsUntil <= sim.Now || !j.Accepted {
		return
	}
	sim.ConcurrentReads++
	for _, member := range sim.Members {
		for range 2 {
			sim.After(sim.Rand.Int64N(concurrentReadWindowMS), func() {
				sim.sendAndCheck(member, j, scheduler.UserRequest{Kind: scheduler.QueryJob, ID: j.Spec.ID})
			})
		}
	}
	sim.After(sim.Rand.Int64N(concurrentReadWindowMS), func() { sim.resubmit(sim.randomMember(), j) })
	if !j.CancelRequested && sim.Rand.IntN(8) == 0 {
		sim.After(sim.Rand.Int64N(concurrentReadWindowMS), func() { sim.CancelJob(j) })
	}
}

// resubmit repeats a job's submission.
func (sim *Simulation) resubmit(m *Member, j *Job) {
	resubmitted := j.Spec
	sim.sendAndCheck(m, j, scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: j.Spec.ID, Job: &resubmitted})
}

// sendAndCheck sends a request about a job and checks the response.
func (sim *Simulation) sendAndCheck(m *Member, j *Job, req scheduler.UserRequest) {
	requestedAt := sim.Now
	sim.SendRequestTo(m, req, func(resp scheduler.UserResponse, ok bool) {
		if ok {
			sim.ReceiveResponse(j, requestedAt, resp)
		}
	})
}

// SendInvalidRequests makes users, for ms milliseconds, resubmit unfinished jobs, cancel done jobs,
// and submit jobs that can never run or have a missing field.
func (sim *Simulation) SendInvalidRequests(ms int64) {
	active := sim.invalidRequestsUntil > sim.Now
	sim.invalidRequestsUntil = max(sim.invalidRequestsUntil, sim.Now+ms)
	if !active {
		sim.sendInvalidRequest()
	}
}

const invalidRequestIntervalMS = 300

func (sim *Simulation) sendInvalidRequest() {
	if sim.invalidRequestsUntil <= sim.Now {
		return
	}
	sim.After(1+sim.Rand.Int64N(2*invalidRequestIntervalMS), sim.sendInvalidRequest)
	if len(sim.JobIDs) == 0 {
		return
	}
	j := sim.Jobs[sim.JobIDs[sim.Rand.IntN(len(sim.JobIDs))]]
	switch sim.Rand.IntN(4) {
	case 0:
		if j.Accepted && !j.ObservedState.IsTerminal() {
			sim.resubmit(sim.randomMember(), j)
		}
	case 1:
		if j.ObservedState == scheduler.Done {
			sim.sendAndCheck(sim.randomMember(), j, scheduler.UserRequest{Kind: scheduler.CancelJob, ID: j.Spec.ID})
		}
	case 2:
		sim.submitInvalidJob(j.Spec, false)
	default:
		sim.submitInvalidJob(j.Spec, true)
	}
}

// submitInvalidJob submits a job with a missing field, or one that can never run. Valid responses
// are 503 and the status of the reason.
func (sim *Simulation) submitInvalidJob(template scheduler.Job, fieldMissing bool) {
	sim.invalidJobCount++
	id := fmt.Sprintf("job-8%05d", sim.invalidJobCount)
	req := scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: id, Malformed: "a field is missing"}
	wantedStatus := 400
	if !fieldMissing {
		template.ID = id
		makeImpossible[sim.Rand.IntN(len(makeImpossible))](&template)
		req.Job, req.Malformed, wantedStatus = &template, "", 422
	}
	sim.SendRequest(req, func(resp scheduler.UserResponse, ok bool) {
		if ok && resp.Status != wantedStatus && resp.Status != 503 {
			sim.recordViolation(wrongResponseRule, "%s gets %d, not %d", id, resp.Status, wantedStatus)
		}
	})
}
