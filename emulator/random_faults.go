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
	{"replayed heartbeats", func(sim *Simulation) {
		sim.ReplayHeartbeats(0.2+0.6*sim.Rand.Float64(), sim.randomBetween(3000, 28_000))
	}},
	{
		"lost store responses",
		func(sim *Simulation) { sim.LoseResponses(0.1+0.5*sim.Rand.Float64(), sim.randomBetween(3000, 28_000)) },
	},
	{"heartbeats replayed at the next claim", func(sim *Simulation) {
		sim.ReplayHeartbeatsAtClaim(0.2+0.6*sim.Rand.Float64(), sim.randomBetween(3000, 28_000))
	}},
	{"heartbeats delayed until a new owner acts", func(sim *Simulation) {
		sim.DelayHeartbeatsUntilNewOwnerActs(0.1+0.3*sim.Rand.Float64(), sim.randomBetween(3000, 28_000))
	}},
	{
		"late direct commands",
		func(sim *Simulation) { sim.DelayCommands(0.2+0.6*sim.Rand.Float64(), sim.randomBetween(3000, 28_000)) },
	},
	{"copies of direct commands", func(sim *Simulation) {
		sim.DuplicateCommands(0.3+0.6*sim.Rand.Float64(), sim.randomBetween(3000, 28_000))
	}},
	{"machines with outbound partitions", func(sim *Simulation) {
		sim.SampleLiveWorkers(
			0.4,
			func(worker *Worker) { sim.PartitionOutbound(worker, sim.randomBetween(2000, 28_000)) },
		)
	}},
	{"jobs cancelled together", func(sim *Simulation) {
		sim.CancelRunningJobs(1+sim.Rand.IntN(4), sim.randomBetween(0, 2)*sim.randomBetween(2000, 10_000))
	}},
	{"jobs cancelled as they end", func(sim *Simulation) { sim.CancelAtEnd(0.5, sim.randomBetween(3000, 28_000)) }},
	{"invalid requests", func(sim *Simulation) { sim.SendInvalidRequests(sim.randomBetween(3000, 28_000)) }},
	{"concurrent queries to all members", func(sim *Simulation) {
		sim.ReadConcurrently(sim.randomBetween(3000, 28_000))
	}},
	{"machines with inbound partitions", func(sim *Simulation) {
		sim.SampleLiveWorkers(
			0.4,
			func(worker *Worker) { sim.PartitionInbound(worker, sim.randomBetween(2000, 28_000)) },
		)
	}},
	{
		"a member partitioned from store and peers, messages delayed",
		func(sim *Simulation) { sim.PartitionMember(sim.randomMember(), sim.randomBetween(3000, 28_000), false) },
	},
	{
		"a member partitioned from store and peers, requests refused",
		func(sim *Simulation) { sim.PartitionMember(sim.randomMember(), sim.randomBetween(3000, 28_000), true) },
	},
	{
		"slow store",
		func(sim *Simulation) { sim.SlowStore(sim.randomBetween(400, 3000), sim.randomBetween(3000, 28_000)) },
	},
	{
		"a paused member",
		func(sim *Simulation) { sim.PauseMember(sim.randomMember(), sim.randomBetween(500, 12_000)) },
	},
	{"delayed direct commands", func(sim *Simulation) {
		sim.SampleLiveWorkers(0.5, func(worker *Worker) {
			sim.DelayWorkerCommands(worker, sim.randomBetween(1000, 11_000), sim.Rand.IntN(2) == 0)
		})
	}},
	{"a store outage for one member, then for all", func(sim *Simulation) {
		durationMS := sim.randomBetween(3000, 28_000)
		sim.StartOutage(sim.randomMember().Name, durationMS)
		sim.After(sim.Rand.Int64N(durationMS), func() { sim.StartOutage("all", sim.randomBetween(2000, 56_000)) })
	}},
	{
		"a member crashes and restarts within a second",
		func(sim *Simulation) { sim.randomMember().Crash(sim.randomBetween(100, 1000)) },
	},
	{
		"a member crashes and restarts after its shard is adopted",
		func(sim *Simulation) { sim.randomMember().Crash(sim.randomBetween(14_000, 20_000)) },
	},
	{"all members crash", (*Simulation).CrashAll},
	{"a rolling restart", func(sim *Simulation) {
		for i, m := range sim.Members {
			sim.After(int64(i)*2500, func() { m.Crash(1500) })
		}
	}},
	{"a store outage for all", func(sim *Simulation) { sim.StartOutage("all", sim.randomBetween(1000, 10_000)) }},
	{"a partitioned zone", func(sim *Simulation) {
		sim.PartitionZone([]string{"a", "b"}[sim.Rand.IntN(2)], sim.randomBetween(2000, 14_000))
	}},
	{"many spot machines reclaimed", func(sim *Simulation) {
		sim.SampleLiveWorkers(0.5, func(worker *Worker) {
			if worker.Instance.Spot {
				sim.Cloud.Reclaim(worker.Instance.ID)
			}
		})
	}},
	{"hung machines", func(sim *Simulation) {
		sim.SampleLiveWorkers(0.4, func(worker *Worker) {
			worker.HangUntil = sim.Now +
				sim.randomBetween(1000, 10_000)
		})
	}},
	{"a member with too little processor time", func(sim *Simulation) {
		sim.Lags[sim.randomMember().Name] = Lag{Until: sim.Now + 12_000, MaxDelayMS: 3000}
	}},
	{"a member partitioned from its workers", func(sim *Simulation) {
		sim.Partitions = append(
			sim.Partitions,
			Partition{A: sim.randomMember().Name, B: "w", Until: sim.Now + sim.randomBetween(2000, 11_000)},
		)
	}},
}
