package emulator

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
)

func (experiment *Experiment) memberNames() []string {
	var names []string
	for i := range experiment.Members {
		names = append(names, fmt.Sprintf("m%d", i))
	}
	return names
}

func (variant Variant) settings() scheduler.Settings {
	settings := scheduler.DefaultSettings()
	for _, override := range []struct {
		to   *float64
		from float64
	}{
		{&settings.LateShare, variant.LateShare}, {&settings.SummaryS, variant.SummaryS},
		{&settings.IdleBoots, variant.IdleBoots},
	} {
		if override.from != 0 {
			*override.to = override.from
		}
	}
	settings.Functions, settings.Samples = cmp.Or(
		variant.Functions,
		settings.Functions,
	), cmp.Or(
		variant.Samples,
		settings.Samples,
	)
	return settings
}

// applyRollout applies a plan with an operator's request, and records its progress in result.
func (sim *Simulation) applyRollout(plan Rollout, result *RolloutResult) {
	counter := sim.CountStops(func(*platformfake.Task, int) {})
	result.MaxDown = counter.MaxDown
	var appliedAt int64
	var sample func()
	sample = func() {
		for _, m := range sim.Members {
			if m.Core == nil || result.State == rollout.Done {
				continue
			}
			if status := m.Core.Rollout(m.Clock()); status != nil {
				result.State, result.Reason, result.Total = status.State, status.Reason, status.TotalMachines
				result.StoppedTasks = counter.Total
				result.DurationS = float64(sim.Now-appliedAt) / 1000
				break
			}
		}
		sim.After(1000, sample)
	}
	sim.After(int64(plan.AtS*1000), func() {
		sim.SendOperatorRequest(func(m *scheduler.Controller, now scheduler.Now, replyID uint64) {
			m.ApplyRollout(now, replyID, plan.Plan)
		}, func(scheduler.UserResponse) {
			appliedAt = sim.Now
			sample()
		})
	})
}

// Run simulates one variant with one seed.
func (experiment *Experiment) Run(variant Variant, seed uint64) Result {
	sim := experiment.newSimulation(variant, seed)
	quietS := experiment.QuietS
	if quietS == 0 {
		quietS = experiment.RunS
	}
	for i := range experiment.Classes {
		experiment.scheduleArrivals(sim, &experiment.Classes[i], seed)
	}
	if experiment.Platform.GuaranteeS > 0 {
		sim.After(1000+int64(experiment.WarmupS*1000), sim.sampleLimits)
	}
	for _, fault := range experiment.Faults {
		if !slices.Contains(variant.Without, fault.Kind) {
			sim.After(int64(fault.AtS*1000), func() { experiment.injectFault(sim, fault) })
		}
	}
	settings := variant.settings()
	settings.Disruption = experiment.Disruption
	sim.After(1000, func() { sim.Members[0].Core.ChangeSettings(sim.Members[0].Clock(), 1<<50, settings) })
	var rolloutResult *RolloutResult
	for _, plan := range experiment.Rollouts {
		if plan.Plan.ID == variant.Rollout {
			rolloutResult = &RolloutResult{Plan: plan.Plan.ID}
			sim.applyRollout(plan, rolloutResult)
		}
	}
	var timeline []TimelinePoint
	sim.sampleTimeline(
		int64((experiment.RunS+quietS)*1000)/int64(cmp.Or(experiment.TimelinePoints, defaultTimelinePoints)),
		&timeline,
	)
	sim.Run(
		int64((experiment.RunS+quietS)*1000),
		func() bool { return sim.Now > int64(experiment.RunS*1000)+5000 && sim.IsFinished() },
	)
	result := experiment.collectResult(sim, variant, seed)
	result.VariantIndex = slices.IndexFunc(
		experiment.Variants,
		func(other Variant) bool { return other.Name == variant.Name },
	)
	result.Timeline, result.Rollout = timeline, rolloutResult
	for _, fault := range experiment.Faults {
		if slices.Contains(variant.Without, fault.Kind) {
			continue
		}
		result.Faults = append(result.Faults, RecordedFault{fault.AtS, fault.DurationS, fault.Kind})
	}
	return result
}

