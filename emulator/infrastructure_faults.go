package emulator

// StartOutage makes the state service unavailable to a member, or to "all", for durationMS.
// Watches stay open, and the end of an outage for all members renews every lease to its full TTL.
func (sim *Simulation) StartOutage(target string, durationMS int64) {
	sim.OutageUntil[target] = sim.Now + durationMS
	sim.After(durationMS, func() {
		if target == "all" {
			sim.Store.RenewAllLeases(sim.Now)
		}
	})
}

// InjectInfrastructureFault injects a random fault of limited duration.
func (sim *Simulation) InjectInfrastructureFault() {
	durationMS := 3000 + sim.Rand.Int64N(25000)
	m := sim.Members[sim.Rand.IntN(len(sim.Members))]
	randomWorker := func() *Worker {
		if len(sim.WorkerIDs) == 0 {
			return nil
		}
		return sim.Workers[sim.WorkerIDs[sim.Rand.IntN(len(sim.WorkerIDs))]]
	}
	kind := sim.Rand.IntN(12)
	sim.Tracef("fault %d for %d ms, %s", kind, durationMS, m.Name)
	switch kind {
	case 0:
		m.Crash(1000 + sim.Rand.Int64N(4000))
	case 1:
		m.Crash(30_000 + sim.Rand.Int64N(30_000)) // long enough that other members claim its shards
	case 2:
		for _, m := range sim.Members {
			m.Crash(1000 + sim.Rand.Int64N(4000))
		}
	case 3, 4:
		target := "all"
		if sim.Rand.IntN(2) == 0 {
			target = m.Name
		}
		sim.StartOutage(target, durationMS)
	case 5:
		sim.Partitions = append(sim.Partitions, Partition{A: m.Name, B: "store", Until: sim.Now + durationMS})
	case 6:
		sim.Partitions = append(sim.Partitions, Partition{A: m.Name, B: "", Until: sim.Now + durationMS})
	case 7:
		if worker := randomWorker(); worker != nil {
			sim.Partitions = append(sim.Partitions, Partition{
				A:     "w" + worker.Instance.ID,
				B:     "",
				Until: sim.Now + durationMS,
			})
		}
	case 8:
		if worker := randomWorker(); worker != nil {
			worker.HangUntil = sim.Now + sim.Rand.Int64N(9000)
		}
	case 9:
		if worker := randomWorker(); worker != nil && !worker.Gone {
			if worker.Up && sim.Rand.IntN(2) == 0 {
				noticeS := 5.0
				worker.Agent.NoticeS, worker.Agent.HasChanges = &noticeS, true
				sim.After(5000, func() { sim.Cloud.Reclaim(worker.Instance.ID) })
			} else {
				sim.Cloud.Reclaim(worker.Instance.ID)
			}
		}
	case 10:
		sim.Partitions = append(sim.Partitions, Partition{A: m.Name, B: "m", Until: sim.Now + durationMS})
	case 11:
		sim.Lags[m.Name] = Lag{Until: sim.Now + durationMS, MaxDelayMS: 100 + sim.Rand.Int64N(4000)}
	}
}

// PartitionZone partitions the machines of a zone from all other endpoints for durationMS.
func (sim *Simulation) PartitionZone(zone string, durationMS int64) {
	for _, id := range sim.WorkerIDs {
		if worker := sim.Workers[id]; !worker.Gone && worker.Instance.Zone == zone {
			sim.Partitions = append(sim.Partitions, Partition{A: "w" + id, Until: sim.Now + durationMS})
		}
	}
}
