package planner

import (
	"fmt"
	"slices"

	"github.com/grebedock/grebedock/availability"
	"pgregory.net/rapid"
)

// shardModel is a generated shard. Its machines join, leave and change between rounds, and each round has groups to
// place.
type shardModel struct {
	catalog  *Catalog
	machines []*modelMachine
	added    []*modelMachine // machines in the view, by index
	lastID   int
}

type modelMachine struct {
	id             string
	offering       InstanceOffering
	readyAtMS      int64
	absent         bool // not in the view in this round
	running        []Slot
	cache          *ImageCache
	expectedImages map[string]bool
}

const startMS = int64(1_000_000)

var zones = []string{"a", "b", "c"}

func newShardModel(t *rapid.T) *shardModel {
	model := &shardModel{catalog: NewCatalog()}
	for i := range rapid.IntRange(1, 4).Draw(t, "types") {
		cpus := float64(rapid.SampledFrom([]int{4, 8, 16, 64}).Draw(t, "cpus"))
		model.catalog.SetTypes(MachineType{
			Name:      fmt.Sprint("t", i),
			Resources: availability.Resources{CPUs: cpus, MemoryGB: cpus * 4, GPUs: float64(i % 2)},
			FetchGBps: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "fetch"),
			BootMS:    10_000,
			Zones:     zones,
		})
	}
	return model
}

func (model *shardModel) drawRequest(t *rapid.T) ResourceRequest {
	request := ResourceRequest{
		Resources: availability.Resources{
			CPUs:     rapid.SampledFrom([]float64{0.5, 1, 4, 7, 16}).Draw(t, "request"),
			MemoryGB: float64(rapid.IntRange(1, 24).Draw(t, "memory")),
			DiskGB:   rapid.SampledFrom([]float64{0, 2, 6}).Draw(t, "image size"),
		},
		AllowsSpot: rapid.Bool().Draw(t, "spot"),
	}
	if rapid.Bool().Draw(t, "has image") {
		request.Image = fmt.Sprint("img", rapid.IntRange(0, 4).Draw(t, "image"))
	}
	switch rapid.IntRange(0, 5).Draw(t, "bound to") {
	case 0:
		request.Zone = rapid.SampledFrom(zones).Draw(t, "zone")
	case 1:
		request.Types = []string{model.drawType(t)}
	}
	return request
}

func (model *shardModel) drawType(t *rapid.T) string {
	types := model.catalog.sorted
	return types[rapid.IntRange(0, len(types)-1).Draw(t, "type")].Name
}

func (model *shardModel) drawChanges(t *rapid.T, view *ClusterView, nowMS int64) {
	for range rapid.IntRange(0, 40).Draw(t, "joining") {
		model.drawMachine(t, view, nowMS)
	}
	for _, m := range slices.Clone(model.machines) {
		switch rapid.IntRange(0, 9).Draw(t, "machine") {
		case 0:
			m.cache.Remove()
			model.machines = slices.DeleteFunc(model.machines, func(o *modelMachine) bool { return o == m })
		case 1:
			m.running, m.absent = nil, !m.absent
		case 2:
			m.drawImageUse(t, nowMS)
		default:
			if m.readyAtMS == 0 && rapid.Bool().Draw(t, "runs") {
				m.drawRunningTask(t, model.catalog.Type(m.offering.Type).Resources, nowMS)
			}
		}
	}
}

func (model *shardModel) drawMachine(t *rapid.T, view *ClusterView, nowMS int64) {
	model.lastID++
	m := &modelMachine{
		id: fmt.Sprintf("i-%04d", model.lastID),
		offering: InstanceOffering{
			model.drawType(t),
			rapid.SampledFrom(zones).Draw(t, "zone"),
			rapid.Bool().Draw(t, "spot"),
		},
		cache:          view.NewImageCache(),
		expectedImages: map[string]bool{},
	}
	if rapid.IntRange(0, 4).Draw(t, "boots") == 0 {
		m.readyAtMS = nowMS + rapid.Int64Range(1, 30_000).Draw(t, "ready after")
	}
	model.machines = append(model.machines, m)
}

func (m *modelMachine) drawImageUse(t *rapid.T, nowMS int64) {
	name := fmt.Sprint("img", rapid.IntRange(0, 4).Draw(t, "image"))
	m.cache.RecordUse(name, Image{LastUsedMS: nowMS, SizeGB: 4}, 8)
	m.expectedImages[name] = true
	for n := range m.expectedImages {
		m.expectedImages[n] = m.cache.Has(n)
	}
}