func (experiment *Experiment) newSimulation(variant Variant, seed uint64) *Simulation {
	platform := experiment.Platform
	spreads := map[string]float64{} // spread of run times, by class
	for _, class := range experiment.Classes {
		spreads[class.Name] = class.Spread
	}
	sim := New(Options{
		Seed:                seed,
		Members:             experiment.Members,
		Types:               experiment.machineTypes(),
		CapacityPerOffering: experiment.Machines,
		Params:              experiment.params(variant),
		MessageLoss:         experiment.Loss,
		SpeedSpread:         platform.SpeedSpread,
		FetchSpread:         platform.FetchSpread,
		SpotLossPerHour:     platform.SpotLossPerHour,
		NoticeS:             platform.NoticeS,
		GangWaitMS:          int64(platform.GangWaitS * 1000),
		TaskRunMS: func(_ *Simulation, j *Job, task string) int64 {
			h := fnv.New64a()
			h.Write([]byte(task))
			r := rand.New(rand.NewPCG(seed, h.Sum64()))
			return max(1, int64(1000*j.TaskRunS*math.Exp(spreads[j.Spec.Class]*r.NormFloat64())))
		},
	})
	sim.StoreRPS, sim.StoreWriteRPS = platform.StoreRPS, platform.StoreWriteRPS
	sim.Store.PageSize = storePageSize
	sim.SweepIntervalMS = int64(experiment.SweepIntervalS * 1000)
	return sim
}

// storePageSize is the maximum number of keys in one response of the simulated state service.
const storePageSize = 500

// params returns the parameters of the members' cores for a variant.
func (experiment *Experiment) params(variant Variant) scheduler.Params {
	platform := experiment.Platform
	params := scheduler.Params{
		Teams:            map[string]scheduler.Team{},
		Objectives:       map[string][]scheduler.Objective{},
		HeartbeatS:       platform.HeartbeatS,
		LeaseS:           platform.LeaseS,
		CancelWithinS:    platform.CancelS,
		CloudListLagS:    platform.ListLagS,
		MaxValueBytes:    int(platform.ValueKB * 1024),
		MaxTxnOps:        platform.TxnOps,
		CPUShare:         platform.CPUShare,
		GuaranteeWithinS: platform.GuaranteeS,
		MaxPendingRelays: 16,
		Recovery:         true,
		Rollout:          true,
		Quota:            !variant.NoQuota,
		StoreChangeRate:  platform.StoreWriteRPS / float64(experiment.Members),
		LeaseTTLRatio:    variant.LeaseTTLRatio,
	}
	for _, team := range experiment.Teams {
		params.Teams[team.Name] = scheduler.Team{CPUs: team.CPUs, MaxCPUs: team.MaxCPUs}
	}
	for _, class := range experiment.Classes {
		if objectives := class.objectives(); len(objectives) > 0 {
			params.Objectives[class.Name] = append(params.Objectives[class.Name], objectives...)
		}
	}
	return params
}

// objectives returns the service-level objectives of a class.
func (class *Class) objectives() []scheduler.Objective {
	var objectives []scheduler.Objective
	if class.DeadlineS > 0 {
		objectives = append(objectives, scheduler.Objective{Kind: "deadline", DeadlineFactor: 1})
	}
	if class.WaitWithinS > 0 {
		objectives = append(objectives, scheduler.Objective{Kind: "wait", WithinS: class.WaitWithinS})
	}
	return objectives
}

func (experiment *Experiment) machineTypes() []scheduler.MachineType {
	var types []scheduler.MachineType
	for _, t := range experiment.Types {
		types = append(types, scheduler.MachineType{
			Name:           t.Name,
			Resources:      availability.Resources{CPUs: t.CPUs, MemoryGB: t.MemoryGB, DiskGB: t.CacheGB},
			ImageFetchGBps: t.FetchGBps,
			Price:          t.Price,
			SpotPrice:      t.SpotPrice,
			BootS:          t.BootS,
			Zones:          t.Zones,
		})
	}
	return types
}

