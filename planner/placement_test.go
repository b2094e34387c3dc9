package planner

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"pgregory.net/rapid"
)

func init() {
	// The same inputs every time, so that the verdict is the same.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000")); err != nil {
		panic(err)
	}
}

// referencePlanner places a group as the package says it does, with a look at every machine: what
// the board's indexes are held against.
type referencePlanner struct {
	view     *ClusterView
	hasImage func(at int, image string) bool
}

func (r referencePlanner) place(g *Group, lateShare float64) Placement {
	v := r.view
	g.placedByZone, g.placed = nil, 0
	var placement Placement
	request := g.Request.WithoutImage()
	type candidate struct {
		m              *Machine
		rank           int
		leftover       float64
		fetchMS        int64
		avoid, hasRoom bool
	}
	var candidates []candidate
	for _, m := range v.machines {
		if !v.catalog.IsAllowed(&g.Request, m.Offering) || g.FailuresByMachine[m.ID] > 0 {
			continue
		}
		fetchMS := v.catalog.FetchMS(&g.Request, m.Offering.Type)
		if r.hasImage(m.Index, g.Request.Image) {
			fetchMS = 0
		}
		c := candidate{
			m:       m,
			fetchMS: fetchMS,
			avoid:   v.catalog.ShouldAvoid(&g.Request, m.Offering.Type),
			hasRoom: m.Free.Contains(request),
		}
		costly := g.Request.AllowsSpot && !m.Offering.Spot
		if c.hasRoom {
			spanMS := float64(max(g.DeadlineMS-v.nowMS, 1000))
			leftover := (m.Free.CPUs-request.CPUs)/max(
				v.catalog.largest.CPUs,
				1,
			) + (m.Free.MemoryGB-request.MemoryGB)/max(
				v.catalog.largest.MemoryGB,
				1,
			)
			c.leftover = max(leftover, 0) + float64(g.DeadlineMS-m.ReadyAtMS-g.LengthMS-fetchMS)/spanMS/4
			c.rank = bitIf(c.avoid, 3) | bitIf(!m.Ready, 2) | bitIf(costly, 1) | bitIf(fetchMS != 0, 0)
		} else {
			c.rank = 16 + (bitIf(c.avoid, 2) | bitIf(costly, 1) | bitIf(fetchMS != 0, 0))
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(x, y candidate) int {
		return cmp.Or(x.rank-y.rank, cmp.Compare(x.leftover, y.leftover), x.m.Index-y.m.Index)
	})
	spotOnly, objectiveOnly := false, false
	admit := func(deadlineMS int64, mode QueueMode) {
		for _, c := range candidates {
			if g.Remaining <= 0 {
				return
			}
			if !c.hasRoom && mode != ExistingQueues || spotOnly && !c.m.Offering.Spot || objectiveOnly && c.avoid {
				continue
			}
			limit := min(g.Remaining, g.zoneAllowance(c.m))
			if mode == NewSlotsInTime && c.m.Ready && g.ObjectiveDeadlineMS >= g.DeadlineMS {
				limit = availability.Resources{
					CPUs: v.SpareCPUs - v.ReservedCPUs,
				}.MaxCopies(
					availability.Resources{CPUs: g.Request.Resources.CPUs},
					limit,
				)
			}
			if limit <= 0 {
				continue
			}
			n, startable, _ := AdmitToMachine(c.m, g, c.fetchMS, deadlineMS, limit, mode)
			g.Remaining -= n
			if c.m.Ready {
				v.SpareCPUs -= float64(startable) * g.Request.Resources.CPUs
			}
			if (g.SingleZone || g.SpreadZones) && n > 0 {
				g.recordPlaced(c.m, n)
			}
			if !g.HasObjective && !g.IsGang {
				startable = min(startable, v.PacedStartsLeft)
			}
			if startable > 0 && c.m.Ready {
				placement.StartedTasks += startable
				v.PacedStartsLeft -= startable
				placement.Starts = append(placement.Starts, Start{c.m.Index, startable, c.fetchMS})
			}
		}
	}
	total := g.Remaining
	if g.IsGang {
		fits, missing := g.GangAttempt == GangAttemptContinues, 0
		if g.GangAttempt == GangAttemptNew && !g.IncompleteGang {
			startable, booting := 0, 0
			for _, c := range candidates {
				if !c.hasRoom {
					continue
				}
				n := c.m.Free.MaxCopies(request, min(g.Remaining-startable-booting, g.zoneAllowance(c.m)))
				if c.m.Ready {
					startable += n
				} else {
					booting += n
				}
			}
			fits, missing = startable >= g.Remaining, g.Remaining-startable-booting
			placement.StartsGang = fits
		}
		if !fits {
			if missing > 0 {
				placement.Demands = append(placement.Demands, CapacityDemand{Count: missing, DeadlineMS: g.DeadlineMS})
			}
			placement.Admitted, g.Waiting = g.PreviouslyAdmitted, total
			return placement
		}
	}
	costly := 0
	admitFor := func(deadlineMS int64) {
		objectiveOnly = deadlineMS < g.DeadlineMS
		if g.Request.AllowsSpot {
			spotOnly = true
			admit(deadlineMS, NewSlotsInTime)
			admit(deadlineMS, ExistingQueues)
			spotOnly = false
			costly += g.Remaining
		}
		admit(deadlineMS, NewSlotsInTime)
		admit(deadlineMS, ExistingQueues)
		if g.Request.AllowsSpot {
			g.SpotInsufficient = g.SpotInsufficient || !objectiveOnly && costly > 0
			costly -= g.Remaining
		}
		objectiveOnly = false
	}
	recordDemand := func(n int, deadlineMS int64, spot bool) {
		if !spot {
			n = min(n, g.ProvisionLimit-placement.StartedTasks)
			g.ProvisionRequested = max(g.ProvisionRequested, n)
		}
		if n > 0 {
			placement.Demands = append(placement.Demands, CapacityDemand{n, deadlineMS, spot})
		}
	}
	if g.ObjectiveDeadlineMS < g.DeadlineMS && g.ObjectiveDeadlineMS > v.nowMS {
		admitFor(g.ObjectiveDeadlineMS)
		if v.nowMS+v.catalog.MinReadyMS(&g.Request)+g.LengthMS <= g.ObjectiveDeadlineMS {
			recordDemand(g.Remaining, g.ObjectiveDeadlineMS, false)
		}
	}
	admitFor(g.DeadlineMS)
	placement.Admitted = g.Remaining < total
	recordDemand(costly, g.DeadlineMS, true)
	if g.Remaining > 0 {
		recordDemand(g.Remaining, g.DeadlineMS, false)
		g.SpotInsufficient = true
		admit(g.DeadlineMS, NewSlotsAnyTime)
		for i := 1; i <= lateDeadlineSteps && g.Remaining > 0; i++ {
			admit(max(g.DeadlineMS, v.nowMS)+int64(float64(g.DeadlineMS-g.AcceptedMS)*lateShare*float64(i)), ExistingQueues)
		}
	}
	g.Waiting = total - placement.StartedTasks
	return placement
}

// shardModel is a generated shard: machines that come, go and change from round to round, and
// what each round has to place.
type shardModel struct {
	catalog  *Catalog
	machines []*modelMachine
	added    []*modelMachine // on the board, in their places
	lastID   int
}

type modelMachine struct {
	id             string
	offering       InstanceOffering
	readyAtMS      int64
	absent         bool   // not in this round
	running        []Slot // what runs there
	cache          *ImageCache
	expectedImages map[string]bool // the images that it should have
}

const startMS = int64(1_000_000)

var zones = []string{"a", "b", "c"}

func newShardModel(t *rapid.T) *shardModel {
	model := &shardModel{catalog: NewCatalog()}
	for i := range rapid.IntRange(1, 4).Draw(t, "types") {
		cpus := float64(rapid.SampledFrom([]int{4, 8, 16, 64}).Draw(t, "cpus"))
		model.catalog.SetTypes(
			MachineType{
				Name:      fmt.Sprint("t", i),
				Resources: availability.Resources{CPUs: cpus, MemoryGB: cpus * 4, GPUs: float64(i % 2)},
				FetchGBps: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "fetch"),
				BootMS:    10_000,
				Zones:     zones,
			},
		)
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
		request.Types = []string{model.catalog.sorted[rapid.IntRange(0, len(model.catalog.sorted)-1).Draw(t, "type")].Name}
	}
	return request
}

