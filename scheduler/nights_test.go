package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

// Days with the troubles of the operations deployments (docs/incidents): members cut from
// one side only, processes that stand still, long silence, machines that come up late or
// never, users who ask many times as often, a team without a guarantee, and jobs that
// fail on every machine.

// Classes of the team without a guarantee.
const (
	guestTeam  = "guest"
	idleClass  = "guest-idle"
	passClass  = "guest-pass"
	smallClass = "guest-small"
)

// nightRunMS is how long tasks run on these days.
func nightRunMS(w *emulator.World, j *emulator.Job, _ string) int64 {
	switch j.Job.Class {
	case idleClass:
		return 20_000 + w.Rand.Int64N(20_000)
	case passClass:
		return 50 + w.Rand.Int64N(100)
	case smallClass:
		return 500 + w.Rand.Int64N(2500)
	}
	return 1000 + w.Rand.Int64N(20_000)
}

// countLogs counts what members log, by its text.
func (w *world) countLogs(showed map[string]int) {
	w.logs(func(_ *emulator.Member, l scheduler.LogLine) { showed[l.Text]++ })
}

// guestJob submits a job of the team without a guarantee at a time.
func (w *world) guestJob(at int64, id, class string, tasks int, cpus float64, p scheduler.Priority) {
	w.After(at, func() {
		w.Submit(emulator.NewJob(scheduler.Job{ID: id, Class: class, Team: guestTeam, Kind: scheduler.Array, Priority: p, Tasks: tasks,
			Request: availability.Room{CPUs: cpus, MemoryGB: cpus, DiskGB: 0.5}, Image: "img-" + class, Spot: true, EstimateS: 5}))
	})
}

// cancelAgain has users cancel a random job, now and then.
func (w *world) cancelAgain(ms int64, showed map[string]int) {
	w.every(ms, meetBusy, func() {
		if len(w.Order) == 0 {
			return
		}
		if j := w.Jobs[w.Order[w.Rand.IntN(len(w.Order))]]; j.Accepted && !j.Cancel && !j.Told.Final() {
			showed["cancellations"]++
			w.CancelJob(j)
		}
	})
}

