package scheduler_test

import (
	"slices"
	"testing"

	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

// quickBootS is how long the machines of "machines up within two seconds" take to boot.
const quickBootS = 1.4

// machineMeetings are the meetings about machines, their reports and commands, and about
// load, while controllers change (docs/notes/meetings.md).
var machineMeetings = map[string]meeting{
	// New machines are up within two seconds and get work at once while writes lag, and the
	// leader ends: with the write of a roster or of an up list under way, or right after the
	// start of a task on a machine that is a few seconds old. The largest jobs are of the
	// team without a limit.
	"machines up within two seconds, a leader ends": {
		shape: func(w *world, j *scheduler.Job, n int) {
			j.Spread, j.MaxErrors = false, 0
			if j.Request.CPUs > 4 {
				j.Team = "t1"
			}
		},
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.Cloud.Types = slices.Clone(w.Cloud.Types)
			for i := range w.Cloud.Types {
				w.Cloud.Types[i].BootS = quickBootS
			}
			w.every(15_000, meetBusy, func() { w.SlowState(2500, 10_000) })
			w.every(25_000, meetBusy, func() { w.LateWrites(0.2, 6000) })
			w.every(30_000, meetBusy, w.burst)
			next := int64(10_000)
			ends := func(m *emulator.Member, what string) bool {
				if w.Now < next || w.Now > meetBusy {
					return false
				}
				next = w.Now + 3000 + w.Rand.Int64N(6000)
				showed["ends: "+what]++
				down := 200 + w.Rand.Int64N(2000)
				if w.Rand.IntN(2) == 0 {
					down = 15_000 + w.Rand.Int64N(5000) // adopted meanwhile
				}
				w.After(w.Rand.Int64N(900), func() { m.Crash(down) })
				return true
			}
			w.Spy = func(m *emulator.Member, o *scheduler.Outputs) {
				for _, l := range o.Logs {
					showed[l.Text]++
					if l.Text != "start" {
						continue
					}
					if h := w.Hosts[l.Args[5].(string)]; h != nil && w.Now-h.Rental.Since < 5000 {
						showed["starts on new machines"]++
						if w.Rand.IntN(3) == 0 {
							ends(m, "a start on a new machine")
						}
					}
				}
			}
			// The write of a roster or of an up list is carried out late, and its author ends.
			w.LateIf = func(m *emulator.Member, op scheduler.StoreOp) bool {
				kind := emulator.KindOf(op.Changes[0].Key)
				if kind != "l/m/" && kind != "l/u/" || op.Changes[0].Value == nil || w.Rand.IntN(2) == 0 {
					return false
				}
				return ends(m, kind)
			}
		},
		least: map[string]int{"starts on new machines": 200, "ends: a start on a new machine": 3, "ends: l/m/": 4, "ends: l/u/": 4, "shard claimed": 40},
	},
	// An old report reaches every controller just as a new leader begins, up to a spell of
	// the old one's later: many are of an earlier session, since machines are cut off for
	// longer than a lease meanwhile.
	"old reports as a leader begins": {
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.ReportsForNextClaim(0.9, meetBusy)
			w.every(12_000, meetBusy, func() { w.member().Crash(300 + w.Rand.Int64N(16_000)) })
			w.every(45_000, meetBusy, w.EndAll)
			w.every(5000, meetBusy, func() {
				w.SomeUp(0.2, func(h *emulator.Host) {
					w.Cuts = append(w.Cuts, emulator.Cut{A: "w" + h.Rental.ID, Until: w.Now + 4000 + w.Rand.Int64N(9000)})
				})
			})
			w.every(20_000, meetBusy, func() { w.takeMachines(0.2, "") })
		},
		least: map[string]int{"copies at a claim": 4000, "copies of an earlier session at a claim": 100},
	},
	// A report is held back, unanswered, until a new leader has told a worker to do
	// something, and then arrives there.
	"reports held until a new leader acted": {
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.HoldReports(0.15, meetBusy)
			w.every(12_000, meetBusy, func() { w.member().Crash(300 + w.Rand.Int64N(16_000)) })
			w.every(45_000, meetBusy, w.EndAll)
			w.every(20_000, meetBusy, func() { w.takeMachines(0.2, "") })
		},
		least: map[string]int{"copies after a new holder acted": 600, "copies of an earlier session after a new holder acted": 10},
	},
	// One-task jobs come four a second for two minutes, a quarter of them cancelled. The
	// state service takes what it does on a small site.
	"one-task jobs, four a second": {
		shape: func(w *world, j *scheduler.Job, n int) {
			if n >= manyFirst {
				j.Tasks, j.Request.CPUs, j.MaxErrors, j.Once, j.OneZone, j.Spread = 1, 1, 0, false, false, false
				j.Kind, j.Team = scheduler.Array, "t1"
			}
		},
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.RPS, w.WPS = 600, 80
			n := manyFirst
			for at := int64(2000); at < meetBusy; at += 250 {
				w.After(at+w.Rand.Int64N(250), func() {
					w.submit(n)
					j := w.Jobs[w.Order[len(w.Order)-1]]
					n++
					showed["jobs"]++
					if w.Rand.IntN(4) == 0 {
						showed["cancellations"]++
						w.After(500+w.Rand.Int64N(9000), func() { w.CancelJob(j) })
					}
					w.After(6000, func() {
						if j.Accepted && j.AcceptedAt-j.Submitted <= 1000 {
							showed["accepted within a second"]++
						}
					})
				})
			}
			calm := w.Rand.IntN(2) == 0
			if !calm {
				w.every(30_000, meetBusy, func() { w.member().Crash(300 + w.Rand.Int64N(14_000)) })
				return
			}
			w.After(meetBusy+20_000, func() {
				within := 0
				for _, id := range w.Order {
					if j := w.Jobs[id]; j.Accepted && j.AcceptedAt-j.Submitted <= 1000 {
						within++
					}
				}
				changes := float64(w.Changes) / float64(len(w.Order))
				t.Logf("%d of %d accepted within a second, %.1f changes a job", within, len(w.Order), changes)
				if within*100 < 97*len(w.Order) {
					t.Errorf("%d of %d accepted within a second", within, len(w.Order))
				}
				if changes > changesAJob {
					t.Errorf("%.1f changes a job", changes)
				}
				showed["calm days"]++
			})
		},
		least: map[string]int{"jobs": 2400, "cancellations": 500, "calm days": 1},
	},
	// All controllers are away for longer than a lease: ended, or standing still, or without
	// the state service and their workers. Jobs are cancelled right before.
	"all controllers away for longer than a lease": {
		brings: func(t *testing.T, w *world, showed map[string]int) {
			kind := w.Rand.IntN(3)
			w.every(30_000, meetBusy, func() {
				long := func() int64 { return int64(w.Params.LeaseS*1000) + 500 + w.Rand.Int64N(9000) }
				w.CancelNow(3, 0)
				kind = (kind + 1) % 3
				showed[[]string{"ended", "stood still", "cut off"}[kind]]++
				w.After(w.Rand.Int64N(400), func() {
					for _, m := range w.Members {
						switch kind {
						case 0:
							m.Crash(long())
						case 1:
							w.StandStill(m, long())
						default:
							w.Cuts = append(w.Cuts, emulator.Cut{A: m.Name, Until: w.Now + long(), Loses: w.Rand.IntN(2) == 0})
						}
					}
				})
			})
			w.Spy = func(_ *emulator.Member, o *scheduler.Outputs) {
				for _, l := range o.Logs {
					showed[l.Text]++
				}
			}
		},
		least: map[string]int{"ended": 3, "stood still": 3, "cut off": 3, "machine in a new session": 10},
	},
	// A zone with workers and a controller is cut off for longer than a lease, and jobs are
	// cancelled through the others.
	"a zone with workers and a controller cut off": {
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.every(35_000, meetBusy, func() {
				in := w.member()
				long := int64(w.Params.LeaseS*1000) + 1000 + w.Rand.Int64N(20_000)
				w.CutZoneWith([]string{"a", "b"}[w.Rand.IntN(2)], in, long, w.Rand.IntN(2) == 0)
				showed["zones cut"]++
				for at := int64(500); at < long; at += 1500 {
					w.After(at, func() { w.cancelThrough(in, showed) })
				}
				if w.Rand.IntN(3) == 0 {
					w.After(w.Rand.Int64N(long), func() { w.Away("all", 1000+w.Rand.Int64N(9000)) })
				}
				if w.Rand.IntN(3) == 0 {
					w.After(w.Rand.Int64N(long), func() { in.Crash(300 + w.Rand.Int64N(3000)) })
				}
			})
			w.Spy = func(_ *emulator.Member, o *scheduler.Outputs) {
				for _, l := range o.Logs {
					showed[l.Text]++
				}
			}
		},
		least: map[string]int{"zones cut": 12, "cancelled through others": 40, "machine in a new session": 12, "shard claimed": 30},
	},
	// Leaders change ten times in two minutes, also inside an outage: whoever holds most
	// tasks ends, returns within a second or when it has been adopted.
	"ten changes of leader in two minutes": {
		brings: func(t *testing.T, w *world, showed map[string]int) {
			for at := int64(12_000); at < meetBusy; at += 11_000 {
				w.After(at+w.Rand.Int64N(3000), func() {
					down := 100 + w.Rand.Int64N(900)
					if w.Rand.IntN(3) == 0 {
						down = 14_000 + w.Rand.Int64N(3000)
					}
					w.busiest().Crash(down)
					showed["changes"]++
					if w.Outage["all"] > w.Now {
						showed["changes inside an outage"]++
					}
				})
			}
			for _, at := range []int64{20_000, 75_000} {
				w.After(at+w.Rand.Int64N(9000), func() { w.Away("all", 8000+w.Rand.Int64N(22_000)) })
			}
			w.every(25_000, meetBusy, func() { w.CancelNow(2, w.between(0, 8000)) })
		},
		least: map[string]int{"changes": 60, "changes inside an outage": 10},
	},
	// Jobs bound to one zone, arrays too, lose machines there, while their leaders end.
	"jobs bound to one zone lose machines": {
		shape: func(w *world, j *scheduler.Job, n int) {
			j.Kind, j.OneZone, j.Spread, j.Zone = scheduler.Array, false, false, ""
			switch n % 4 {
			case 0:
				j.OneZone = true
			case 1:
				j.Zone, j.Request.CPUs = []string{"a", "b"}[n/4%2], 4
			case 2:
				j.Kind, j.OneZone, j.Tasks, j.Request.CPUs, j.Once, j.MaxErrors = scheduler.Gang, true, 2+n%3, 4, false, 0
			case 3:
				j.Spread = true
			}
		},
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.every(7000, meetBusy, func() {
				zone := []string{"a", "b"}[w.Rand.IntN(2)]
				switch w.Rand.IntN(3) {
				case 0:
					w.CutZone(zone, 2000+w.Rand.Int64N(12_000))
				default:
					showed["machines lost"] += w.takeMachines(0.5, zone)
				}
			})
			w.every(25_000, meetBusy, func() { w.member().Crash(300 + w.Rand.Int64N(16_000)) })
			w.Ended = func(task *standin.Task) {
				if task.Job.OneZone {
					showed["ended in one zone"]++
				}
			}
		},
		least: map[string]int{"machines lost": 60, "ended in one zone": 200},
	},
	// There is more work than room, urgent and not, over slow links, and members end. It is
	// room that lacks, not a team's limit: the largest jobs are of the team without one.
	"more work than room, over slow links": {
		shape: func(w *world, j *scheduler.Job, n int) {
			j.Once, j.MaxErrors = false, 0
			if j.Request.CPUs > 4 {
				j.Team = "t1"
			}
			if n%3 == 0 {
				j.Class, j.Priority, j.DeadlineS = "quick", scheduler.High, 60
				j.Tasks = min(j.Tasks, 4)
			}
		},
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.Delay = func(from, to string) int64 {
				if w.Now > meetBusy+30_000 {
					return 0
				}
				return 100 + w.Rand.Int64N(700)
			}
			for range 4 {
				w.After(5000+w.Rand.Int64N(60_000), w.burst)
			}
			w.every(30_000, meetBusy, func() { w.member().Crash(300 + w.Rand.Int64N(14_000)) })
			w.Spy = func(_ *emulator.Member, o *scheduler.Outputs) {
				for _, l := range o.Logs {
					showed[l.Text]++
				}
			}
			w.After(meetBusy, func() {
				for _, id := range w.Order {
					if j := w.Jobs[id]; j.Accepted && j.First == 0 && !j.Cancel {
						showed["waiting at the end of the day"]++
					}
				}
			})
		},
		least: map[string]int{"task stopped for a higher priority": 10, "waiting at the end of the day": 6, "start": 2000},
	},
	// Workers can't open connections to any controller, for longer than a lease too, while
	// direct commands still reach them.
	"mute machines": {
		shape: func(w *world, j *scheduler.Job, n int) {
			j.Class, j.Priority, j.DeadlineS = "quick", scheduler.High, 60 // straight to the workers
		},
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.every(5000, meetBusy, func() {
				w.SomeUp(0.4, func(h *emulator.Host) { w.Mute(h, 1000+w.Rand.Int64N(12_000)) })
			})
			w.every(30_000, meetBusy, func() { w.member().Crash(300 + w.Rand.Int64N(12_000)) })
			w.every(9000, meetBusy, func() { w.CancelNow(1, 0) })
			w.Spy = func(_ *emulator.Member, o *scheduler.Outputs) {
				for _, l := range o.Logs {
					showed[l.Text]++
				}
				for _, d := range o.Do {
					if h := w.Hosts[d.Machine]; h != nil && len(d.Commands) > 0 && h.IsMute(w.World) {
						showed["commands to mute machines"]++
					}
				}
			}
		},
		least: map[string]int{"commands to mute machines": 15, "machine in a new session": 40, "machine silent past its lease": 40},
	},
	// A command of a leader that has since ended or been deposed arrives after the new
	// leader's.
	"commands of earlier leaders": {
		shape: func(w *world, j *scheduler.Job, n int) {
			j.Class, j.Priority, j.DeadlineS = "quick", scheduler.High, 60 // straight to the workers
		},
		brings: func(t *testing.T, w *world, showed map[string]int) {
			w.LateCommands(0.5, meetBusy)
			w.every(12_000, meetBusy, func() {
				if m := w.busiest(); w.Rand.IntN(2) == 0 {
					m.Crash(100 + w.Rand.Int64N(900))
				} else {
					w.Sever(m, 14_000+w.Rand.Int64N(4000), w.Rand.IntN(2) == 0)
				}
			})
			w.Spy = func(_ *emulator.Member, o *scheduler.Outputs) {
				for _, l := range o.Logs {
					showed[l.Text]++
				}
			}
		},
		least: map[string]int{"copies late commands": 300, "token raised": 30, "shard claimed": 40},
	},
	// The state service refuses the leader alone and then everybody for longer than
	// cancel_s, while users cancel and ask.
	"refused alone, then everybody, users cancel and ask": {
		brings: func(t *testing.T, w *world, showed map[string]int) {
			for _, at := range []int64{15_000, 70_000} {
				w.After(at+w.Rand.Int64N(10_000), func() {
					alone := 1000 + w.Rand.Int64N(7000)
					leader := w.busiest()
					w.Away(leader.Name, alone)
					w.After(w.Rand.Int64N(alone), func() {
						w.Away("all", int64(w.Params.CancelS*1000)+1000+w.Rand.Int64N(15_000))
						showed["outages"]++
					})
					for at := int64(0); at < alone; at += 500 {
						w.After(at, func() { w.cancelThrough(leader, showed) })
					}
				})
			}
			w.every(300, meetBusy, func() { w.lookAtOne(showed) })
			w.every(2000, meetBusy, func() { w.cancelThrough(nil, showed) })
		},
		least: map[string]int{"outages": 12, "cancelled through others": 60, "answers": 300, "refusals": 300},
	},
}