func (model *shardModel) drawChanges(t *rapid.T, view *ClusterView, nowMS int64) {
	for range rapid.IntRange(0, 40).Draw(t, "come") {
		model.lastID++
		m := &modelMachine{
			id: fmt.Sprintf("i-%04d", model.lastID),
			offering: InstanceOffering{
				model.catalog.sorted[rapid.IntRange(0, len(model.catalog.sorted)-1).Draw(t, "type")].Name,
				rapid.SampledFrom(zones).Draw(t, "zone"),
				rapid.Bool().Draw(t, "spot"),
			},
			cache:          view.NewImageCache(),
			expectedImages: map[string]bool{},
		}
		if rapid.IntRange(0, 4).Draw(t, "boots") == 0 {
			m.readyAtMS = nowMS + rapid.Int64Range(1, 30_000).Draw(t, "up")
		}
		model.machines = append(model.machines, m)
	}
	for _, m := range slices.Clone(model.machines) {
		switch rapid.IntRange(0, 9).Draw(t, "machine") {
		case 0:
			m.cache.Remove()
			model.machines = slices.DeleteFunc(model.machines, func(o *modelMachine) bool { return o == m })
		case 1:
			m.running, m.absent = nil, !m.absent
		case 2:
			name := fmt.Sprint("img", rapid.IntRange(0, 4).Draw(t, "image"))
			m.cache.RecordUse(name, Image{LastUsedMS: nowMS, SizeGB: 4}, 8)
			m.expectedImages[name] = true
			for n := range m.expectedImages {
				m.expectedImages[n] = m.cache.Has(n)
			}
		default:
			if free := model.catalog.Type(m.offering.Type).Resources; m.readyAtMS == 0 && rapid.Bool().Draw(t, "runs") {
				for _, slot := range m.running {
					free = free.Sub(slot.Resources)
				}
				slot := Slot{
					Resources: availability.Resources{CPUs: rapid.SampledFrom([]float64{1, 4, 16}).Draw(t, "lane"), MemoryGB: 2},
				}
				slot.Queue.Reset(nowMS + rapid.Int64Range(1, 60_000).Draw(t, "ends"))
				if free.Contains(slot.Resources) {
					m.running = append(m.running, slot)
				}
			}
		}
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
		g := &Group{
			Request:   model.drawRequest(t),
			Priority:  rapid.IntRange(0, 2).Draw(t, "priority"),
			Remaining: rapid.IntRange(1, 40).Draw(t, "tasks"),
			Name:      fmt.Sprint("job", i),
			LengthMS: rapid.Int64Range(
				100,
				90_000,
			).Draw(
				t,
				"length",
			),
			AcceptedMS:     nowMS - rapid.Int64Range(0, 50_000).Draw(t, "accepted"),
			ProvisionLimit: rapid.IntRange(0, 60).Draw(t, "askable"),
		}
		g.JobTasks = g.Remaining + 2
		g.DeadlineMS = g.AcceptedMS + rapid.Int64Range(1000, 300_000).Draw(t, "due")
		g.ObjectiveDeadlineMS = min(g.DeadlineMS, g.AcceptedMS+rapid.Int64Range(1000, 300_000).Draw(t, "tight"))
		g.HasObjective = g.ObjectiveDeadlineMS < g.DeadlineMS && g.ObjectiveDeadlineMS-g.LengthMS >= nowMS
		g.MissedObjectives, g.PreviouslyAdmitted, g.QuotaTier = rapid.Bool().Draw(
			t,
			"lost",
		), rapid.Bool().Draw(
			t,
			"held",
		), rapid.IntRange(
			0,
			2,
		).Draw(
			t,
			"level",
		)
		switch rapid.IntRange(0, 7).Draw(t, "kind") {
		case 0:
			g.IsGang, g.GangAttempt, g.IncompleteGang = true, GangAttempt(
				rapid.IntRange(0, 2).Draw(t, "try"),
			), rapid.Bool().Draw(
				t,
				"short",
			)
			g.Remaining = min(g.Remaining, 4)
		case 1:
			g.SingleZone, g.RunningByZone = true, map[string]int{
				rapid.SampledFrom(zones).Draw(t, "runs in"): rapid.IntRange(0, 2).Draw(t, "live"),
			}
		case 2:
			g.SpreadZones, g.RunningByZone = true, map[string]int{
				rapid.SampledFrom(zones).Draw(t, "runs in"): rapid.IntRange(0, 2).Draw(t, "live"),
			}
		}
		if len(model.machines) > 0 && rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
			g.FailuresByMachine = map[string]int{model.machines[rapid.IntRange(0, len(model.machines)-1).Draw(t, "on")].id: 1}
		}
		groups = append(groups, g)
	}
	SortGroups(groups, func(g *Group) *Group { return g })
	return groups
}