var nights = map[string]meeting{
	"a member cut from its workers alone": {
		brings: func(_ *testing.T, w *world, showed map[string]int) {
			w.countLogs(showed)
			w.every(40_000, meetBusy, func() {
				w.Cuts = append(w.Cuts, emulator.Cut{A: w.member().Name, B: "w", Until: w.Now + 15_000 + w.Rand.Int64N(20_000), Loses: w.Rand.IntN(2) == 0})
			})
			w.cancelAgain(9000, showed)
		},
		least: map[string]int{"machine silent past its lease": 20, "machine in a new session": 5, "cancellations": 20},
	},
	"a member cut from the state service alone": {
		brings: func(_ *testing.T, w *world, showed map[string]int) {
			w.countLogs(showed)
			w.every(40_000, meetBusy, func() {
				w.Cuts = append(w.Cuts, emulator.Cut{A: w.member().Name, B: "store", Until: w.Now + 15_000 + w.Rand.Int64N(20_000), Loses: w.Rand.IntN(2) == 0})
			})
			w.cancelAgain(9000, showed)
		},
		least: map[string]int{"shard lost": 5, "shard handed back": 3, "relayed": 20, "cancellations": 20},
	},
	"a member refused by the state service alone": {
		brings: func(_ *testing.T, w *world, showed map[string]int) {
			w.countLogs(showed)
			w.every(40_000, meetBusy, func() { w.Away(w.member().Name, 15_000+w.Rand.Int64N(20_000)) })
			w.cancelAgain(9000, showed)
		},
		least: map[string]int{"shard lost": 5, "shard handed back": 3, "relayed": 20, "cancellations": 20},
	},
	// Its clocks run on: what it decides, answers or starts after its wake must not rest on
	// what it knew before.
	"a process stands still for longer than its hold, and wakes": {
		brings: func(_ *testing.T, w *world, showed map[string]int) {
			w.countLogs(showed)
			w.every(35_000, meetBusy, func() {
				m := w.member()
				long := int64(25_000)
				if w.Rand.IntN(3) == 0 {
					long = 6000
				}
				w.StandStill(m, long)
				// Users ask it as it wakes, while others were told of newer states.
				for at := long - 4000; at < long+2000; at += 100 {
					w.After(at, func() {
						if len(w.Order) == 0 {
							return
						}
						j, asked := w.Jobs[w.Order[w.Rand.IntN(len(w.Order))]], w.Now
						w.AskAt(m, scheduler.UserRequest{Kind: scheduler.Query, ID: j.Job.ID}, func(a scheduler.UserAnswer, ok bool) {
							if ok {
								showed["answers around a wake"]++
								w.Hear(j, asked, a)
							}
						})
					})
				}
			})
			w.cancelAgain(6000, showed)
		},
		least: map[string]int{"shard lost": 5, "shard handed back": 3, "cancellations": 20, "answers around a wake": 100},
	},
	// Nobody hears it or is heard by it; what was sent is lost, or arrives when it is over.
	"a member silent for a minute and longer": {
		brings: func(_ *testing.T, w *world, showed map[string]int) {
			w.countLogs(showed)
			w.every(60_000, meetBusy, func() {
				w.Cuts = append(w.Cuts, emulator.Cut{A: w.member().Name, Until: w.Now + 60_000 + w.Rand.Int64N(30_000), Loses: w.Rand.IntN(2) == 0})
			})
			w.cancelAgain(9000, showed)
		},
		least: map[string]int{"shard lost": 5, "shard handed back": 3, "cancellations": 20},
	},
	"machines up late or never": {
		brings: func(_ *testing.T, w *world, showed map[string]int) {
			w.countLogs(showed)
			w.Boot = func(_ *emulator.Host, usual int64) int64 {
				switch w.Rand.IntN(4) {
				case 0:
					showed["machines that never come up"]++
					return -1
				case 1:
					showed["machines that come up late"]++
					return usual + 15_000 + w.Rand.Int64N(45_000)
				}
				return usual
			}
			w.every(20_000, meetBusy, func() { // and those that are there are taken away
				w.SomeUp(0.2, func(h *emulator.Host) {
					if h.Rental.Spot {
						w.Cloud.Take(h.Rental.ID)
					}
				})
			})
			w.every(50_000, meetBusy, func() { w.member().Crash(300 + w.Rand.Int64N(14_000)) })
		},
		least: map[string]int{"machines that never come up": 20, "machines that come up late": 20, "machine leaves": 20},
	},
	// While members are cut off, stand still or end.
	"users ask many times as often": {
		brings: func(_ *testing.T, w *world, showed map[string]int) {
			w.RPS, w.WPS = 90, 40
			w.flood(w.Members[0], 25, meetBusy)
			w.CloseLooks(meetBusy)
			w.Spy = func(_ *emulator.Member, o *scheduler.Outputs) {
				for id := range o.Users {
					showed[fmt.Sprint("answers of ", o.Users[id].Status)]++
				}
			}
			w.every(30_000, meetBusy, func() {
				switch m := w.member(); w.Rand.IntN(4) {
				case 0:
					w.StandStill(m, 6000+w.Rand.Int64N(19_000))
				case 1:
					w.Away(m.Name, 4000+w.Rand.Int64N(16_000))
				case 2:
					w.Cuts = append(w.Cuts, emulator.Cut{A: m.Name, B: "store", Until: w.Now + 4000 + w.Rand.Int64N(16_000)})
				default:
					m.Crash(300 + w.Rand.Int64N(12_000))
				}
			})
			w.cancelAgain(9000, showed)
		},
		least: map[string]int{"answers of 200": 5000, "relayed": 50, "cancellations": 20},
	},
	// Idle-time work, one pass of very many tasks, and hundreds of jobs of one task, beside
	// the teams' own work; each of its classes is served to a half as well.
	"a team without a guarantee": {
		brings: func(_ *testing.T, w *world, showed map[string]int) {
			w.Params.Teams[guestTeam] = scheduler.Team{}
			w.SweepMS = 500
			w.countLogs(showed)
			for n := range 3 {
				w.guestJob(20_000, fmt.Sprintf("job-idle-%d", n), idleClass, 60, 4, scheduler.Low)
			}
			w.guestJob(40_000, "job-pass", passClass, 1200, 0.5, scheduler.Low)
			for n := range 250 {
				w.guestJob(50_000+w.Rand.Int64N(15_000), fmt.Sprintf("job-small-%03d", n), smallClass, 1, 1, scheduler.Normal)
			}
			w.every(45_000, meetBusy, func() { w.member().Crash(300 + w.Rand.Int64N(12_000)) })
			w.Ended = func(t *standin.Task) { showed["tasks of "+t.Job.Class]++ }
		},
		least: map[string]int{"tasks of " + idleClass: 600, "tasks of " + passClass: 7200, "tasks of " + smallClass: 1500},
	},
	// They fail everywhere until their users cancel them.
	"jobs submitted with a mistake": {
		shape: func(_ *world, j *scheduler.Job, n int) {
			if n%4 == 0 {
				j.Class, j.Kind, j.Once, j.MaxErrors, j.Tasks = "mistaken", scheduler.Array, false, 0, 6+n%7
			}
		},
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.Mistaken = func(j *emulator.Job) bool { return j.Job.Class == "mistaken" }
			w.logs(func(_ *emulator.Member, l scheduler.LogLine) {
				showed[l.Text]++
				if l.Text == "machine draining" && l.Args[len(l.Args)-1] == "tasks of several jobs failed" {
					showed["machines drained for errors"]++
				}
			})
			w.every(1000, 3*meetBusy, func() {
				for _, id := range w.Order {
					if j := w.Jobs[id]; w.Mistaken(j) && j.Accepted && !j.Cancel && w.Now-j.AcceptedAt > 20_000+w.Rand.Int64N(60_000) {
						showed["mistaken jobs cancelled"]++
						w.CancelJob(j)
					}
				}
			})
			w.every(45_000, meetBusy, func() { w.member().Crash(300 + w.Rand.Int64N(12_000)) })
		},
		least: map[string]int{"task failed": 200, "mistaken jobs cancelled": 30},
	},
}

