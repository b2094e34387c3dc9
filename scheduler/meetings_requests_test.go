package scheduler_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

const (
	jobKeys   = "l/j/"
	claimKeys = "l/s/"
)

// Kinds of transactions that concern a job, or a claim that is handed back.
const (
	acceptWrite   = "accept"
	cancelWrite   = "cancel"
	jobEndWrite   = "end of a job"
	rangeEndWrite = "end of a range"
	moveWrite     = "move"
	handBackWrite = "hand-back"
)

// writeKinds tells kinds of transactions apart.
type writeKinds struct {
	ranges map[string]int // of each job, when its record was last written
}

// of returns a transaction's kind: of a change of a job's record what it does, otherwise
// what kind of key it writes.
func (k *writeKinds) of(op scheduler.StoreOp) string {
	change := op.Changes[0]
	kind := emulator.KindOf(change.Key)
	switch {
	case kind == claimKeys && change.Value == nil:
		return handBackWrite
	case strings.HasSuffix(change.Key, "/memory"):
		return "memory"
	case kind != jobKeys:
		return kind
	}
	var rec struct{ Ranges []any }
	if change.Value != nil {
		if err := json.Unmarshal(change.Value, &rec); err != nil {
			return "unreadable"
		}
	}
	before := k.ranges[change.Key]
	k.ranges[change.Key] = len(rec.Ranges)
	guardOf := func(prefix string) *scheduler.Guard {
		i := slices.IndexFunc(op.Guards, func(g scheduler.Guard) bool { return strings.HasPrefix(g.Key, prefix) })
		if i < 0 {
			return nil
		}
		return &op.Guards[i]
	}
	switch {
	case guardOf(claimKeys) == nil && change.Value == nil:
		return cancelWrite
	case guardOf(claimKeys) == nil:
		return acceptWrite
	case change.Value == nil:
		return jobEndWrite
	case len(rec.Ranges) > before:
		return moveWrite
	case len(rec.Ranges) < before:
		return rangeEndWrite
	}
	return "begun"
}

// jobsOf are the jobs whose records a transaction changes.
func (w *world) jobsOf(op scheduler.StoreOp) (jobs []*emulator.Job) {
	for _, c := range op.Changes {
		if id, ok := strings.CutPrefix(c.Key, jobKeys); ok && w.Jobs[id] != nil {
			jobs = append(jobs, w.Jobs[id])
		}
	}
	return jobs
}

// jobWrites calls f for each transaction about a job that a member is about to send.
func (w *world) jobWrites(f func(m *emulator.Member, kind string, j *emulator.Job)) {
	kinds := &writeKinds{map[string]int{}}
	w.Spy = func(m *emulator.Member, o *scheduler.Outputs) {
		for _, op := range o.Store {
			if op.Kind != scheduler.StoreTxn || !strings.HasPrefix(op.Changes[0].Key, jobKeys) {
				continue
			}
			kind := kinds.of(op)
			for _, j := range w.jobsOf(op) {
				f(m, kind, j)
			}
		}
	}
}

// askOn asks about a job at one member after the other, so many times, each time as soon
// as the last answer is there. Some questions are repeated submissions.
func (w *world) askOn(j *emulator.Job, times int, showed map[string]int) {
	request := scheduler.UserRequest{Kind: scheduler.Query, ID: j.Job.ID}
	if w.Rand.IntN(4) == 0 {
		again := j.Job
		request.Kind, request.Job = scheduler.Submit, &again
	}
	asked := w.Now
	w.AskAt(w.member(), request, func(a scheduler.UserAnswer, ok bool) {
		if !ok {
			return
		}
		if a.Status == 503 {
			showed["answers 503"]++
		} else {
			showed["answers"]++
		}
		w.Hear(j, asked, a)
		if times > 1 {
			w.askOn(j, times-1, showed)
		}
	})
}

// crowd has several users ask about a job at once, each of them again and again.
func (w *world) crowd(j *emulator.Job, showed map[string]int) {
	const users, times, withinMS = 3, 4, 20
	for range users {
		w.After(w.Rand.Int64N(withinMS), func() { w.askOn(j, times, showed) })
	}
}

// runningOn tells on which machines tasks of each job are that its user goes on with.
func (w *world) runningOn() map[string][]*emulator.Host {
	on := map[string][]*emulator.Host{}
	w.Each(func(h *emulator.Host, t *standin.Task) {
		if j := w.Jobs[t.Job.ID]; j.Accepted && !j.Cancel && !j.Told.Final() {
			on[t.Job.ID] = append(on[t.Job.ID], h)
		}
	})
	return on
}