// requireBoundsValid holds the bounds of the board against its queues.
func (v *ClusterView) requireBoundsValid(t *rapid.T, deadlines []int64) {
	for i := range v.blocks {
		block := v.refreshedBlock(i)
		for _, m := range v.blockMachines(i) {
			entry := &v.scanEntries[m.Index]
			if !block.maxFree.Contains(m.Free) && m.Free.CPUs >= 0 && m.Free.MemoryGB >= 0 {
				t.Fatalf("a block has %+v free, its %s %+v", block.maxFree, m.ID, m.Free)
			}
			for slot := range m.Slots {
				queue := &m.Slots[slot].Queue
				for _, deadline := range deadlines {
					if n := queue.Available(deadline); n > 0 &&
						(!entry.queues.mayAdmit(m.Slots[slot].Resources, deadline, n) || !block.queues.mayAdmit(m.Slots[slot].Resources, deadline, n) || !block.queuesByOffering[m.offeringIndex].mayAdmit(m.Slots[slot].Resources, deadline, n) || !queue.MayAdmit(deadline, n)) {
						t.Fatalf(
							"l(%d) is %d, bounded by %d, %d and %d",
							deadline,
							n,
							entry.queues.maxAvailableMS(deadline),
							block.queues.maxAvailableMS(deadline),
							block.queuesByOffering[m.offeringIndex].maxAvailableMS(deadline),
						)
					}
				}
			}
		}
	}
}

