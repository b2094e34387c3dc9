package availability

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkSummaryAccuracy measures the accuracy of summaries as the paper does (its tables I and II, figure 5): the
// promised share of the resources of nodes with uniformly distributed memory, disk and availability.
func BenchmarkSummaryAccuracy(b *testing.B) {
	for _, c := range []struct{ nodes, functions int }{
		{1024, 8},
		{1024, 27},
		{1024, 64},
		{1024, 125},
		{1024, 216},
		{128, 125},
		{8192, 125},
	} {
		b.Run(fmt.Sprintf("%dx%d", c.nodes, c.functions), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			const horizon = 1_000_000
			queues, resources := make([]Queue, c.nodes), make([]Resources, c.nodes)
			for i := range queues {
				queues[i].EarliestStart = rng.Int64N(100_000)
				for range rng.IntN(4) {
					queues[i].Admit(rng.Int64N(horizon), 1000+rng.Int64N(100_000), 1)
				}
				memoryGB := 0.25 * float64(1+rng.IntN(16))
				diskGB := 10 * float64(1+rng.IntN(16))
				resources[i] = Resources{CPUs: 1, MemoryGB: memoryGB, DiskGB: diskGB}
			}
			var s Summary
			for b.Loop() {
				var r Reducer
				r.Begin(c.functions, 10, 0, horizon)
				for i := range queues {
					r.AddQueue("node", resources[i], &queues[i])
				}
				s = r.Summary()
			}
			var memory, disk, free, allMemory, allDisk, all float64
			for i := range queues {
				allMemory, allDisk = allMemory+resources[i].MemoryGB, allDisk+resources[i].DiskGB
				for deadline := int64(10_000); deadline < horizon; deadline *= 2 {
					all += float64(queues[i].Available(deadline)) / float64(deadline)
				}
			}
			samples := 0
			for i := range s {
				f := &s[i]
				n := float64(f.Count)
				memory, disk = memory+n*f.Resources.MemoryGB, disk+n*f.Resources.DiskGB
				samples += len(f.Samples)
				for deadline := int64(10_000); deadline < horizon; deadline *= 2 {
					free += n * f.AvailableBy(deadline) / float64(deadline)
				}
			}
			b.ReportMetric(memory/allMemory, "memory")
			b.ReportMetric(disk/allDisk, "disk")
			b.ReportMetric(free/all, "availability")
			b.ReportMetric(float64(16*samples+56*len(s)), "bytes")
		})
	}
}
