package planner

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/availability"
)

// benchmarkView fills a view with machines of two types in three zones. A task that ends within the next minute uses
// half of each machine.
func benchmarkView(view *ClusterView, machines int) {
	view.Begin(startMS)
	for i := range machines {
		typeName := "small"
		if i%4 == 0 {
			typeName = "large"
		}
		offering := InstanceOffering{Type: typeName, Zone: zones[i/32%len(zones)], Spot: i%2 == 0}
		m := view.AddMachine(fmt.Sprintf("i-%05d", i), offering, nil)
		m.Ready = i%16 != 0
		running := availability.Resources{CPUs: m.Free.CPUs / 2, MemoryGB: m.Free.MemoryGB / 2}
		m.Free = m.Free.Sub(running)
		m.AddSlot(running, startMS+int64(i*997%60_000))
	}
	view.FinishAdding()
}

// BenchmarkPlace measures a round that places 200 groups in a shard. The first groups start at once, the next ones wait
// in queues, and the last ones can do neither.
func BenchmarkPlace(b *testing.B) {
	for _, machines := range []int{100, 2000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			catalog := NewCatalog()
			small := availability.Resources{CPUs: 8, MemoryGB: 32}
			large := availability.Resources{CPUs: 32, MemoryGB: 128}
			catalog.SetTypes(
				MachineType{Name: "small", Resources: small, FetchGBps: 1, Zones: zones},
				MachineType{Name: "large", Resources: large, FetchGBps: 1, Zones: zones},
			)
			view := NewClusterView(catalog)
			view.PacedStartsLeft = 1 << 30
			started, examined := 0, 0
			for b.Loop() {
				started, examined = 0, 0
				benchmarkView(view, machines)
				for i := range 200 {
					g := Group{
						Request: ResourceRequest{
							Resources:  availability.Resources{CPUs: float64(1 + i%4), MemoryGB: 4, DiskGB: 2},
							Image:      fmt.Sprint("img", i%8),
							AllowsSpot: i%2 == 0,
						},
						Remaining:           40,
						JobTasks:            40,
						LengthMS:            int64(5000 + 100*i),
						AcceptedMS:          startMS,
						ObjectiveDeadlineMS: startMS + 60_000,
						DeadlineMS:          startMS + 120_000,
						Constraints:         Constraints{ProvisionLimit: 40},
					}
					placement := view.Place(&g, 0.25)
					started += placement.StartedTasks
				}
				examined = view.Examined
			}
			b.ReportMetric(float64(started), "started")
			b.ReportMetric(float64(examined), "examined")
		})
	}
}