// Through rounds in which machines come, go, fill and change their images, a board that
// is used again and again decides what a plain look at every machine decides on a board
// made from nothing: the same starts, needs and queues.
func TestIndexedPlacementEqualsReference(t *testing.T) {
	starts, queued, gangs, demands := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		model := newShardModel(t)
		view := NewClusterView(model.catalog)
		nowMS := startMS
		for range rapid.IntRange(1, 4).Draw(t, "rounds") {
			model.drawChanges(t, view, nowMS)
			fresh := NewClusterView(model.catalog)
			model.fillView(view, nowMS)
			model.fillView(fresh, nowMS) // its seats' places are the same
			model.fillView(view, nowMS)
			reference := referencePlanner{
				fresh,
				func(index int, image string) bool { return model.added[index].expectedImages[image] },
			}
			reserved := view.SpareCPUs * rapid.Float64Range(0, 1).Draw(t, "reserve")
			pacedStarts := rapid.IntRange(0, 200).Draw(t, "line")
			view.ReservedCPUs, fresh.ReservedCPUs, view.PacedStartsLeft, fresh.PacedStartsLeft = reserved, reserved, pacedStarts, pacedStarts
			groups := model.drawGroups(t, nowMS)
			var requests []ResourceRequest
			for _, g := range groups {
				requests = append(requests, g.Request)
			}
			model.catalog.SetRequired(slices.Values(requests))
			var deadlines []int64
			for i, g := range groups {
				deadlines = append(deadlines, g.DeadlineMS, g.ObjectiveDeadlineMS)
				if i%5 == 4 {
					limit := g.Remaining
					n, want := view.CountStartable(g, limit), 0
					for _, m := range view.machines {
						if model.catalog.IsAllowed(&g.Request, m.Offering) {
							want += m.Free.MaxCopies(g.Request.WithoutImage(), min(limit-want, g.zoneAllowance(m)))
						}
					}
					if n != min(want, limit) {
						t.Fatalf("%d of %d could start, not %d", want, limit, n)
					}
				}
				copied := *g
				got, want := view.Place(g, 0.25), reference.place(&copied, 0.25)
				if !reflect.DeepEqual(got, want) || g.Remaining != copied.Remaining || g.Waiting != copied.Waiting ||
					g.SpotInsufficient != copied.SpotInsufficient ||
					g.ProvisionRequested != copied.ProvisionRequested {
					t.Fatalf(
						"group %d of %+v:\n%+v, %d left\nplain:\n%+v, %d left",
						i,
						g.Request,
						got,
						g.Remaining,
						want,
						copied.Remaining,
					)
				}
				for index, m := range view.machines {
					if n := fresh.machines[index]; m.Free != n.Free || !slices.EqualFunc(m.Slots, n.Slots, func(x, y Slot) bool {
						return x.Resources == y.Resources && x.Queue.EarliestStart == y.Queue.EarliestStart &&
							slices.Equal(x.Queue.Entries(), y.Queue.Entries())
					}) {
						t.Fatalf("%s differs after group %d", m.ID, i)
					}
				}
				if math.Abs(view.SpareCPUs-fresh.SpareCPUs) > 1e-9 || view.PacedStartsLeft != fresh.PacedStartsLeft {
					t.Fatalf(
						"%g spare and a line of %d, not %g and %d",
						view.SpareCPUs,
						view.PacedStartsLeft,
						fresh.SpareCPUs,
						fresh.PacedStartsLeft,
					)
				}
				starts += got.StartedTasks
				queued += g.Waiting - g.Remaining
				demands += len(got.Demands)
				if got.StartsGang {
					gangs++
				}
			}
			view.requireBoundsValid(t, deadlines)
			nowMS += rapid.Int64Range(0, 30_000).Draw(t, "passes")
		}
	})
	if starts < 1000 || queued < 1000 || gangs < 5 || demands < 100 {
		t.Errorf("%d started, %d queued, %d gangs, %d needs: the rounds show too little", starts, queued, gangs, demands)
	}
}

