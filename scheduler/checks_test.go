package scheduler_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

// Each check of the simulation has a planted fault that it finds.

// asked is a day without troubles on which users ask often and send odd requests.
func asked(seed uint64, told func(scheduler.UserRequest, *scheduler.UserAnswer)) *world {
	w := newWorld(seed, emulator.Sabotage{Told: told}, smallScale)
	w.calm = true
	w.shape = func(j *scheduler.Job, n int) { j.Once, j.MaxErrors = false, 0 }
	w.After(1, func() {
		w.CloseLooks(60_000)
		w.OddRequests(60_000)
		w.CancelAtEnd(0.3, 60_000)
	})
	w.run(40_000, 90_000, 30)
	return w
}

// What users hear at any member is held against one order of events: each answer that is
// older than an earlier one is found.
func TestOlderAnswersAreSeen(t *testing.T) {
	t.Parallel()
	submitted := func(r scheduler.UserRequest, a *scheduler.UserAnswer) bool {
		return r.Kind == scheduler.Submit && a.Status == 200
	}
	for name, told := range map[string]func(scheduler.UserRequest, *scheduler.UserAnswer){
		"nothing": nil,
		"accepted again": func(r scheduler.UserRequest, a *scheduler.UserAnswer) {
			if submitted(r, a) {
				a.Status, a.State = 201, scheduler.Pending
			}
		},
		"submitted again, pending after the end": func(r scheduler.UserRequest, a *scheduler.UserAnswer) {
			if submitted(r, a) && a.State.Final() {
				a.State = scheduler.Pending
			}
		},
		"submitted again, refused": func(r scheduler.UserRequest, a *scheduler.UserAnswer) {
			if submitted(r, a) {
				a.Status, a.State = 422, ""
			}
		},
		"submitted again, cancelled after done": func(r scheduler.UserRequest, a *scheduler.UserAnswer) {
			if submitted(r, a) && a.State == scheduler.Done {
				a.State = scheduler.Cancelled
			}
		},
		"cancelled again, unknown": func(r scheduler.UserRequest, a *scheduler.UserAnswer) {
			if r.Kind == scheduler.Cancel && a.State == scheduler.Done {
				a.Status, a.State = 404, ""
			}
		},
		"asked, running after the end": func(r scheduler.UserRequest, a *scheduler.UserAnswer) {
			if r.Kind == scheduler.Query && a.State.Final() && r.ID[len(r.ID)-1] == '3' {
				a.State = scheduler.Running
			}
		},
		"asked, no state": func(r scheduler.UserRequest, a *scheduler.UserAnswer) {
			if r.Kind == scheduler.Query && a.State == scheduler.Running {
				a.State = ""
			}
		},
		"accepted as done": func(r scheduler.UserRequest, a *scheduler.UserAnswer) {
			if a.Status == 201 {
				a.State = scheduler.Done
			}
		},
	} {
		w := asked(11, told)
		if seen := len(w.disorder(t)) > 0; seen != (told != nil) {
			t.Errorf("%s: seen %v", name, seen)
		}
		if told == nil && len(w.Broken) > 0 {
			t.Errorf("broken: %v", w.Broken)
		}
	}
}

// A job that is accepted though it can't run, or lacks a field, is seen, and so is one that
// is refused though it is right.
func TestWrongAcceptancesAreSeen(t *testing.T) {
	t.Parallel()
	for name, told := range map[string]func(scheduler.UserRequest, *scheduler.UserAnswer){
		"lacks a field": func(_ scheduler.UserRequest, a *scheduler.UserAnswer) {
			if a.Status == 400 {
				a.Status, a.State = 201, scheduler.Pending
			}
		},
		"can't run": func(_ scheduler.UserRequest, a *scheduler.UserAnswer) {
			if a.Status == 422 {
				a.Status, a.State = 201, scheduler.Pending
			}
		},
		"right and refused": func(r scheduler.UserRequest, a *scheduler.UserAnswer) {
			if a.Status == 201 && strings.HasSuffix(r.ID, "5") {
				a.Status = 422
			}
		},
		"right and malformed": func(r scheduler.UserRequest, a *scheduler.UserAnswer) {
			if a.Status == 201 && strings.HasSuffix(r.ID, "5") {
				a.Status = 400
			}
		},
	} {
		if w := asked(12, told); w.Broken["wrong_answer"] == "" {
			t.Errorf("%s is not seen: %v", name, w.Broken)
		}
	}
	// A user's own job that fits no machine.
	w := newWorld(13, emulator.Sabotage{Submit: func(j *scheduler.Job) { j.Request.CPUs = 1 }}, smallScale)
	w.calm = true
	w.shape = func(j *scheduler.Job, n int) {
		if n == 3 {
			j.Request.CPUs = 80
		}
	}
	w.run(10_000, 20_000, 5)
	if w.Broken["wrong_answer"] == "" {
		t.Errorf("a job that fits no machine is accepted, and not seen: %v", w.Broken)
	}
}

