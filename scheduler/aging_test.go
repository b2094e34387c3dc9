package scheduler_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// drawLognormal draws from a lognormal distribution with a median and a 95th percentile. It returns
// at most limit.
func drawLognormal(r *rand.Rand, median, p95, limit float64) float64 {
	return min(limit, median*math.Exp(r.NormFloat64()*math.Log(p95/median)/1.645))
}

// runAboveTeamLimit runs a team that requests several times its limit: jobs of all sizes and runtimes,
// and small urgent jobs. It returns the simulation at its end.
func runAboveTeamLimit(seed uint64, aging bool) *emulator.Simulation {
	const until = 480_000
	cfg := newParams(500)
	cfg.Teams = map[string]scheduler.Team{"t0": {CPUs: 300, MaxCPUs: 500}}
	cfg.Objectives = map[string][]scheduler.Objective{
		"reads": {
			{Kind: "deadline", DeadlineFactor: 1},
			{Kind: "deadline", DeadlineFactor: 1.5},
			{Kind: "wait", WithinS: 250},
		},
		"checks": {{Kind: "deadline", DeadlineFactor: 1}, {Kind: "wait", WithinS: 60}}}
	cfg.Aging, cfg.HeartbeatS, cfg.LeaseS, cfg.CancelWithinS = aging, 3, 17.5, 42.5
	taskRunMS := func(_ *emulator.Simulation, j *emulator.Job, _ string) int64 { return int64(1000 * j.TaskRunS) }
	sim := emulator.New(emulator.Options{
		Seed:                seed,
		Members:             3,
		Types:               simTypes,
		CapacityPerOffering: 5,
		Params:              cfg,
		MessageLoss:         0.002,
		TaskRunMS:           taskRunMS,
	})
	sim.SweepIntervalMS = 5000
	rng := rand.New(rand.NewPCG(seed, 2))
	arrive := func(everyS float64, job func(n int) (scheduler.Job, float64)) {
		n := 0
		var next func()
		next = func() {
			sim.After(max(1, int64(everyS*1000*rng.ExpFloat64())), func() {
				n++
				j, runS := job(n)
				j.Team, j.Kind, j.Spot, j.Image = "t0", scheduler.Array, true, "img-0"
				j.EstimateS = runS * math.Exp(0.4*rng.NormFloat64())
				simJob := emulator.NewJob(j)
				simJob.TaskRunS = runS
				sim.Submit(simJob)
				next()
			})
		}
		next()
	}
	arrive(8, func(n int) (scheduler.Job, float64) {
		runS := drawLognormal(rng, 50, 100, 150)
		return scheduler.Job{
			ID:        fmt.Sprintf("job-%06d", n),
			Class:     "reads",
			Priority:  scheduler.Normal,
			DeadlineS: 2*runS + 80,
			Tasks:     max(1, int(drawLognormal(rng, 10, 40, 60))),
			Request:   availability.Resources{CPUs: 24, MemoryGB: 96, DiskGB: 4},
		}, runS
	})
	arrive(25, func(n int) (scheduler.Job, float64) {
		runS := drawLognormal(rng, 20, 40, 60)
		return scheduler.Job{
			ID:        fmt.Sprintf("job-9%05d", n),
			Class:     "checks",
			Priority:  scheduler.High,
			DeadlineS: 2*runS + 20,
			Tasks:     12,
			Request:   availability.Resources{CPUs: 4, MemoryGB: 8, DiskGB: 1},
		}, runS
	})
	sim.Run(until, func() bool { return false })
	return sim
}

// countStartedInTime considers the quarter of a class's accepted jobs that is largest by size. started
// is the number of jobs that started within four minutes of acceptance. total also includes the jobs
// that were accepted more than four minutes ago.
func countStartedInTime(sim *emulator.Simulation, class string, size func(*emulator.Job) float64) (started, total int) {
	var jobs []*emulator.Job
	for _, id := range sim.JobIDs {
		if j := sim.Jobs[id]; j.Accepted && j.Spec.Class == class {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *emulator.Job) int { return cmp.Compare(size(b), size(a)) })
	for _, j := range jobs[:(len(jobs)+3)/4] {
		switch {
		case j.FirstStartAt > 0 && j.FirstStartAt-j.AcceptedAt <= 240_000:
			started++
			total++
		case sim.Now-j.AcceptedAt > 240_000:
			total++
		}
	}
	return started, total
}