// cancelSome cancels up to so many jobs that run, within a fifth of a second, and does
// something to their machines before. It returns how many.
func (w *world) cancelSome(count int, does func(*emulator.Host)) int {
	on, done := w.runningOn(), map[*emulator.Host]bool{}
	n := 0
	for _, id := range w.Order {
		if len(on[id]) == 0 || n == count || w.Rand.IntN(2) == 0 {
			continue
		}
		n++
		for _, h := range on[id] {
			if !done[h] {
				done[h] = true
				does(h)
			}
		}
		w.After(w.Rand.Int64N(200), func() { w.CancelJob(w.Jobs[id]) })
	}
	return n
}

// outOfReach cuts a machine off, hangs it, or has it hear nothing or reach nobody, for so long.
func (w *world) outOfReach(h *emulator.Host, ms int64) {
	switch w.Rand.IntN(4) {
	case 0:
		w.Cuts = append(w.Cuts, emulator.Cut{A: "w" + h.Rental.ID, Until: w.Now + ms})
	case 1:
		h.HungTill = w.Now + ms
	case 2:
		w.Deafen(h, ms)
	default:
		w.Mute(h, ms)
	}
}

// limited gives both teams a limit, and tells whether one of them has room for no
// further task of the usual size.
func (w *world) limited(cpus float64) (atLimit func() bool) {
	w.Params.Teams = map[string]scheduler.Team{"t0": {MaxCPUs: cpus, CPUs: cpus / 3}, "t1": {MaxCPUs: cpus}}
	const usual = 4
	return func() bool {
		use := map[string]float64{}
		w.Each(func(_ *emulator.Host, t *standin.Task) { use[t.Job.Team] += t.Job.Request.CPUs })
		return use["t0"] > cpus-usual || use["t1"] > cpus-usual
	}
}

// wholeLimit has each team submit, once all troubles are over, one task that takes all
// of its limit: it never runs if anything that was held of the limit was not given back.
func (w *world) wholeLimit(cpus float64, showed map[string]int) {
	const calmMS = 60_000
	for _, team := range []string{"t0", "t1"} {
		w.After(meetBusy+calmMS, func() {
			j := emulator.NewJob(scheduler.Job{ID: "job-limit-" + team, Class: "whole limit", Team: team, Kind: scheduler.Array, Priority: scheduler.Normal,
				Tasks: 1, Request: availability.Room{CPUs: cpus, MemoryGB: 8, DiskGB: 1}, Image: "img-0", EstimateS: 5})
			w.Submit(j)
			showed["tasks of a whole limit"]++
		})
	}
}

// logs calls f for each line that a member logs.
func (w *world) logs(f func(m *emulator.Member, l scheduler.LogLine)) {
	w.Spy = func(m *emulator.Member, o *scheduler.Outputs) {
		for _, l := range o.Logs {
			f(m, l)
		}
	}
}

