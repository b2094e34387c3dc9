package emulator

// SampleLiveWorkers calls action for each running machine with the given probability.
func (sim *Simulation) SampleLiveWorkers(probability float64, action func(*Worker)) {
	for _, id := range sim.WorkerIDs {
		if worker := sim.Workers[id]; worker.Up && !worker.Gone && sim.Rand.Float64() < probability {
			action(worker)
		}
	}
}

func (sim *Simulation) randomMember() *Member { return sim.Members[sim.Rand.IntN(len(sim.Members))] }

// randomBetween returns a random time in ms, at least from and less than to.
func (sim *Simulation) randomBetween(from, to int64) int64 { return from + sim.Rand.Int64N(to-from) }

// Fault is a kind of fault with random parameters.
type Fault struct {
	Name   string
	Inject func(*Simulation)
}

// InjectRandomFault injects a random one of Faults.
func (sim *Simulation) InjectRandomFault() {
	fault := Faults[sim.Rand.IntN(len(Faults))]
	sim.Tracef("random fault: %s", fault.Name)
	fault.Inject(sim)
}

// Faults lists the independent faults, for scenarios with overlapping faults.
var Faults = []Fault{
	{
		"late writes",
		func(sim *Simulation) { sim.DelayWrites(0.1+0.5*sim.Rand.Float64(), sim.randomBetween(3000, 28_000)) },
	},
	{"late reports", func(sim *Simulation) {
		sim.ReplayHeartbeats(0.2+0.6*sim.Rand.Float64(), sim.randomBetween(3000, 28_000))
	}},
	{
		"lost answers",
		func(sim *Simulation) { sim.LoseResponses(0.1+0.5*sim.Rand.Float64(), sim.randomBetween(3000, 28_000)) },
	},
	{"reports kept for the next claim", func(sim *Simulation) {
		sim.ReplayHeartbeatsAtClaim(0.2+0.6*sim.Rand.Float64(), sim.randomBetween(3000, 28_000))
	}},
	{"reports held until a new holder acts", func(sim *Simulation) {
		sim.DelayHeartbeatsUntilNewOwnerActs(0.1+0.3*sim.Rand.Float64(), sim.randomBetween(3000, 28_000))
	}},
	{
		"commands late",
		func(sim *Simulation) { sim.DelayCommands(0.2+0.6*sim.Rand.Float64(), sim.randomBetween(3000, 28_000)) },
	},
	{"mute machines", func(sim *Simulation) {
		sim.SampleLiveWorkers(
			0.4,
			func(worker *Worker) { sim.PartitionOutbound(worker, sim.randomBetween(2000, 28_000)) },
		)
	}},
	{"jobs cancelled together", func(sim *Simulation) {
		sim.CancelRunningJobs(1+sim.Rand.IntN(4), sim.randomBetween(0, 2)*sim.randomBetween(2000, 10_000))
	}},
	{"jobs cancelled as they end", func(sim *Simulation) { sim.CancelAtEnd(0.5, sim.randomBetween(3000, 28_000)) }},
	{"odd requests", func(sim *Simulation) { sim.SendInvalidRequests(sim.randomBetween(3000, 28_000)) }},
	{"close looks", func(sim *Simulation) { sim.ReadConcurrently(sim.randomBetween(3000, 28_000)) }},
	{"deaf machines", func(sim *Simulation) {
		sim.SampleLiveWorkers(
			0.4,
			func(worker *Worker) { sim.PartitionInbound(worker, sim.randomBetween(2000, 28_000)) },
		)
	}},
	{
		"a member cut from state and peers, held",
		func(sim *Simulation) { sim.PartitionMember(sim.randomMember(), sim.randomBetween(3000, 28_000), false) },
	},
	{
		"a member cut from state and peers, refused",
		func(sim *Simulation) { sim.PartitionMember(sim.randomMember(), sim.randomBetween(3000, 28_000), true) },
	},
	{
		"slow state",
		func(sim *Simulation) { sim.SlowStore(sim.randomBetween(400, 3000), sim.randomBetween(3000, 28_000)) },
	},
	{
		"a member stands still",
		func(sim *Simulation) { sim.PauseMember(sim.randomMember(), sim.randomBetween(500, 12_000)) },
	},
	{"commands held", func(sim *Simulation) {
		sim.SampleLiveWorkers(0.5, func(worker *Worker) {
			sim.DelayWorkerCommands(worker, sim.randomBetween(1000, 11_000), sim.Rand.IntN(2) == 0)
		})
	}},
	{"refused alone, then down for all", func(sim *Simulation) {
		durationMS := sim.randomBetween(3000, 28_000)
		sim.StartOutage(sim.randomMember().Name, durationMS)
		sim.After(sim.Rand.Int64N(durationMS), func() { sim.StartOutage("all", sim.randomBetween(2000, 56_000)) })
	}},
	{
		"one ends, back within a second",
		func(sim *Simulation) { sim.randomMember().Crash(sim.randomBetween(100, 1000)) },
	},
	{
		"one ends, is adopted and comes back",
		func(sim *Simulation) { sim.randomMember().Crash(sim.randomBetween(14_000, 20_000)) },
	},
	{"all end", (*Simulation).CrashAll},
	{"a roll", func(sim *Simulation) {
		for i, m := range sim.Members {
			sim.After(int64(i)*2500, func() { m.Crash(1500) })
		}
	}},
	{"an outage", func(sim *Simulation) { sim.StartOutage("all", sim.randomBetween(1000, 10_000)) }},
	{"a zone cut off", func(sim *Simulation) {
		sim.PartitionZone([]string{"a", "b"}[sim.Rand.IntN(2)], sim.randomBetween(2000, 14_000))
	}},
	{"a wave of spot machines taken back", func(sim *Simulation) {
		sim.SampleLiveWorkers(0.5, func(worker *Worker) {
			if worker.Instance.Spot {
				sim.Cloud.Reclaim(worker.Instance.ID)
			}
		})
	}},
	{"machines hang", func(sim *Simulation) {
		sim.SampleLiveWorkers(0.4, func(worker *Worker) {
			worker.HangUntil = sim.Now +
				sim.randomBetween(1000, 10_000)
		})
	}},
	{"a member lacks processor time", func(sim *Simulation) {
		sim.Lags[sim.randomMember().Name] = Lag{Until: sim.Now + 12_000, MaxDelayMS: 3000}
	}},
	{"a member cut from its workers", func(sim *Simulation) {
		sim.Partitions = append(
			sim.Partitions,
			Partition{A: sim.randomMember().Name, B: "w", Until: sim.Now + sim.randomBetween(2000, 11_000)},
		)
	}},
}