// manyFirst is the number of the first of many one-task jobs, and changesAJob how many
// changes of the state service each may cost with all that happens beside it.
const (
	manyFirst   = 100_000
	changesAJob = 6
)

// takeMachines has the cloud take a share of the machines back, of one zone or, without
// one, of all, and tells how many.
func (w *world) takeMachines(of float64, zone string) int {
	taken := 0
	w.SomeUp(of, func(h *emulator.Host) {
		if zone == "" || h.Rental.Zone == zone {
			w.Cloud.Take(h.Rental.ID)
			taken++
		}
	})
	return taken
}

// busiest is the member to which most machines with tasks report, of those that run.
func (w *world) busiest() *emulator.Member {
	tasks := map[string]int{}
	w.Each(func(h *emulator.Host, _ *standin.Task) { tasks[h.LastAt(w.World)]++ })
	best := w.member()
	for _, m := range w.Members {
		if m.Core != nil && (best.Core == nil || tasks[m.Name] > tasks[best.Name]) {
			best = m
		}
	}
	return best
}

// cancelThrough cancels a job at a member that is not the one named.
func (w *world) cancelThrough(not *emulator.Member, showed map[string]int) {
	if len(w.Order) == 0 {
		return
	}
	j, m := w.Jobs[w.Order[w.Rand.IntN(len(w.Order))]], w.member()
	if m == not || m.Core == nil || !j.Accepted || j.Cancel || j.Told.Final() {
		return
	}
	j.Cancel = true
	showed["cancelled through others"]++
	asked := w.Now
	w.AskAt(m, scheduler.UserRequest{Kind: scheduler.Cancel, ID: j.Job.ID}, func(a scheduler.UserAnswer, ok bool) {
		if ok {
			w.Hear(j, asked, a)
		}
		if ok && a.Status == 200 && a.State == scheduler.Cancelled {
			j.Cancelled = w.Now
		} else if !ok || a.Status != 200 {
			w.CancelJob(j)
		}
	})
}

// lookAtOne asks about a job.
func (w *world) lookAtOne(showed map[string]int) {
	if len(w.Order) == 0 {
		return
	}
	j, asked := w.Jobs[w.Order[w.Rand.IntN(len(w.Order))]], w.Now
	w.Ask(scheduler.UserRequest{Kind: scheduler.Query, ID: j.Job.ID}, func(a scheduler.UserAnswer, ok bool) {
		switch {
		case !ok:
		case a.Status == 503:
			showed["refusals"]++
		default:
			showed["answers"]++
			w.Hear(j, asked, a)
		}
	})
}

func (w *world) between(from, to int64) int64 { return from + w.Rand.Int64N(to-from) }
