package emulator

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

// What users do beside submitting jobs and polling them: many cancellations at once,
// cancellations at a job's end, questions at all members within milliseconds, and
// requests that make no sense.

// hungMachines is how many machines of jobs that are cancelled together may hang.
const hungMachines = 8

// CancelNow has users cancel so many jobs that run and have the most left, within a fifth
// of a second. With hangMS, up to eight of their machines hang that long from then on.
func (w *World) CancelNow(count int, hangMS int64) {
	on := map[string][]*Host{}
	w.Each(func(h *Host, t *standin.Task) { on[t.Job.ID] = append(on[t.Job.ID], h) })
	var running []*Job
	for _, id := range w.Order {
		if j := w.Jobs[id]; len(on[id]) > 0 && j.Accepted && !j.Cancel && !j.Told.Final() {
			running = append(running, j)
		}
	}
	left := func(j *Job) int { return j.Job.Tasks - len(j.Done) }
	slices.SortStableFunc(running, func(a, b *Job) int { return cmp.Compare(left(b), left(a)) })
	hung := 0
	for _, j := range running[:min(count, len(running))] {
		w.After(w.Rand.Int64N(200), func() { w.CancelJob(j) })
		for _, h := range on[j.Job.ID] {
			if hangMS > 0 && hung < hungMachines && h.HungTill <= w.Now {
				hung++
				h.HungTill = w.Now + hangMS
			}
		}
	}
}

// CancelAtEnd has users cancel that share of the jobs that end, as their last task ends.
func (w *World) CancelAtEnd(of float64, ms int64) { w.endCancels = share{of, w.Now + ms} }

// endedJob is called as the last task of a job ends.
func (w *World) endedJob(j *Job) {
	if j.Accepted && !j.Cancel && w.endCancels.draws(w) {
		w.After(w.Rand.Int64N(30), func() { w.CancelJob(j) })
	}
	w.lookClosely(j)
}

// CloseLooks has users ask at all members within milliseconds after a job was accepted,
// ended, or told to be over.
func (w *World) CloseLooks(ms int64) { w.closeLooks = max(w.closeLooks, w.Now+ms) }

// lookMS is within how many milliseconds of each other close looks are.
const lookMS = 40

// lookClosely asks twice at each member, repeats the submission at one, and cancels
// every eighth job.
func (w *World) lookClosely(j *Job) {
	if w.closeLooks <= w.Now || !j.Accepted {
		return
	}
	w.Looks++
	for _, m := range w.Members {
		for range 2 {
			w.After(w.Rand.Int64N(lookMS), func() {
				w.askAbout(m, j, scheduler.UserRequest{Kind: scheduler.Query, ID: j.Job.ID})
			})
		}
	}
	w.After(w.Rand.Int64N(lookMS), func() { w.submitAgain(w.anyMember(), j) })
	if !j.Cancel && w.Rand.IntN(8) == 0 {
		w.After(w.Rand.Int64N(lookMS), func() { w.CancelJob(j) })
	}
}

// submitAgain repeats a job's submission.
func (w *World) submitAgain(m *Member, j *Job) {
	again := j.Job
	w.askAbout(m, j, scheduler.UserRequest{Kind: scheduler.Submit, ID: j.Job.ID, Job: &again})
}

// askAbout sends a request about a job and checks the answer.
func (w *World) askAbout(m *Member, j *Job, r scheduler.UserRequest) {
	asked := w.Now
	w.AskAt(m, r, func(a scheduler.UserAnswer, ok bool) {
		if ok {
			w.Hear(j, asked, a)
		}
	})
}

// OddRequests has users, for so long, repeat submissions of unfinished jobs, cancel jobs
// that are done, and send jobs that fit no machine or lack a field.
func (w *World) OddRequests(ms int64) {
	begun := w.oddRequests > w.Now
	w.oddRequests = max(w.oddRequests, w.Now+ms)
	if !begun {
		w.oddRequest()
	}
}

const oddPauseMS = 300

func (w *World) oddRequest() {
	if w.oddRequests <= w.Now {
		return
	}
	w.After(1+w.Rand.Int64N(2*oddPauseMS), w.oddRequest)
	if len(w.Order) == 0 {
		return
	}
	j := w.Jobs[w.Order[w.Rand.IntN(len(w.Order))]]
	switch w.Rand.IntN(4) {
	case 0:
		if j.Accepted && !j.Told.Final() {
			w.submitAgain(w.anyMember(), j)
		}
	case 1:
		if j.Told == scheduler.Done {
			w.askAbout(w.anyMember(), j, scheduler.UserRequest{Kind: scheduler.Cancel, ID: j.Job.ID})
		}
	case 2:
		w.sendWrongJob(j.Job, false)
	default:
		w.sendWrongJob(j.Job, true)
	}
}

// sendWrongJob submits a job that lacks a field, or one that can never run. Both
// may be answered by 503, or by the status that says why.
func (w *World) sendWrongJob(like scheduler.Job, lacksField bool) {
	w.oddJobs++
	id := fmt.Sprintf("job-8%05d", w.oddJobs)
	r := scheduler.UserRequest{Kind: scheduler.Submit, ID: id, Bad: "a field is missing"}
	want := 400
	if !lacksField {
		like.ID = id
		impossibleJobs[w.Rand.IntN(len(impossibleJobs))](&like)
		r.Job, r.Bad, want = &like, "", 422
	}
	w.Ask(r, func(a scheduler.UserAnswer, ok bool) {
		if ok && a.Status != want && a.Status != 503 {
			w.fail(wrongAnswer, "%s gets %d, not %d", id, a.Status, want)
		}
	})
}