func (m *modelMachine) drawRunningTask(t *rapid.T, free availability.Resources, nowMS int64) {
	for _, slot := range m.running {
		free = free.Sub(slot.Resources)
	}
	cpus := rapid.SampledFrom([]float64{1, 4, 16}).Draw(t, "slot")
	slot := Slot{Resources: availability.Resources{CPUs: cpus, MemoryGB: 2}}
	slot.Queue.Reset(nowMS + rapid.Int64Range(1, 60_000).Draw(t, "ends after"))
	if free.Contains(slot.Resources) {
		m.running = append(m.running, slot)
	}
}

func (model *shardModel) fillView(view *ClusterView, nowMS int64) {
	view.Begin(nowMS)
	model.added = model.added[:0]
	for _, m := range model.machines {
		if m.absent {
			continue
		}
		model.added = append(model.added, m)
		machine := view.AddMachine(m.id, m.offering, m.cache)
		machine.Ready, machine.ReadyAtMS = m.readyAtMS <= nowMS, max(m.readyAtMS, nowMS)
		for _, slot := range m.running {
			machine.Free = machine.Free.Sub(slot.Resources)
			machine.AddSlot(slot.Resources, slot.Queue.EarliestStart)
		}
	}
	view.FinishAdding()
}

func (model *shardModel) drawGroups(t *rapid.T, nowMS int64) []*Group {
	var groups []*Group
	for i := range rapid.IntRange(1, 25).Draw(t, "groups") {
		groups = append(groups, model.drawGroup(t, fmt.Sprint("job", i), nowMS))
	}
	SortGroups(groups, func(g *Group) *Group { return g })
	return groups
}

func (model *shardModel) drawGroup(t *rapid.T, name string, nowMS int64) *Group {
	g := &Group{
		Request:    model.drawRequest(t),
		Priority:   rapid.IntRange(0, 2).Draw(t, "priority"),
		Remaining:  rapid.IntRange(1, 40).Draw(t, "tasks"),
		Name:       name,
		LengthMS:   rapid.Int64Range(100, 90_000).Draw(t, "length"),
		AcceptedMS: nowMS - rapid.Int64Range(0, 50_000).Draw(t, "accepted"),
	}
	g.ProvisionLimit = rapid.IntRange(0, 60).Draw(t, "provision limit")
	g.JobTasks = g.Remaining + 2
	g.DeadlineMS = g.AcceptedMS + rapid.Int64Range(1000, 300_000).Draw(t, "deadline")
	objectiveMS := g.AcceptedMS + rapid.Int64Range(1000, 300_000).Draw(t, "objective")
	g.ObjectiveDeadlineMS = min(g.DeadlineMS, objectiveMS)
	g.HasObjective = g.ObjectiveDeadlineMS < g.DeadlineMS && g.ObjectiveDeadlineMS-g.LengthMS >= nowMS
	g.MissedObjectives = rapid.Bool().Draw(t, "missed objectives")
	g.PreviouslyAdmitted = rapid.Bool().Draw(t, "previously admitted")
	g.QuotaTier = rapid.IntRange(0, 2).Draw(t, "tier")
	switch rapid.IntRange(0, 7).Draw(t, "constraint") {
	case 0:
		g.IsGang = true
		g.GangAttempt = GangAttempt(rapid.IntRange(0, 2).Draw(t, "attempt"))
		g.IncompleteGang = rapid.Bool().Draw(t, "incomplete")
		g.Remaining = min(g.Remaining, 4)
	case 1:
		g.SingleZone, g.RunningByZone = true, drawRunningByZone(t)
	case 2:
		g.SpreadZones, g.RunningByZone = true, drawRunningByZone(t)
	}
	if len(model.machines) > 0 && rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
		failedOn := model.machines[rapid.IntRange(0, len(model.machines)-1).Draw(t, "failed on")]
		g.FailuresByMachine = map[string]int{failedOn.id: 1}
	}
	return g
}

func drawRunningByZone(t *rapid.T) map[string]int {
	zone := rapid.SampledFrom(zones).Draw(t, "runs in")
	return map[string]int{zone: rapid.IntRange(0, 2).Draw(t, "running")}
}
