package planner

import (
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
	// A fixed seed makes the inputs and the result reproducible.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000")); err != nil {
		panic(err)
	}
}

// requireBoundsValid fails if a queue of the view can accept a task that the bounds of its machine, block or offering
// exclude.
func (v *ClusterView) requireBoundsValid(t *rapid.T, deadlines []int64) {
	t.Helper()
	for i := range v.blocks {
		block := v.refreshedBlock(i)
		for _, m := range v.blockMachines(i) {
			if !block.maxFree.Contains(m.Free) && m.Free.CPUs >= 0 && m.Free.MemoryGB >= 0 {
				t.Fatalf("block %d: maxFree %+v does not contain %+v, free on %s", i, block.maxFree, m.Free, m.ID)
			}
			for slot := range m.Slots {
				v.requireSlotWithinBounds(t, block, m, &m.Slots[slot], deadlines)
			}
		}
	}
}

func (v *ClusterView) requireSlotWithinBounds(t *rapid.T, block *block, m *Machine, slot *Slot, deadlines []int64) {
	t.Helper()
	bounds := []*queueBounds{
		&v.scanEntries[m.Index].queues,
		&block.queues,
		&block.queuesByOffering[m.offeringIndex],
	}
	for _, deadline := range deadlines {
		n := slot.Queue.Available(deadline)
		if n <= 0 {
			continue
		}
		if !slot.Queue.MayAdmit(deadline, n) {
			t.Fatalf("MayAdmit(%d, %d): got false, want true: l(δ) is %d", deadline, n, n)
		}
		for i, b := range bounds {
			if !b.mayAdmit(slot.Resources, deadline, n) {
				level := []string{"machine", "block", "offering"}[i]
				t.Fatalf("l(%d) is %d ms, above the bound of its %s, %d ms, or its resources are excluded",
					deadline, n, level, b.maxAvailableMS(deadline))
			}
		}
	}
}

// requireSameMachines fails if two views differ in a machine's free resources or queues.
func requireSameMachines(t *rapid.T, group int, view, expected *ClusterView) {
	t.Helper()
	sameSlot := func(x, y Slot) bool {
		return x.Resources == y.Resources && x.Queue.EarliestStart == y.Queue.EarliestStart &&
			slices.Equal(x.Queue.Entries(), y.Queue.Entries())
	}
	for index, m := range view.machines {
		if n := expected.machines[index]; m.Free != n.Free || !slices.EqualFunc(m.Slots, n.Slots, sameSlot) {
			t.Fatalf("%s differs from the reference after group %d:\ngot  %+v, %+v\nwant %+v, %+v",
				m.ID, group, m.Free, m.Slots, n.Free, n.Slots)
		}
	}
}

// requireStartableCount compares CountStartable with a scan of every machine.
func requireStartableCount(t *rapid.T, view *ClusterView, g *Group) {
	t.Helper()
	limit := g.Remaining
	got, expected := view.CountStartable(g, limit), 0
	for _, m := range view.machines {
		if view.catalog.IsAllowed(&g.Request, m.Offering) {
			expected += m.Free.MaxCopies(g.Request.WithoutImage(), min(limit-expected, g.zoneAllowance(m)))
		}
	}
	if got != min(expected, limit) {
		t.Fatalf("startable tasks: got %d, want %d", got, min(expected, limit))
	}
}

// A view that is reused over several rounds makes the same decisions as a scan of every machine on a new view: the same
// starts, demands and queues. Between rounds, machines join, leave, start tasks and change their images.
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
			model.fillView(fresh, nowMS) // the caches have the same machine indexes in both views
			model.fillView(view, nowMS)
			reference := referencePlanner{
				fresh,
				func(index int, image string) bool { return model.added[index].expectedImages[image] },
			}
			reserved := view.SpareCPUs * rapid.Float64Range(0, 1).Draw(t, "reserve")
			pacedStarts := rapid.IntRange(0, 200).Draw(t, "paced starts")
			view.ReservedCPUs, fresh.ReservedCPUs = reserved, reserved
			view.PacedStartsLeft, fresh.PacedStartsLeft = pacedStarts, pacedStarts
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
					requireStartableCount(t, view, g)
				}
				copied := *g
				got, want := view.Place(g, 0.25), reference.place(&copied, 0.25)
				sameOutcome := g.Waiting == copied.Waiting && g.SpotInsufficient == copied.SpotInsufficient &&
					g.ProvisionRequested == copied.ProvisionRequested
				if !reflect.DeepEqual(got, want) || g.Remaining != copied.Remaining || !sameOutcome {
					t.Fatalf("group %d of %+v:\ngot  %+v, %d left, %+v\nwant %+v, %d left, %+v",
						i, g.Request, got, g.Remaining, g.Outcome, want, copied.Remaining, copied.Outcome)
				}
				requireSameMachines(t, i, view, fresh)
				sameSpare := math.Abs(view.SpareCPUs-fresh.SpareCPUs) <= 1e-9
				if !sameSpare || view.PacedStartsLeft != fresh.PacedStartsLeft {
					t.Fatalf("got %g spare processors and %d paced starts left, want %g and %d",
						view.SpareCPUs, view.PacedStartsLeft, fresh.SpareCPUs, fresh.PacedStartsLeft)
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
		t.Errorf("got %d starts, %d queued tasks, %d gangs, %d demands, want at least 1000, 1000, 5 and 100",
			starts, queued, gangs, demands)
	}
}

