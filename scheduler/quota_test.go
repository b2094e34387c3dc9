package scheduler_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

// teamsCase is a hard case of teams' limits and guarantees over several members.
type teamsCase struct {
	members int
	teams   map[string]scheduler.Team
	jobs    int
	shape   func(w *world, j *scheduler.Job, n int) // of the nth job, whose team is set
	breaks  func(w *world) ended
}

func manyTeams(n int, t scheduler.Team) map[string]scheduler.Team {
	out := map[string]scheduler.Team{}
	for i := range n {
		out[fmt.Sprintf("t%d", i)] = t
	}
	return out
}

// cutStore cuts a member off from the state service alone.
func (w *world) cutStore(m int, from, ms int64) {
	w.After(from, func() {
		w.Cuts = append(w.Cuts, emulator.Cut{A: w.Members[m].Name, B: "store", Until: w.Now + ms})
	})
}

// teamsCases: the rules, quota among them, are checked on the machines at each start, and
// all jobs end.
var teamsCases = map[string]teamsCase{
	"twelve teams that all ask for everything": {members: 3, teams: manyTeams(12, scheduler.Team{CPUs: 16, MaxCPUs: 48}), jobs: 70, shape: func(_ *world, j *scheduler.Job, _ int) { j.Tasks = 20 }},
	"three hundred teams":                      {members: 3, teams: manyTeams(300, scheduler.Team{MaxCPUs: 8}), jobs: 300, shape: func(_ *world, j *scheduler.Job, _ int) { j.Tasks, j.Request.CPUs = 1+j.Tasks%3, 4 }, breaks: func(w *world) ended { w.ends(40_000); return nil }},
	"many small tasks beside one huge": {members: 3, teams: map[string]scheduler.Team{"t0": {CPUs: 20, MaxCPUs: 40}, "t1": {CPUs: 64, MaxCPUs: 64}}, jobs: 50, shape: func(_ *world, j *scheduler.Job, n int) {
		if j.Team == "t1" {
			j.Tasks, j.Request.CPUs = 1, 64
		}
	}},
	"a limit that members do not divide": {members: 5, teams: manyTeams(3, scheduler.Team{CPUs: 30, MaxCPUs: 100}), jobs: 60, shape: func(_ *world, j *scheduler.Job, _ int) { j.Request.CPUs = 7 }, breaks: func(w *world) ended { w.cutStore(1, 30_000, 20_000); return nil }},
	"accelerators and processors short in turn": {members: 3, teams: manyTeams(2, scheduler.Team{CPUs: 40, MaxCPUs: 80, GPUs: 2, MaxGPUs: 5}), jobs: 60, shape: func(_ *world, j *scheduler.Job, n int) {
		if n%4 < 2 {
			j.Request.GPUs, j.Request.CPUs = 1, 2
		}
	}, breaks: func(w *world) ended { w.ends(50_000); return nil }},
	"the home away, cut off, slow, rolling": {members: 3, teams: manyTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}), jobs: 80, breaks: func(w *world) ended {
		w.After(15_000, func() { w.Members[0].Crash(25_000) })
		w.After(45_000, func() {
			w.Cuts = append(w.Cuts, emulator.Cut{A: w.Members[1].Name, B: "", Until: w.Now + 30_000})
		})
		w.After(80_000, func() { w.Lags["m2"] = emulator.Lag{Until: w.Now + 20_000, MS: 3000} })
		for i, m := range w.Members {
			w.After(105_000+int64(i)*4000, func() { m.Crash(3000) })
		}
		return nil
	}},
	"a member with an old ledger after a cut": {members: 3, teams: manyTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}), jobs: 80, breaks: func(w *world) ended {
		for i, at := range []int64{20_000, 50_000, 80_000} {
			w.cutStore(i, at, 18_000)
		}
		return nil
	}},
	"settings that differ during a roll": {members: 3, teams: manyTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}), jobs: 80, breaks: func(w *world) ended {
		// The platform's file is lower from the second start on; the larger holds until
		// all have the smaller one.
		for i, m := range w.Members {
			w.After(40_000+int64(i)*8000, func() {
				w.lower[m.Name] = true
				m.Crash(3000)
			})
		}
		return nil
	}},
	"an end of all with every part lent out": {members: 5, teams: manyTeams(5, scheduler.Team{CPUs: 40, MaxCPUs: 120}), jobs: 100, breaks: func(w *world) ended {
		w.ends(30_000, 60_000)
		return nil
	}},
	"a guarantee above what the fleet holds": {members: 3, teams: manyTeams(3, scheduler.Team{CPUs: 2000, MaxCPUs: 4000}), jobs: 60},
	"spot waves": {members: 3, teams: manyTeams(3, scheduler.Team{CPUs: 60, MaxCPUs: 120}), jobs: 80, breaks: func(w *world) ended {
		for _, at := range []int64{25_000, 55_000, 85_000} {
			w.After(at, func() {
				for _, h := range w.Some(8) {
					if h.Rental.Spot {
						w.Cloud.Take(h.Rental.ID)
					}
				}
			})
		}
		return nil
	}},
	// A part's giver ends while its write is under way; the network holds the write until
	// its shard has been adopted.
	"a transfer that is applied late": {members: 3, teams: manyTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}), jobs: 80, breaks: func(w *world) ended {
		times, late := 0, ""
		w.Spy = func(m *emulator.Member, o *scheduler.Outputs) {
			if w.Now > 15_000 && late == "" && times < 4 && writes(o, "l/t/") {
				times++
				late = m.Name
				w.After(1, func() { m.Crash(30_000) })
				w.After(25_000, func() { late = "" })
			}
		}
		w.Delay = func(from, to string) int64 {
			if from == late && to == "store" {
				return 14_000 + w.Rand.Int64N(8000)
			}
			return 0
		}
		return atLeast(2, "a member ended while it wrote a team's record", &times)
	}},
	"shards that move while wants are open": {members: 3, teams: manyTeams(3, scheduler.Team{CPUs: 40, MaxCPUs: 96}), jobs: 80, breaks: func(w *world) ended {
		times, after := 0, int64(15_000)
		w.Spy = func(m *emulator.Member, o *scheduler.Outputs) {
			if w.Now > after && times < 4 && slices.ContainsFunc(o.Store, func(op scheduler.StoreOp) bool {
				return slices.ContainsFunc(op.Changes, func(c scheduler.Change) bool {
					return strings.HasPrefix(c.Key, "l/t/") && strings.Contains(string(c.Value), `"wants":{"`)
				})
			}) {
				times++
				after = w.Now + 20_000
				w.After(300, func() { m.Crash(25_000) })
			}
		}
		return atLeast(2, "a member that had asked for a part ended", &times)
	}},
}

