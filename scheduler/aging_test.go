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

// lognormal draws around a median, with 0.95 of what it draws below p95.
func lognormal(r *rand.Rand, median, p95, most float64) float64 {
	return min(most, median*math.Exp(r.NormFloat64()*math.Log(p95/median)/1.645))
}

// beyondTheLimit plays a team that asks for several times its limit, with jobs of all sizes
// and lengths, and urgent small ones beside them. It returns the world at its end.
func beyondTheLimit(seed uint64, aging bool) *emulator.World {
	const until = 480_000
	p := params(500)
	p.Teams = map[string]scheduler.Team{"t0": {CPUs: 300, MaxCPUs: 500}}
	p.Objectives = map[string][]scheduler.Objective{
		"reads":  {{Kind: "deadline", Times: 1}, {Kind: "deadline", Times: 1.5}, {Kind: "wait", WithinS: 250}},
		"checks": {{Kind: "deadline", Times: 1}, {Kind: "wait", WithinS: 60}}}
	p.Aging, p.ReportS, p.LeaseS, p.CancelS = aging, 3, 17.5, 42.5
	w := emulator.New(emulator.Options{Seed: seed, Members: 3, Types: simTypes, Capacity: 5, Params: p, Loss: 0.002,
		RunMS: func(_ *emulator.World, j *emulator.Job, _ string) int64 { return int64(1000 * j.Length) }})
	w.SweepMS = 5000
	r := rand.New(rand.NewPCG(seed, 2))
	arrive := func(every float64, job func(n int) (scheduler.Job, float64)) {
		n := 0
		var next func()
		next = func() {
			w.After(max(1, int64(every*1000*r.ExpFloat64())), func() {
				n++
				j, length := job(n)
				j.Team, j.Kind, j.Spot, j.Image = "t0", scheduler.Array, true, "img-0"
				j.EstimateS = length * math.Exp(0.4*r.NormFloat64())
				run := emulator.NewJob(j)
				run.Length = length
				w.Submit(run)
				next()
			})
		}
		next()
	}
	arrive(8, func(n int) (scheduler.Job, float64) {
		length := lognormal(r, 50, 100, 150)
		return scheduler.Job{ID: fmt.Sprintf("job-%06d", n), Class: "reads", Priority: scheduler.Normal, DeadlineS: 2*length + 80,
			Tasks: max(1, int(lognormal(r, 10, 40, 60))), Request: availability.Room{CPUs: 24, MemoryGB: 96, DiskGB: 4}}, length
	})
	arrive(25, func(n int) (scheduler.Job, float64) {
		length := lognormal(r, 20, 40, 60)
		return scheduler.Job{ID: fmt.Sprintf("job-9%05d", n), Class: "checks", Priority: scheduler.High, DeadlineS: 2*length + 20,
			Tasks: 12, Request: availability.Room{CPUs: 4, MemoryGB: 8, DiskGB: 1}}, length
	})
	w.Run(until, func() bool { return false })
	return w
}

// begun is the share of a class's largest or longest quarter that began within four
// minutes, of those that had the time to.
func begun(w *emulator.World, class string, size func(*emulator.Job) float64) (began, of int) {
	var jobs []*emulator.Job
	for _, id := range w.Order {
		if j := w.Jobs[id]; j.Accepted && j.Job.Class == class {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, func(a, b *emulator.Job) int { return cmp.Compare(size(b), size(a)) })
	for _, j := range jobs[:(len(jobs)+3)/4] {
		switch {
		case j.First > 0 && j.First-j.AcceptedAt <= 240_000:
			began++
			of++
		case w.Now-j.AcceptedAt > 240_000:
			of++
		}
	}
	return began, of
}

// Where a team asks for several times its limit, seven in ten of the largest and of the longest
// jobs begin within four minutes, a fifth of them only by aging.
func TestLargeJobsBeginAtALimit(t *testing.T) {
	t.Parallel()
	sizes := map[string]func(*emulator.Job) float64{
		"largest": func(j *emulator.Job) float64 { return j.Job.Request.CPUs * float64(j.Job.Tasks) },
		"longest": func(j *emulator.Job) float64 { return j.Length },
	}
	share := map[string]map[bool]float64{"largest": {}, "longest": {}}
	for _, aging := range []bool{false, true} {
		sum, all := map[string]int{}, map[string]int{}
		for seed := range uint64(4) {
			w := beyondTheLimit(8800+seed, aging)
			for rule, what := range w.Broken {
				t.Errorf("aging %v, seed %d: %s: %s", aging, seed, rule, what)
			}
			for name, size := range sizes {
				began, of := begun(w, "reads", size)
				sum[name] += began
				all[name] += of
			}
		}
		for name := range sizes {
			share[name][aging] = float64(sum[name]) / float64(all[name])
		}
	}
	t.Logf("%v", share)
	for name, s := range share {
		if s[true] < 0.7 || s[true] < s[false]+0.2 {
			t.Errorf("of the %s %.2f began in time, without aging %.2f", name, s[true], s[false])
		}
	}
}

// Jobs that age all the time, at their teams' limits, while everything fails: the rules
// hold, and all jobs end.
func TestAgingHoldsTheRules(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		p := params(64)
		p.Aging = true
		w := &world{size: scale{members: 3, capacity: 3, tasks: 12}, World: emulator.New(emulator.Options{Seed: 8900 + seed, Members: 3, Types: simTypes, Capacity: 3, Params: p, Loss: 0.002})}
		w.After(1000, func() {
			s := scheduler.DefaultSettings()
			s.BeginWithinS = 2
			w.Members[0].Core.ChangeSettings(w.Members[0].Clock(), 1<<50, s)
		})
		w.run(90_000, 900_000, 90)
		w.check(t)
	}
}

// Where smaller tasks take what others give back of a limit before it is enough for a
// large one, its room is kept together: its first task starts all the same.
func TestRoomOfALimitIsKeptTogether(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		p := params(64)
		p.Teams = map[string]scheduler.Team{"t0": {MaxCPUs: 40}}
		p.Aging = true
		w := emulator.New(emulator.Options{Seed: 9000 + seed, Members: 3, Types: simTypes, Capacity: 4, Params: p, Loss: 0.002})
		w.After(1000, func() {
			s := scheduler.DefaultSettings()
			s.BeginWithinS = 40
			w.Members[0].Core.ChangeSettings(w.Members[0].Clock(), 1<<50, s)
		})
		submit := func(id string, tasks int, cpus float64) *emulator.Job {
			j := emulator.NewJob(scheduler.Job{ID: id, Class: "batch", Team: "t0", Kind: scheduler.Array, Priority: scheduler.Normal,
				Tasks: tasks, Request: availability.Room{CPUs: cpus, MemoryGB: 8, DiskGB: 1}, Image: "img-0", Spot: true, EstimateS: 6})
			w.Submit(j)
			return j
		}
		for n := range 110 {
			w.After(5000+int64(n)*1000, func() { submit(fmt.Sprintf("job-%06d", n), 3, 4) })
		}
		var large *emulator.Job
		w.After(30_000, func() { large = submit("job-900000", 4, 36) })
		w.Run(125_000, func() bool { return false })
		for rule, what := range w.Broken {
			t.Errorf("seed %d: %s: %s", seed, rule, what)
		}
		if large.First == 0 || large.First-large.AcceptedAt > 60_000 {
			t.Errorf("seed %d: the large job was accepted after %d ms and began after %d", seed, large.AcceptedAt, large.First)
		}
	}
}