// A block whose bounds say that it can take nothing is not looked at.
func TestFullBlocksAreSkipped(t *testing.T) {
	view := NewClusterView(NewCatalog())
	view.catalog.SetTypes(MachineType{Name: "t", Resources: availability.Resources{CPUs: 4, MemoryGB: 16}})
	view.Begin(startMS)
	for i := range 3 * blockSize {
		m := view.AddMachine(fmt.Sprint(i), InstanceOffering{Type: "t"}, nil)
		m.Ready, m.Free = true, availability.Resources{}
		m.AddSlot(availability.Resources{CPUs: 4, MemoryGB: 16}, startMS+int64(i)*100)
	}
	view.FinishAdding()
	view.refreshedBlock(0).queues.minEndMS += 20_000 // it has room, and says that it has none
	g := Group{
		Request:             ResourceRequest{Resources: availability.Resources{CPUs: 4, MemoryGB: 4}},
		Remaining:           5,
		LengthMS:            1000,
		ObjectiveDeadlineMS: startMS + 9000,
		DeadlineMS:          startMS + 9000,
		AcceptedMS:          startMS,
	}
	if view.Place(&g, 0.25); g.Remaining != 0 || len(view.machines[0].Slots[0].Queue.Entries()) != 0 ||
		len(view.machines[blockSize].Slots[0].Queue.Entries()) == 0 {
		t.Errorf("%d left, and a block that is said to be full was looked at", g.Remaining)
	}
}

// A machine keeps the images that it used last, as far as its cache holds them.
func TestLeastRecentlyUsedImagesAreEvicted(t *testing.T) {
	view := NewClusterView(NewCatalog())
	cache := view.NewImageCache()
	cached := func() []string { return slices.Sorted(maps.Keys(cache.images)) }
	for i, name := range []string{"a", "b", "c"} {
		cache.RecordUse(name, Image{int64(10 + i), 4}, 12)
	}
	cache.RecordUse("a", Image{20, 4}, 12)
	cache.RecordUse("d", Image{21, 7}, 12)
	if got := cached(); !slices.Equal(got, []string{"a", "d"}) {
		t.Errorf("kept: %v", got)
	}
	cache.RecordUse("large", Image{22, 40}, 12)
	if got := cached(); !slices.Equal(got, []string{"large"}) {
		t.Errorf("kept with one that fills it: %v", got)
	}
	if cache.Remove(); len(view.cachesByImage) > 0 || (*ImageCache)(nil).Has("large") {
		t.Errorf("the board goes on with %v", view.cachesByImage)
	}
}

// Names of kinds are read back, and what is no name is of no type.
func TestInstanceOfferingKeyRoundTrips(t *testing.T) {
	for _, k := range []InstanceOffering{{"small", "a", true}, {"large", "b-1", false}, {"a|b", "c", true}} {
		if got := ParseInstanceOffering(k.Key()); got != k {
			t.Errorf("%+v: read back as %+v", k, got)
		}
	}
	if k := ParseInstanceOffering("small"); k != (InstanceOffering{}) {
		t.Errorf("no name: %+v", k)
	}
}