func TestTeamsThroughFailures(t *testing.T) {
	types := append(slices.Clone(simTypes), scheduler.MachineType{Name: "accelerated", Room: availability.Room{CPUs: 16, GPUs: 4, MemoryGB: 64, DiskGB: 30}, FetchGBps: 1, Price: 4, SpotPrice: 1, BootS: 10, Zones: []string{"a", "b"}})
	for name, c := range teamsCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				w := &world{size: scale{members: c.members, capacity: 6, tasks: 16}, calm: true, lower: map[string]bool{}}
				p := params(96)
				p.Teams = c.teams
				o := emulator.Options{Seed: 4000 + seed, Members: c.members, Types: types, Capacity: 6, Params: p, Loss: 0.002,
					RunMS: func(w *emulator.World, _ *emulator.Job, _ string) int64 { return 2000 + w.Rand.Int64N(15_000) }}
				o.Sabotage.Params = func(p *scheduler.Params) {
					if w.lower[p.Member] {
						p.Teams = map[string]scheduler.Team{}
						for n, t := range c.teams {
							p.Teams[n] = scheduler.Team{CPUs: t.CPUs, MaxCPUs: t.MaxCPUs / 2}
						}
						w.NewTeams = p.Teams
					}
				}
				w.World = emulator.New(o)
				var show ended
				if c.breaks != nil {
					show = c.breaks(w)
				}
				names := slices.Sorted(func(yield func(string) bool) {
					for n := range c.teams {
						if !yield(n) {
							return
						}
					}
				})
				w.shape = func(j *scheduler.Job, n int) {
					j.Team = names[n%len(names)]
					j.OneZone, j.Spread, j.Zone, j.MaxErrors = false, false, "", 0
					if c.shape != nil {
						c.shape(w, j, n)
					}
				}
				w.run(110_000, 900_000, c.jobs)
				w.check(t)
				if show != nil {
					show(t, w)
				}
			}
		})
	}
}

