package planner

import (
	"github.com/grebedock/grebedock/availability"
)

// ClusterView holds a shard's machines for one placement round. It is not safe for concurrent use.
type ClusterView struct {
	SpareCPUs       float64 // free processors on machines that are up
	ReservedCPUs    float64 // part of SpareCPUs reserved for groups with a start objective; set by the caller
	PacedStartsLeft int     // remaining starts of tasks without a start objective; set by the caller
	Examined        int     // number of machines, blocks and queues examined, a measure of the round's cost

	catalog     *Catalog
	nowMS       int64
	round       uint32
	machines    []*Machine
	machinePool []*Machine // machines allocated in this and earlier rounds, for reuse

	offeringTable
	searchIndex
	imageIndex

	search  CandidateSearch // the current search; its buffers are reused
	reducer availability.Reducer
}

// offeringInfo is an offering with its machine type.
type offeringInfo struct {
	InstanceOffering
	machineType *MachineType
}

// offeringTable assigns an index to each offering of a round's machines.
type offeringTable struct {
	offerings     []offeringInfo
	offeringIndex map[InstanceOffering]int
	lastOffering  int // index for the machine added last; machines provisioned together are added together
}

// clear removes all offerings, since a type may change between rounds.
func (table *offeringTable) clear() {
	table.offerings = table.offerings[:0]
	clear(table.offeringIndex)
}

// indexOf returns the index of an offering, adding the offering if necessary. ok is false if its type is unknown.
func (table *offeringTable) indexOf(offering InstanceOffering, catalog *Catalog) (i int, ok bool) {
	last := table.lastOffering
	if last < len(table.offerings) && table.offerings[last].InstanceOffering == offering {
		return last, true
	}
	if i, ok = table.offeringIndex[offering]; !ok {
		machineType := catalog.Type(offering.Type)
		if machineType == nil {
			return 0, false
		}
		i = len(table.offerings)
		table.offeringIndex[offering] = i
		table.offerings = append(table.offerings, offeringInfo{offering, machineType})
	}
	table.lastOffering = i
	return i, true
}

// NewClusterView returns a view without machines that uses the types of a catalog.
func NewClusterView(catalog *Catalog) *ClusterView {
	return &ClusterView{
		catalog:       catalog,
		offeringTable: offeringTable{offeringIndex: map[InstanceOffering]int{}},
		imageIndex: imageIndex{
			cachesByImage:   map[string]map[*ImageCache]struct{}{},
			machinesByImage: map[string]*imageMachines{},
		},
	}
}

// Begin empties the view for a new round at the given wall-clock time, in ms.
func (v *ClusterView) Begin(nowMS int64) {
	v.nowMS, v.machines, v.Examined = nowMS, v.machines[:0], 0
	v.offeringTable.clear()
	clear(v.machinesByImage)
	v.round++
}

// Machines returns all machines. Machine.Index is the index in this slice.
func (v *ClusterView) Machines() []*Machine { return v.machines }

// AddMachine adds a machine with all of its resources free, and returns it, or nil if its type is unknown. The caller
// may set the machine's fields until FinishAdding. The cache may be nil.
func (v *ClusterView) AddMachine(id string, offering InstanceOffering, cache *ImageCache) *Machine {
	i, ok := v.indexOf(offering, v.catalog)
	if !ok {
		return nil
	}
	index := len(v.machines)
	if index == len(v.machinePool) {
		v.machinePool = append(v.machinePool, &Machine{})
	}
	m := v.machinePool[index]
	machineType := v.offerings[i].machineType
	*m = Machine{
		Offering:      offering,
		Type:          machineType,
		Index:         index,
		ReadyAtMS:     v.nowMS,
		Free:          machineType.Resources,
		Slots:         m.Slots[:0],
		ID:            id,
		offeringIndex: i,
	}
	v.machines = append(v.machines, m)
	if cache != nil {
		cache.round, cache.machineIndex = v.round, int32(index)
	}
	return m
}

// FinishAdding completes the view, after all machines were added, and counts the spare processors.
func (v *ClusterView) FinishAdding() {
	v.blocks, v.scanEntries = v.blocks[:0], v.scanEntries[:0]
	v.SpareCPUs = 0
	for i, m := range v.machines {
		if i%blockSize == 0 {
			v.addBlock()
		}
		v.scanEntries = append(v.scanEntries, scanEntry{
			offeringIndex: int32(m.offeringIndex),
			queues:        m.computeBounds(),
		})
		if m.Ready {
			v.SpareCPUs += m.Free.CPUs
		}
	}
	v.Examined += len(v.machines)
}

// CountStartable returns how many tasks of a group, at most limit, fit at the same time on machines that are up or
// booting.
func (v *ClusterView) CountStartable(g *Group, limit int) (n int) {
	request := g.Request.WithoutImage()
	evaluations := v.evaluateOfferings(g)
	for i := range v.blocks {
		if n >= limit {
			break
		}
		if !v.refreshedBlock(i).maxFree.Contains(request) {
			continue
		}
		for _, m := range v.blockMachines(i) {
			if v.Examined++; evaluations[m.offeringIndex].allowed {
				n += m.Free.MaxCopies(request, min(limit-n, g.zoneAllowance(m)))
			}
		}
	}
	return min(n, limit)
}

// Summary returns the availability of the view's machines, for peers, up to a horizon (wall-clock time, ms). It
// computes one function for each machine's free resources and one for each queue. It reduces them to at most
// maxFunctions functions of at most maxSamples samples.
func (v *ClusterView) Summary(horizonMS int64, maxFunctions, maxSamples int) availability.Summary {
	reducer := &v.reducer
	slots := 0
	for _, m := range v.machines {
		slots += len(m.Slots)
	}
	reducer.CoarseStarts = slots > maxFunctions // fewer queues need no loss of precision
	reducer.Begin(maxFunctions, maxSamples, v.nowMS, horizonMS-v.nowMS)
	kinds := make([]string, len(v.offerings))
	for i, offering := range v.offerings {
		kinds[i] = offering.Key()
	}
	var queue availability.Queue
	for _, m := range v.machines {
		kind, disk := kinds[m.offeringIndex], m.Type.Resources.DiskGB
		if m.Free.CPUs > 0 && m.Free.MemoryGB > 0 {
			queue.Reset(m.ReadyAtMS)
			resources := m.Free
			resources.DiskGB = disk
			reducer.AddQueue(kind, resources, &queue)
		}
		for i := range m.Slots {
			slot := &m.Slots[i]
			resources := slot.Resources
			resources.DiskGB = disk
			reducer.AddQueue(kind, resources, &slot.Queue)
		}
	}
	return reducer.Summary()
}
