package planner

import (
	"math"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
)

// MachineType is a kind of machine that the cloud has.
type MachineType struct {
	Name      string
	Resources availability.Resources
	FetchGBps float64 // 0: images need no time
	BootMS    int64   // ms
	Zones     []string
}

// InstanceOffering is what the rules of placement see of a machine.
type InstanceOffering struct {
	Type, Zone string
	Spot       bool
}

// ResourceRequest is what placement sees of a job. The request's disk is its image's size; a
// machine whose cache must make room for it takes the job all the same.
type ResourceRequest struct {
	Resources  availability.Resources
	Image      string
	Types      []string // none: any
	Zone       string   // none: any
	AllowsSpot bool     // may use spot machines
}

// WithoutImage is what a task takes of a machine beside the image.
func (request *ResourceRequest) WithoutImage() availability.Resources {
	resources := request.Resources
	resources.DiskGB = 0
	return resources
}

// Catalog is all types, and which of them some live job cannot do without.
type Catalog struct {
	types    map[string]*MachineType
	sorted   []*MachineType // by name
	required map[string]bool
	largest  availability.Resources // the largest of each
}

// NewCatalog makes a catalog without types.
func NewCatalog() *Catalog {
	return &Catalog{types: map[string]*MachineType{}, required: map[string]bool{}}
}

// SetTypes takes types in; one that is known is replaced.
func (c *Catalog) SetTypes(ts ...MachineType) {
	for _, t := range ts {
		c.types[t.Name] = &t
	}
	c.sorted, c.largest = c.sorted[:0], availability.Resources{}
	for _, t := range c.types {
		c.sorted = append(c.sorted, t)
		c.largest.CPUs, c.largest.MemoryGB = max(
			c.largest.CPUs,
			t.Resources.CPUs,
		), max(
			c.largest.MemoryGB,
			t.Resources.MemoryGB,
		)
	}
	slices.SortFunc(c.sorted, func(a, b *MachineType) int { return strings.Compare(a.Name, b.Name) })
}

// Type finds a type; nil: there is none.
func (c *Catalog) Type(name string) *MachineType { return c.types[name] }

// FitsType tells whether some machine of a type may take a job.
func (c *Catalog) FitsType(request *ResourceRequest, t *MachineType) bool {
	if len(request.Types) > 0 && !slices.Contains(request.Types, t.Name) ||
		request.Zone != "" && !slices.Contains(t.Zones, request.Zone) {
		return false
	}
	return t.Resources.Contains(request.WithoutImage())
}

// IsAllowed tells whether a job may use a kind of machine at all.
func (c *Catalog) IsAllowed(request *ResourceRequest, offering InstanceOffering) bool {
	if offering.Spot && !request.AllowsSpot || request.Zone != "" && request.Zone != offering.Zone ||
		len(request.Types) > 0 && !slices.Contains(request.Types, offering.Type) {
		return false
	}
	t := c.types[offering.Type]
	return t != nil && t.Resources.Contains(request.WithoutImage())
}

// FetchMS is how long a job's image takes on a type of machine that lacks it, in ms.
func (c *Catalog) FetchMS(request *ResourceRequest, typ string) int64 {
	t := c.types[typ]
	if t == nil || request.Image == "" {
		return 0
	}
	return t.fetchMS(request.Resources.DiskGB)
}

// fetchMS is how long an image takes, to the nearest ms.
func (t *MachineType) fetchMS(sizeGB float64) int64 {
	if t.FetchGBps <= 0 {
		return 0
	}
	return int64(math.Round(sizeGB / t.FetchGBps * 1000))
}

// MinReadyMS is how long the quickest type that takes a job needs to boot and fetch, in ms.
func (c *Catalog) MinReadyMS(request *ResourceRequest) int64 {
	best := int64(1) << 40
	for _, t := range c.sorted {
		if c.FitsType(request, t) {
			best = min(best, t.BootMS+t.fetchMS(request.Resources.DiskGB))
		}
	}
	return best
}

// SetRequired notes the types that some live job cannot do without.
func (c *Catalog) SetRequired(requests func(yield func(ResourceRequest) bool)) {
	clear(c.required)
	for request := range requests {
		only, n := "", 0
		for _, t := range c.sorted {
			if c.FitsType(&request, t) {
				only = t.Name
				n++
			}
		}
		if n == 1 {
			c.required[only] = true
		}
	}
}

// IsRequired tells whether some live job fits no other type.
func (c *Catalog) IsRequired(typ string) bool { return c.required[typ] }

// ShouldAvoid tells whether a type should be left to others by a job that fits other
// types too: some live job fits no other.
func (c *Catalog) ShouldAvoid(request *ResourceRequest, typ string) bool {
	if !c.required[typ] {
		return false
	}
	for _, other := range c.sorted {
		if other.Name != typ && c.FitsType(request, other) {
			return true
		}
	}
	return false
}