// scheduleArrivals schedules a class's jobs as a Poisson process, with a higher rate during a
// burst. Arrivals use a separate random source, so that with one seed all variants get the same
// jobs with the same run times, and pairs of runs differ only by their settings.
func (experiment *Experiment) scheduleArrivals(sim *Simulation, class *Class, seed uint64) {
	classNumber := 1 + slices.IndexFunc(experiment.Classes, func(other Class) bool { return other.Name == class.Name })
	rng := rand.New(rand.NewPCG(seed, uint64(classNumber)))
	n := 0
	var next func()
	next = func() {
		rate := class.PerMinute / 60_000
		for _, fault := range experiment.Faults {
			if nowS := float64(sim.Now) / 1000; fault.Kind == "burst" && fault.Class == class.Name &&
				nowS >= fault.AtS &&
				nowS < fault.AtS+fault.DurationS {
				rate *= fault.Factor
			}
		}
		sim.After(max(1, int64(rng.ExpFloat64()/rate)), func() {
			if sim.Now > int64(experiment.RunS*1000) {
				return
			}
			n++
			runS := class.RunS * math.Exp(0.3*rng.NormFloat64())
			j := NewJob(
				scheduler.Job{
					ID:       fmt.Sprintf("job-%d%05d", classNumber, n),
					Class:    class.Name,
					Team:     class.Team,
					Kind:     scheduler.Array,
					Priority: priorities[class.Priority],
					Tasks:    class.Tasks[0] + rng.IntN(class.Tasks[1]-class.Tasks[0]+1),
					Request: availability.Resources{
						CPUs:     class.CPUs,
						MemoryGB: class.MemoryGB,
						DiskGB:   class.ImageGB,
					},
					Image:               class.Image,
					Spot:                class.Spot,
					EstimateS:           runS * math.Exp(class.EstimateError*rng.NormFloat64()),
					DeadlineS:           class.DeadlineS,
					CheckpointIntervalS: class.CheckpointS,
					CheckpointDurationS: class.CheckpointDurationS,
				},
			)
			j.Spec.AtMostOnce = class.Once
			if class.Gang {
				j.Spec.Kind = scheduler.Gang
			}
			j.TaskRunS = runS
			sim.Submit(j)
			next()
		})
	}
	sim.After(3000, next)
}

// restartDelayMS is the minimum time for which a crashed member stays down.
const restartDelayMS = 3000

// injectFault starts a fault at the current simulated time.
func (experiment *Experiment) injectFault(sim *Simulation, fault FaultSpec) {
	durationMS := int64(fault.DurationS * 1000)
	var members []*Member
	for _, m := range sim.Members {
		if fault.Member == "" || m.Name == fault.Member {
			members = append(members, m)
		}
	}
	forSomeWorkers := func(action func(*Worker)) {
		for _, worker := range sim.PickLiveWorkers(fault.Count) {
			action(worker)
		}
	}
	sim.Tracef("fault: %s", fault.Kind)
	switch fault.Kind {
	case "crash":
		for _, m := range members {
			m.Crash(max(restartDelayMS, durationMS))
		}
	case "roll":
		for i, m := range members {
			sim.After(int64(float64(i)*fault.IntervalS*1000), func() { m.Crash(restartDelayMS) })
		}
	case "outage":
		target := fault.Member
		if target == "" {
			target = "all"
		}
		sim.StartOutage(target, durationMS)
	case "cut":
		sideA := fault.Member
		if sideA == "" {
			sideA = "m"
		}
		sideB := fault.OtherSide
		if sideB == "all" {
			sideB = "" // the empty prefix matches every endpoint
		}
		sim.Partitions = append(sim.Partitions, Partition{A: sideA, B: sideB, Until: sim.Now + durationMS})
	case "zone":
		sim.PartitionZone(fault.Zone, durationMS)
	case "hang":
		forSomeWorkers(func(worker *Worker) { worker.HangUntil = sim.Now + durationMS })
	case "replace":
		var workers []*Worker
		forSomeWorkers(func(worker *Worker) { workers = append(workers, worker) })
		sim.ReplaceWorkers(workers)
	case "die":
		forSomeWorkers(func(worker *Worker) { sim.Cloud.Reclaim(worker.Instance.ID) })
	case "copies":
		sim.DuplicateCommands(fault.Factor, durationMS)
	case "lag":
		for _, m := range members {
			sim.Lags[m.Name] = Lag{Until: sim.Now + durationMS, MaxDelayMS: int64(fault.Factor)}
		}
	}
}