// If a team requests several times its limit, at least 70 % of its largest and of its longest jobs
// start within four minutes. Without aging, the share is lower by at least 20 percentage points.
func TestAgingStartsLargeJobsOfTeamAtItsLimit(t *testing.T) {
	t.Parallel()
	sizes := map[string]func(*emulator.Job) float64{
		"largest": func(j *emulator.Job) float64 { return j.Spec.Request.CPUs * float64(j.Spec.Tasks) },
		"longest": func(j *emulator.Job) float64 { return j.TaskRunS },
	}
	shares := map[string]map[bool]float64{"largest": {}, "longest": {}}
	for _, aging := range []bool{false, true} {
		startedBySize, totalBySize := map[string]int{}, map[string]int{}
		for seed := range uint64(4) {
			sim := runAboveTeamLimit(8800+seed, aging)
			for rule, what := range sim.Violations {
				t.Errorf("aging %v, seed %d: %s: %s", aging, seed, rule, what)
			}
			for name, size := range sizes {
				started, total := countStartedInTime(sim, "reads", size)
				startedBySize[name] += started
				totalBySize[name] += total
			}
		}
		for name := range sizes {
			shares[name][aging] = float64(startedBySize[name]) / float64(totalBySize[name])
		}
	}
	t.Logf("%v", shares)
	for name, s := range shares {
		if s[true] < 0.7 || s[true] < s[false]+0.2 {
			t.Errorf("share of %s jobs started in time: got %.2f, without aging %.2f; want at least 0.7, and 0.2 more",
				name, s[true], s[false])
		}
	}
}

// Jobs at their teams' limits age after 2 s, under random faults. The invariants hold, and all jobs end.
func TestInvariantsSurviveFaultsWithAging(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		cfg := newParams(64)
		cfg.Aging = true
		options := emulator.Options{
			Seed:                8900 + seed,
			Members:             3,
			Types:               simTypes,
			CapacityPerOffering: 3,
			Params:              cfg,
			MessageLoss:         0.002,
		}
		sim := &testSimulation{
			size:       simScale{members: 3, capacityPerOffering: 3, maxTasks: 12},
			Simulation: emulator.New(options),
		}
		sim.After(1000, func() {
			settings := scheduler.DefaultSettings()
			settings.BeginWithinS = 2
			sim.Members[0].Core.ChangeSettings(sim.Members[0].Clock(), 1<<50, settings)
		})
		sim.runScenario(90_000, 900_000, 90)
		sim.checkInvariants(t)
	}
}

// Smaller tasks would use the released parts of a team's limit before enough of it is free for a large
// task. The limit is therefore reserved for the first task of the large job, which starts in time.
func TestLimitIsReservedForLargeTaskAheadOfSmallOnes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		cfg := newParams(64)
		cfg.Teams = map[string]scheduler.Team{"t0": {MaxCPUs: 40}}
		cfg.Aging = true
		sim := emulator.New(emulator.Options{
			Seed:                9000 + seed,
			Members:             3,
			Types:               simTypes,
			CapacityPerOffering: 4,
			Params:              cfg,
			MessageLoss:         0.002,
		})
		sim.After(1000, func() {
			settings := scheduler.DefaultSettings()
			settings.BeginWithinS = 40
			sim.Members[0].Core.ChangeSettings(sim.Members[0].Clock(), 1<<50, settings)
		})
		submit := func(id string, tasks int, cpus float64) *emulator.Job {
			j := emulator.NewJob(scheduler.Job{
				ID:        id,
				Class:     "batch",
				Team:      "t0",
				Kind:      scheduler.Array,
				Priority:  scheduler.Normal,
				Tasks:     tasks,
				Request:   availability.Resources{CPUs: cpus, MemoryGB: 8, DiskGB: 1},
				Image:     "img-0",
				Spot:      true,
				EstimateS: 6,
			})
			sim.Submit(j)
			return j
		}
		for n := range 110 {
			sim.After(5000+int64(n)*1000, func() { submit(fmt.Sprintf("job-%06d", n), 3, 4) })
		}
		var large *emulator.Job
		sim.After(30_000, func() { large = submit("job-900000", 4, 36) })
		sim.Run(125_000, func() bool { return false })
		for rule, what := range sim.Violations {
			t.Errorf("seed %d: %s: %s", seed, rule, what)
		}
		if large.FirstStartAt == 0 || large.FirstStartAt-large.AcceptedAt > 60_000 {
			t.Errorf("seed %d: the large job was accepted at %d ms and started at %d ms, want a start within 60000 ms",
				seed, large.AcceptedAt, large.FirstStartAt)
		}
	}
}