func TestNights(t *testing.T) { playMeetings(t, nights, 7500, nightRunMS) }

// Jobs that were submitted with a mistake, one after the other, each cancelled before the
// next: their errors are theirs, and no machine is emptied for them.
func TestMistakenJobsEmptyNoMachine(t *testing.T) {
	t.Parallel()
	drained, failed := 0, 0
	for seed := range uint64(*seeds / 4) {
		w := build(smallScale, emulator.Options{Seed: 7600 + seed, RunMS: nightRunMS})
		w.calm = true
		w.shape = func(j *scheduler.Job, _ int) { j.Once, j.MaxErrors = false, 0 }
		w.Mistaken = func(j *emulator.Job) bool { return j.Job.Class == "mistaken" }
		w.logs(func(_ *emulator.Member, l scheduler.LogLine) {
			switch {
			case l.Text == "task failed":
				failed++
			case l.Text == "machine draining" && l.Args[len(l.Args)-1] == "tasks of several jobs failed":
				drained++
			}
		})
		for n := range 8 {
			w.After(20_000+int64(n)*15_000, func() {
				j := emulator.NewJob(scheduler.Job{ID: fmt.Sprintf("job-mistaken-%d", n), Class: "mistaken", Team: "t1", Kind: scheduler.Array, Priority: scheduler.High,
					Tasks: 12, Request: availability.Room{CPUs: 4, MemoryGB: 8, DiskGB: 1}, Image: "img-0", EstimateS: 5})
				w.Submit(j)
				w.After(12_000, func() { w.CancelJob(j) })
			})
		}
		w.run(150_000, 400_000, 60)
		w.check(t)
		w.served(t)
	}
	if drained > 0 || failed < 100 {
		t.Errorf("%d machines are drained after %d errors", drained, failed)
	}
	t.Logf("%d tasks failed", failed)
}