// What members stop for guarantees, all at once, with peers that are not heard, slow or
// away: on the machines, no team is below its guarantee by it. Tasks that ended in the
// last moments, of which others may not know yet, count as if they ran.
func TestNobodyIsPushedBelowItsGuarantee(t *testing.T) {
	stops := 0
	for seed := range uint64(6) {
		w := guaranteesWorld(5000+seed, &stops, false)
		w.check(t)
	}
	if stops < 20 {
		t.Errorf("only %d tasks were stopped for a guarantee", stops)
	}
	for seed := range uint64(10) {
		if guaranteesWorld(5000+seed, &stops, true).Broken["guarantee"] != "" {
			return
		}
	}
	t.Error("members that know of no guarantee of a team stop none of it below that")
}

// guaranteesWorld plays a day of teams that fill the fleet beside others that ask within
// their guarantees. With a planted fault members think that one of the former has none.
func guaranteesWorld(seed uint64, stops *int, planted bool) *world {
	ends := map[string][]int64{}
	w := &world{size: scale{members: 3, capacity: 4, tasks: 12, teamCPUs: 0}, calm: true}
	p := params(96)
	p.Teams = map[string]scheduler.Team{"t0": {CPUs: 60}, "t1": {CPUs: 100}, "t2": {CPUs: 100}, "t3": {}}
	forget := func(p *scheduler.Params) {
		if planted {
			p.Teams = map[string]scheduler.Team{"t0": {}, "t1": {CPUs: 100}, "t2": {CPUs: 100}, "t3": {}}
		}
	}
	w.World = emulator.New(emulator.Options{Sabotage: emulator.Sabotage{Params: forget}, Seed: seed, Members: 3, Types: simTypes, Capacity: 4, Params: p, Loss: 0.002,
		RunMS: func(w *emulator.World, j *emulator.Job, _ string) int64 {
			if j.Job.Team == "t0" || j.Job.Team == "t3" {
				return 20_000 + w.Rand.Int64N(60_000)
			}
			return 3000 + w.Rand.Int64N(9000)
		}})
	told, starts := map[string]bool{}, map[string]int64{}
	w.Spy = func(m *emulator.Member, o *scheduler.Outputs) {
		ceded := map[string]bool{}
		tells(o, func(c scheduler.Command) bool {
			if c.Kind == scheduler.Start {
				starts[c.Task] = w.Now
				delete(told, c.Task)
			}
			return false
		})
		for _, l := range o.Logs {
			if l.Text == "task stopped for a guarantee" {
				*stops++
				told[fmt.Sprint(l.Args[1])] = true
				ceded[fmt.Sprint(l.Args[5])] = true
			}
		}
		for team := range ceded {
			use, here := 0.0, map[string]bool{}
			for _, h := range w.Hosts {
				if h.Up && !h.Gone {
					for _, x := range h.Worker.Tasks() {
						if x.State != "exited" && x.Job.Team == team && !told[x.Name] {
							use += x.Job.Request.CPUs
							here[x.Name] = true
						}
					}
				}
			}
			for _, at := range ends[team] {
				if w.Now-at < 5000 {
					use += 4
				}
			}
			for task, at := range starts { // on their way
				if w.Jobs[task[:strings.IndexByte(task, '/')]].Job.Team == team && w.Now-at < 5000 && !here[task] && !told[task] {
					use += 4
				}
			}
			if g := p.Teams[team].CPUs; use < g {
				w.Broken["guarantee"] = fmt.Sprintf("at %d ms: %s is left with %g of %g", w.Now, team, use, g)
			}
		}
	}
	w.Ended = func(t *standin.Task) { ends[t.Job.Team] = append(ends[t.Job.Team], w.Now) }
	w.shape = func(j *scheduler.Job, n int) {
		j.Team = fmt.Sprintf("t%d", n%4)
		j.OneZone, j.Spread, j.Zone, j.MaxErrors, j.Once, j.Request.CPUs = false, false, "", 0, false, 4
		if n%4 == 0 || n%4 == 3 {
			j.Tasks, j.EstimateS = 20, 40
		}
	}
	w.After(30_000, func() { w.Lags["m1"] = emulator.Lag{Until: w.Now + 15_000, MS: 2500} })
	w.After(55_000, func() {
		w.Cuts = append(w.Cuts, emulator.Cut{A: "m2", B: "m", Until: w.Now + 10_000})
	})
	w.run(110_000, 900_000, 90)
	return w
}
