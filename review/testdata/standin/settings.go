package main

// cascadia has the figures of the refund platform's page, with two zones and two machine types.
func cascadia() settings {
	return settings{
		names: []string{"berth-0", "berth-1", "berth-2"}, zones: []string{"seattle-west", "portland-east", "seattle-west"},
		allZones: []string{"seattle-west", "portland-east"},
		teams:    "[[cluster.teams]]\nname = \"refund-ops\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n",
		reportS:  3, leaseS: 32, cancelS: 62, rps: 150, writeRPS: 50, valueKB: 8, txnOps: 40, cloudRPS: 5, listLagS: 10,
		types: []machineType{
			{Name: "claims-core", CPUs: 32, MemoryGB: 128, LocalGB: 50, PullGBps: 0.5, Hourly: 1.28, Market: 0.3, ReadyS: 2,
				Marshes: []string{"seattle-west"}},
			{Name: "counter-edge", CPUs: 8, MemoryGB: 64, LocalGB: 30, PullGBps: 0.5, Hourly: 0.39, Market: 0.09, ReadyS: 2,
				Marshes: []string{"portland-east"}},
		},
		bootS: 1.5,
	}
}

// siam has the figures of the meter reading page, with one team.
func siam() settings {
	return settings{
		names: []string{"berth-0", "berth-1", "berth-2"}, zones: []string{"bangkok-dc", "chiangmai-dc", "bangkok-dc"},
		allZones: []string{"bangkok-dc", "chiangmai-dc"},
		teams:    "[[cluster.teams]]\nname = \"metering-ops-00\"\ncpus = 128.0\ncpus_max = 128.0\ngpus = 0.0\ngpus_max = 0.0\n",
		reportS:  0.8, leaseS: 11, cancelS: 36, rps: 150, writeRPS: 20, valueKB: 16, txnOps: 16, cloudRPS: 4, listLagS: 6,
		types: []machineType{
			{Name: "billing-core", CPUs: 64, MemoryGB: 256, LocalGB: 50, PullGBps: 0.3, Hourly: 3.22, Market: 0.93, ReadyS: 2,
				Marshes: []string{"bangkok-dc"}},
			{Name: "field-sync", CPUs: 16, MemoryGB: 64, LocalGB: 30, PullGBps: 0.3, Hourly: 0.74, Market: 0.19, ReadyS: 2,
				Marshes: []string{"chiangmai-dc"}},
		},
		bootS: 1.5,
	}
}
