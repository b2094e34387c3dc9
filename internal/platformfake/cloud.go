package platformfake

import (
	"fmt"
	"sort"

	"github.com/grebedock/grebedock/scheduler"
)

// Instance is a provisioned machine.
type Instance struct {
	scheduler.CloudMachine
	StartedAtMS int64
}

// Cloud is a fake cloud that provisions and releases machines.
type Cloud struct {
	Types                    []scheduler.MachineType
	Capacity                 int // maximum number of instances per type, zone and kind (on-demand or spot)
	instances                map[string]*Instance
	machinesByIdempotencyKey map[string][]string
	nextNumber               int
	// OnProvisioned and OnReleased are called for each instance that is provisioned or removed.
	OnProvisioned, OnReleased func(*Instance)
}

// NewCloud returns a cloud that offers the given machine types, with capacity instances for each
// type, zone and kind.
func NewCloud(types []scheduler.MachineType, capacity int) *Cloud {
	return &Cloud{
		Types:                    types,
		Capacity:                 capacity,
		instances:                map[string]*Instance{},
		machinesByIdempotencyKey: map[string][]string{},
		OnProvisioned:            func(*Instance) {},
		OnReleased:               func(*Instance) {},
	}
}

// Reclaim removes an instance, as a cloud does when it reclaims a spot instance. An unknown ID has
// no effect.
func (c *Cloud) Reclaim(id string) {
	if r := c.instances[id]; r != nil {
		delete(c.instances, id)
		c.OnReleased(r)
	}
}

// Apply executes an operation. A provision request with a known idempotency key returns the
// machines of the first one.
func (c *Cloud) Apply(now int64, op scheduler.CloudOp) (r scheduler.CloudResult) {
	switch op.Kind {
	case scheduler.CloudCatalog:
		r.Types = c.Types
	case scheduler.CloudList:
		ids := make([]string, 0, len(c.instances))
		for id := range c.instances {
			if id > op.StartAfter {
				ids = append(ids, id)
			}
		}
		sort.Strings(ids)
		for _, id := range ids {
			l := c.instances[id].CloudMachine
			l.AgeS = float64(now-c.instances[id].StartedAtMS) / 1000
			r.List = append(r.List, l)
		}
	case scheduler.CloudProvision:
		if a, ok := c.machinesByIdempotencyKey[op.IdempotencyKey]; ok {
			r.Machines = a
			return r
		}
		used := 0
		for _, m := range c.instances {
			if m.Type == op.Type && m.Zone == op.Zone && m.Spot == op.Spot {
				used++
			}
		}
		n := min(op.Count, c.Capacity-used)
		if n <= 0 {
			r.Outcome = scheduler.NotFound
			return r
		}
		for range n {
			id := fmt.Sprintf("i-%06d", c.nextNumber)
			m := &Instance{
				StartedAtMS: now,
				CloudMachine: scheduler.CloudMachine{
					ID:    id,
					Addr:  fmt.Sprintf("10.1.%d.%d:9000", c.nextNumber/250, c.nextNumber%250),
					Type:  op.Type,
					Zone:  op.Zone,
					Spot:  op.Spot,
					State: "booting",
				},
			}
			c.nextNumber++
			c.instances[id] = m
			r.Machines = append(r.Machines, id)
			c.OnProvisioned(m)
		}
		c.machinesByIdempotencyKey[op.IdempotencyKey] = r.Machines
	case scheduler.CloudRelease:
		for _, id := range op.Machines {
			c.Reclaim(id)
		}
	}
	return r
}