// A search does not examine a block whose bounds exclude every task of the group.
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
	view.refreshedBlock(0).queues.minEndMS += 20_000 // the bounds falsely exclude its free queues
	g := Group{
		Request:             ResourceRequest{Resources: availability.Resources{CPUs: 4, MemoryGB: 4}},
		Remaining:           5,
		LengthMS:            1000,
		ObjectiveDeadlineMS: startMS + 9000,
		DeadlineMS:          startMS + 9000,
		AcceptedMS:          startMS,
	}
	view.Place(&g, 0.25)
	full, next := &view.machines[0].Slots[0].Queue, &view.machines[blockSize].Slots[0].Queue
	if g.Remaining != 0 || len(full.Entries()) != 0 || len(next.Entries()) == 0 {
		t.Errorf("got %d tasks left, %d entries in the excluded block's queue, %d in the next block's, want 0, 0, >0",
			g.Remaining, len(full.Entries()), len(next.Entries()))
	}
}

// Groups of one job share its zones: a later group counts the running tasks of the job, and the tasks that the earlier
// group placed.
func TestGroupsOfOneJobShareItsZoneConstraint(t *testing.T) {
	place := func(running map[string]int, constrain func(*Constraints)) (startsByZone map[string]int) {
		view := NewClusterView(NewCatalog())
		capacity := availability.Resources{CPUs: 8, MemoryGB: 16}
		view.catalog.SetTypes(MachineType{Name: "t", Resources: capacity, Zones: []string{"a", "b"}})
		view.PacedStartsLeft = 100
		view.Begin(startMS)
		for _, zone := range []string{"a", "b"} {
			m := view.AddMachine("in "+zone, InstanceOffering{Type: "t", Zone: zone}, nil)
			m.Ready, m.ReadyAtMS, m.Free = true, startMS, capacity
		}
		view.FinishAdding()
		placedByZone := map[string]int{}
		startsByZone = map[string]int{}
		for range 2 {
			g := Group{
				Request:             ResourceRequest{Resources: availability.Resources{CPUs: 1, MemoryGB: 1}},
				Remaining:           6,
				JobTasks:            12,
				LengthMS:            1000,
				AcceptedMS:          startMS,
				ObjectiveDeadlineMS: startMS + 1500,
				DeadlineMS:          startMS + 1500,
				Constraints:         Constraints{RunningByZone: running, PlacedByZone: placedByZone},
			}
			constrain(&g.Constraints)
			for _, start := range view.Place(&g, 0).Starts {
				startsByZone[view.machines[start.MachineIndex].Offering.Zone] += start.Count
			}
		}
		return startsByZone
	}
	singleZone := func(c *Constraints) { c.SingleZone = true }
	if starts := place(nil, singleZone); len(starts) != 1 {
		t.Errorf("starts of a job in a single zone: got %v, want one zone", starts)
	}
	if starts := place(map[string]int{"b": 1}, singleZone); len(starts) != 1 || starts["b"] == 0 {
		t.Errorf("starts of a job in a single zone that runs in b: got %v, want b alone", starts)
	}
	if starts := place(map[string]int{"b": 2}, func(c *Constraints) { c.SpreadZones = true }); starts["a"] != 6 ||
		starts["b"] != 4 {
		t.Errorf("starts of 12 tasks spread over the zones, 2 more run in b: got %v, want 6 in a and 4 in b", starts)
	}
}

// A machine keeps its most recently used images, up to the capacity of its cache.
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
		t.Errorf("cached images: got %v, want [a d]", got)
	}
	cache.RecordUse("large", Image{22, 40}, 12)
	if got := cached(); !slices.Equal(got, []string{"large"}) {
		t.Errorf("cached images after one larger than the cache: got %v, want [large]", got)
	}
	if cache.Remove(); len(view.cachesByImage) > 0 || (*ImageCache)(nil).Has("large") {
		t.Errorf("after Remove: got caches %v, want none, and a nil cache without images", view.cachesByImage)
	}
}

// ParseInstanceOffering parses the keys of offerings, and returns the zero offering for a string that is not a key.
func TestInstanceOfferingKeyRoundTrips(t *testing.T) {
	for _, k := range []InstanceOffering{{"small", "a", true}, {"large", "b-1", false}, {"a|b", "c", true}} {
		if got := ParseInstanceOffering(k.Key()); got != k {
			t.Errorf("parsed key: got %+v, want %+v", got, k)
		}
	}
	if k := ParseInstanceOffering("small"); k != (InstanceOffering{}) {
		t.Errorf("parsed invalid key: got %+v, want the zero offering", k)
	}
}