// requestMeetings are the meetings about what users ask: answers, cancellations and
// limits, while controllers change (docs/notes/meetings.md).
var requestMeetings = map[string]meeting{
	// Users ask at all members, again and again within milliseconds, repeat the submission
	// and cancel, right after a job was accepted, ended or confirmed as cancelled, while
	// mirrors are behind, members pass questions on, and some just took over.
	"close looks at all members": {
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.CloseLooks(meetBusy)
			told := map[string]bool{}
			kinds := &writeKinds{map[string]int{}}
			w.Spy = func(m *emulator.Member, o *scheduler.Outputs) {
				for _, a := range o.Users {
					j, what := w.Jobs[a.ID], string(a.State)
					if a.Status == 201 {
						what = "accepted"
					} else if !a.State.Final() {
						continue
					}
					if j != nil && !told[a.ID+what] && w.Now < meetBusy {
						told[a.ID+what] = true
						showed["asked when "+what]++
						w.crowd(j, showed)
					}
				}
				for _, op := range o.Store {
					if op.Kind != scheduler.StoreTxn || kinds.of(op) != acceptWrite || w.Rand.IntN(2) == 0 {
						continue
					}
					for _, j := range w.jobsOf(op) { // the same job at another member: both are about to accept it
						showed["second acceptances"]++
						again, asked := j.Job, w.Now
						w.AskAt(w.member(), scheduler.UserRequest{Kind: scheduler.Submit, ID: j.Job.ID, Job: &again}, func(a scheduler.UserAnswer, ok bool) {
							if ok {
								w.Hear(j, asked, a)
							}
						})
					}
				}
			}
			w.every(15_000, meetBusy, func() { w.SlowState(1500, 6000) })
			w.every(12_000, meetBusy, func() { w.Away(w.member().Name, 1000+w.Rand.Int64N(5000)) })
			w.every(20_000, meetBusy, func() { w.member().Crash(300 + w.Rand.Int64N(18_000)) })
			w.every(25_000, meetBusy, func() { w.Lags[w.member().Name] = emulator.Lag{Until: w.Now + 5000, MS: 1500} })
		},
		least: map[string]int{"asked when accepted": 200, "asked when done": 100, "asked when cancelled": 60, "second acceptances": 100, "answers": 3000, "relayed": 100},
	},
	// A transaction is carried out at once and only its answer is lost, while users ask at
	// all members; some of its writers end, and the mirrors of others are behind, so that
	// they give the write up before they see it.
	"only the answer is lost": {
		shape: func(w *world, j *scheduler.Job, n int) {
			j.OneZone, j.Spread, j.Zone = false, false, "" // so that tasks move
			if n%2 == 0 && j.Request.CPUs <= 4 {
				j.Tasks = 6 + n%7
			}
		},
		brings: func(t *testing.T, w *world, showed map[string]int) {
			kinds := &writeKinds{map[string]int{}}
			behind := map[string]int64{} // by member, until when
			w.Delay = func(from, to string) int64 {
				if from == "store" && behind[to] > w.Now {
					return 1500 + w.Rand.Int64N(2500)
				}
				return 0
			}
			w.LoseIf = func(m *emulator.Member, op scheduler.StoreOp) bool {
				kind, jobs := kinds.of(op), w.jobsOf(op)
				share := 0.25
				switch {
				case len(jobs) > 0:
					share = 0.6
				case kind == handBackWrite:
					share = 1 // there are few
				}
				if w.Now > meetBusy || w.Rand.Float64() > share {
					return false
				}
				showed["lost answer: "+kind]++
				for _, j := range jobs {
					w.crowd(j, showed)
					if kind == acceptWrite && w.Rand.IntN(5) == 0 {
						w.After(w.Rand.Int64N(300), func() { w.CancelJob(j) })
					}
				}
				switch w.Rand.IntN(12) {
				case 0:
					w.After(w.Rand.Int64N(400), func() { m.Crash(150 + w.Rand.Int64N(1500)) })
				case 1, 2:
					behind[m.Name] = w.Now + 3000
					showed["mirror of the writer behind"]++
				}
				return true
			}
			w.every(40_000, meetBusy, func() { w.member().Crash(15_000 + w.Rand.Int64N(8000)) }) // adopted, and handed back
		},
		least: map[string]int{"mirror of the writer behind": 20, "lost answer: accept": 60, "lost answer: cancel": 20, "lost answer: end of a job": 60, "lost answer: end of a range": 4, "lost answer: move": 4,
			"lost answer: p/": 20, "lost answer: memory": 10, "lost answer: l/s/": 6, "lost answer: hand-back": 1, "lost answer: l/m/": 10, "lost answer: l/u/": 10, "lost answer: l/t/": 10},
	},
	// Every team is at its limit while jobs are cancelled whose machines are cut off or
	// hang, and the leader changes.
	"at the limit, cancelled on machines out of reach": {
		shape: func(w *world, j *scheduler.Job, n int) { j.OneZone, j.Spread = false, false },
		brings: func(t *testing.T, w *world, showed map[string]int) {
			const limit = 64
			atLimit := w.limited(limit)
			w.wholeLimit(limit, showed)
			w.logs(func(_ *emulator.Member, l scheduler.LogLine) { showed[l.Text]++ })
			w.every(11_000, meetBusy, func() {
				if atLimit() {
					showed["at a limit"]++
				}
				long := 2000 + w.Rand.Int64N(22_000)
				showed["cancelled"] += w.cancelSome(1+w.Rand.IntN(3), func(h *emulator.Host) { w.outOfReach(h, long) })
				down := 200 + w.Rand.Int64N(2500)
				if w.Rand.IntN(3) == 0 {
					down = 14_000 + w.Rand.Int64N(6000)
				}
				w.After(w.Rand.Int64N(3000), func() { w.member().Crash(down) })
			})
		},
		least: map[string]int{"at a limit": 10, "cancelled": 60, "shard claimed": 40, "machine silent past its lease": 20, "machine in a new session": 20, "tasks of a whole limit": 12},
	},
	// A team is at its limit when the leader changes, some of its machines can't be asked,
	// and a cancellation falls into the time until the new leader has heard them all.
	"at the limit, cancelled before all machines are heard": {
		shape: func(w *world, j *scheduler.Job, n int) { j.OneZone, j.Spread = false, false },
		brings: func(t *testing.T, w *world, showed map[string]int) {
			const limit = 64
			atLimit := w.limited(limit)
			w.wholeLimit(limit, showed)
			squaring := map[string]bool{}
			w.logs(func(_ *emulator.Member, l scheduler.LogLine) {
				showed[l.Text]++
				switch l.Text {
				case "shard claimed":
					shard := l.Args[1].(string)
					squaring[shard] = true
					if w.Now < 12_000 || w.Now > meetBusy {
						return
					}
					if atLimit() {
						showed["claimed at a limit"]++
					}
					w.SomeUp(0.3, func(h *emulator.Host) { w.outOfReach(h, 1000+w.Rand.Int64N(15_000)) })
					w.SomeUp(0.3, func(h *emulator.Host) { w.HoldCommands(h, 1000+w.Rand.Int64N(9000), w.Rand.IntN(2) == 0) })
					for at := int64(0); at < 5000; at += 300 { // what they are told first is lost to some
						w.After(at, func() {
							w.SomeUp(0.1, func(h *emulator.Host) { w.Deafen(h, 300+w.Rand.Int64N(3000)) })
						})
					}
					for range 3 {
						w.After(w.Rand.Int64N(7000), func() {
							if squaring[shard] {
								showed["cancelled meanwhile"] += w.cancelSome(1, func(*emulator.Host) {})
							}
						})
					}
				case "shard squared":
					squaring[l.Args[1].(string)] = false
				}
			})
			w.every(15_000, meetBusy, func() { w.member().Crash(200 + w.Rand.Int64N(2500)) })
			w.every(40_000, meetBusy, func() { w.member().Crash(14_000 + w.Rand.Int64N(6000)) })
		},
		least: map[string]int{"claimed at a limit": 8, "cancelled meanwhile": 30, "tasks of a whole limit": 12},
	},
	// Jobs are cancelled in the seconds in which one controller's work changes hands, and
	// while a range of theirs moves from one shard to another.
	"cancelled while work changes hands": {
		shape: func(w *world, j *scheduler.Job, n int) {
			j.OneZone, j.Spread, j.Zone = false, false, ""
			if n%2 == 0 && j.Request.CPUs <= 4 {
				j.Tasks = 6 + n%7
			}
		},
		brings: func(t *testing.T, w *world, showed map[string]int) {
			kinds := &writeKinds{map[string]int{}}
			mayHang := func(h *emulator.Host) {
				if w.Rand.IntN(4) == 0 {
					h.HungTill = w.Now + 1000 + w.Rand.Int64N(9000)
				}
			}
			w.Spy = func(m *emulator.Member, o *scheduler.Outputs) {
				if w.Now < 12_000 || w.Now > meetBusy {
					return
				}
				for _, l := range o.Logs {
					what := l.Text
					if what == "shard claimed" && l.Args[1] != m.Name {
						what = "shard adopted"
					}
					if what != "shard claimed" && what != "shard adopted" && what != "shard handed back" && what != "shard ready" {
						continue
					}
					showed[what]++
					w.After(w.Rand.Int64N(2500), func() { showed["cancelled at "+what] += w.cancelSome(1, mayHang) })
				}
				for _, op := range o.Store {
					if op.Kind != scheduler.StoreTxn || kinds.of(op) != moveWrite || w.Rand.IntN(3) > 0 {
						continue
					}
					for _, j := range w.jobsOf(op) {
						showed["cancelled at a move"]++
						w.After(w.Rand.Int64N(60), func() { w.CancelJob(j) })
						if w.Rand.IntN(3) == 0 { // one of both ends
							w.After(w.Rand.Int64N(300), func() { w.member().Crash(200 + w.Rand.Int64N(2000)) })
						}
					}
				}
			}
			w.every(14_000, meetBusy, func() { w.member().Crash(14_000 + w.Rand.Int64N(5000)) })
			w.every(25_000, meetBusy, func() { w.member().Crash(200 + w.Rand.Int64N(2500)) })
		},
		least: map[string]int{"cancelled at shard claimed": 10, "cancelled at shard adopted": 10, "cancelled at shard handed back": 5, "cancelled at a move": 10},
	},
	// A cancellation, a question or a repeated submission meets the end of a job's last
	// task, with no other trouble.
	"requests at the end of the last task": {
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.Loss = 0
			w.CancelAtEnd(0.3, meetBusy)
			w.CloseLooks(meetBusy)
			w.jobWrites(func(_ *emulator.Member, kind string, j *emulator.Job) {
				if kind != jobEndWrite || w.Now > meetBusy {
					return
				}
				showed["ends"]++
				w.crowd(j, showed)
				if w.Rand.IntN(2) == 0 {
					showed["cancelled at the end"]++
					w.After(w.Rand.Int64N(25), func() { w.CancelJob(j) })
				}
			})
			const upMS = 5000 // by then all members can answer
			look := w.Spy
			w.Spy = func(m *emulator.Member, o *scheduler.Outputs) {
				look(m, o)
				for _, a := range o.Users {
					if a.Status == 503 && w.Now > upMS {
						t.Errorf("%s gets 503 with no trouble: %s", a.ID, a.Error)
					}
				}
			}
		},
		least: map[string]int{"ends": 100, "cancelled at the end": 50, "answers": 1000},
	},
}