// longTasks run for so long that they never end by themselves.
func longTasks(*emulator.World, *emulator.Job, string) int64 { return 600_000 }

// A task of a confirmed cancellation that goes on after its machine hung is seen.
func TestCancelledTasksOnHungMachinesAreSeen(t *testing.T) {
	t.Parallel()
	hung := map[string]bool{} // tasks that were on machines that hang
	o := emulator.Options{Seed: 21, RunMS: longTasks, Sabotage: emulator.Sabotage{Start: func(a *scheduler.WorkerAnswer) {
		a.Commands = slices.DeleteFunc(a.Commands, func(c scheduler.Command) bool { return c.Kind == scheduler.Stop && hung[c.Task] })
	}}}
	w := build(smallScale, o)
	w.calm = true
	w.After(40_000, func() { w.CancelNow(3, 4000) })
	w.After(40_010, func() {
		w.Each(func(h *emulator.Host, t *standin.Task) {
			if h.HungTill > w.Now {
				hung[t.Name] = true
			}
		})
	})
	w.run(20_000, 90_000, 20)
	_, what, _ := strings.Cut(w.Broken["ran_cancelled"], "ms: ")
	if task, _, _ := strings.Cut(what, " "); !hung[task] {
		t.Errorf("%d tasks on machines that hang, broken: %v", len(hung), w.Broken)
	}
}

// Starts after a confirmed cancellation are counted, and past cancel_s they break the rule.
func TestCancelledStartsAreSeen(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]bool{"within cancel_s": false, "past cancel_s": true} {
		var w *world
		stopped := map[string]scheduler.Command{}
		at := map[string]int64{}
		o := emulator.Options{Seed: 22, RunMS: func(*emulator.World, *emulator.Job, string) int64 { return 15_000 }}
		// A task that was stopped is started once more, under another number.
		o.Sabotage.Start = func(a *scheduler.WorkerAnswer) {
			for _, c := range a.Commands {
				if j := w.Jobs[c.Task[:strings.IndexByte(c.Task, '/')]]; c.Kind == scheduler.Stop && j.Cancelled > 0 && at[c.Task] == 0 {
					c.Kind, c.Attempt = scheduler.Start, c.Attempt+1
					stopped[c.Task], at[c.Task] = c, w.Now
				}
			}
			for task, c := range stopped {
				if wait := w.Now - at[task]; a.Accepted && (late && float64(wait) > w.Params.CancelS*1000+1000 || !late && wait > 1000) {
					delete(stopped, task)
					a.Commands = append(a.Commands, c)
				}
			}
		}
		w = build(smallScale, o)
		w.calm = true
		w.After(30_000, func() { w.CancelNow(3, 0) })
		w.run(25_000, 90_000, 20)
		if w.CancelledStarts == 0 {
			t.Errorf("%s: none is counted", name)
		}
		if seen := strings.Contains(w.Broken["ran_cancelled"], "starts on"); seen != late {
			t.Errorf("%s: broken %v", name, w.Broken)
		}
	}
}

// served fails where less than half of a class, of a team, or of a class's largest or
// longest jobs was served, or one of the largest did not begin within four minutes.
func (w *world) served(t *testing.T) {
	t.Helper()
	for _, what := range w.Unserved() {
		t.Error(what)
	}
}

// A job that is left waiting while a machine that fits has room is seen, and one that
// waits for room, for its team's limit, or is served at last, is not.
func TestJobsLeftWaitingAreSeen(t *testing.T) {
	t.Parallel()
	const left = "job-000007"
	day := func(until int64) *world {
		w := newWorld(31, emulator.Sabotage{}, smallScale)
		w.calm = true
		w.shape = func(j *scheduler.Job, n int) { j.Once, j.MaxErrors = false, 0 }
		// Its starts never leave the members.
		without := func(commands []scheduler.Command) []scheduler.Command {
			return slices.DeleteFunc(commands, func(c scheduler.Command) bool {
				return c.Kind == scheduler.Start && strings.HasPrefix(c.Task, left+"/") && w.Now < until
			})
		}
		w.Spy = func(_ *emulator.Member, o *scheduler.Outputs) {
			for id, a := range o.Workers {
				a.Commands = without(a.Commands)
				o.Workers[id] = a
			}
			for i := range o.Do {
				o.Do[i].Commands = without(o.Do[i].Commands)
			}
		}
		w.run(20_000, 300_000, 30)
		return w
	}
	if w := day(300_000); !strings.Contains(w.Broken["left_waiting"], left) {
		t.Errorf("broken: %v", w.Broken)
	}
	if w := day(60_000); w.Broken["left_waiting"] != "" {
		t.Errorf("broken: %v", w.Broken)
	}
}
