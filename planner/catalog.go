package planner

import (
	"math"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
)

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name      string
	Resources availability.Resources
	FetchGBps float64 // 0: images take no time
	BootMS    int64
	Zones     []string
}

// InstanceOffering is a type in a zone and a market: all that the rules of placement see of a machine.
type InstanceOffering struct {
	Type, Zone string
	Spot       bool
}

// ResourceRequest is what placement sees of a job. Its disk is the image's size, which bounds nothing: a machine's
// cache evicts other images for it.
type ResourceRequest struct {
	Resources  availability.Resources
	Image      string
	Types      []string // empty: any
	Zone       string   // empty: any
	AllowsSpot bool
}

// WithoutImage is what a task takes of a machine beside the image.
func (request *ResourceRequest) WithoutImage() availability.Resources {
	resources := request.Resources
	resources.DiskGB = 0
	return resources
}

func (request *ResourceRequest) acceptsType(name string) bool {
	return len(request.Types) == 0 || slices.Contains(request.Types, name)
}

// Catalog is all machine types, and which of them some live job cannot do without. It is not safe for concurrent use.
type Catalog struct {
	types    map[string]*MachineType
	sorted   []*MachineType // by name
	required map[string]bool
	largest  availability.Resources // processors and memory, each by itself
}

// NewCatalog makes a catalog without types.
func NewCatalog() *Catalog {
	return &Catalog{types: map[string]*MachineType{}, required: map[string]bool{}}
}

// SetTypes adds types, and replaces those of the same name.
func (c *Catalog) SetTypes(ts ...MachineType) {
	for _, t := range ts {
		c.types[t.Name] = &t
	}
	c.sorted, c.largest = c.sorted[:0], availability.Resources{}
	for _, t := range c.types {
		c.sorted = append(c.sorted, t)
		c.largest.CPUs = max(c.largest.CPUs, t.Resources.CPUs)
		c.largest.MemoryGB = max(c.largest.MemoryGB, t.Resources.MemoryGB)
	}
	slices.SortFunc(c.sorted, func(a, b *MachineType) int { return strings.Compare(a.Name, b.Name) })
}

// Type returns the type of a name, nil if there is none.
func (c *Catalog) Type(name string) *MachineType { return c.types[name] }

// FitsType reports whether some machine of a type, spot or on-demand, may take a job.
func (c *Catalog) FitsType(request *ResourceRequest, t *MachineType) bool {
	if request.Zone != "" && !slices.Contains(t.Zones, request.Zone) {
		return false
	}
	return request.acceptsType(t.Name) && t.Resources.Contains(request.WithoutImage())
}

// IsAllowed reports whether a job may use an offering at all.
func (c *Catalog) IsAllowed(request *ResourceRequest, offering InstanceOffering) bool {
	acceptsMarket := request.AllowsSpot || !offering.Spot
	acceptsZone := request.Zone == "" || request.Zone == offering.Zone
	if !acceptsMarket || !acceptsZone || !request.acceptsType(offering.Type) {
		return false
	}
	t := c.types[offering.Type]
	return t != nil && t.Resources.Contains(request.WithoutImage())
}

// FetchMS is how long a job's image takes on a machine of a type that lacks it, in ms.
func (c *Catalog) FetchMS(request *ResourceRequest, typ string) int64 {
	t := c.types[typ]
	if t == nil || request.Image == "" {
		return 0
	}
	return t.fetchMS(request.Resources.DiskGB)
}

// fetchMS is how long an image of a size takes, rounded to ms.
func (t *MachineType) fetchMS(sizeGB float64) int64 {
	if t.FetchGBps <= 0 {
		return 0
	}
	return int64(math.Round(sizeGB / t.FetchGBps * 1000))
}

// noReadyMS is what MinReadyMS says if no type takes a job: later than any deadline, and far from an overflow.
const noReadyMS = int64(1) << 40

// MinReadyMS is how long the quickest type that takes a job needs to boot and fetch its image, in ms.
func (c *Catalog) MinReadyMS(request *ResourceRequest) int64 {
	best := noReadyMS
	for _, t := range c.sorted {
		if c.FitsType(request, t) {
			best = min(best, t.BootMS+t.fetchMS(request.Resources.DiskGB))
		}
	}
	return best
}

// SetRequired replaces the types that some live job cannot do without, given the requests of all live jobs.
func (c *Catalog) SetRequired(requests func(yield func(ResourceRequest) bool)) {
	clear(c.required)
	for request := range requests {
		if only, ok := c.onlyType(&request); ok {
			c.required[only] = true
		}
	}
}

// onlyType returns the type that fits a job, if there is exactly one.
func (c *Catalog) onlyType(request *ResourceRequest) (name string, ok bool) {
	for _, t := range c.sorted {
		if !c.FitsType(request, t) {
			continue
		}
		if ok {
			return "", false
		}
		name, ok = t.Name, true
	}
	return name, ok
}

// IsRequired reports whether some live job fits no other type.
func (c *Catalog) IsRequired(typ string) bool { return c.required[typ] }

// ShouldAvoid reports whether a job that fits other types too should leave a type to live jobs that fit no other.
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

// Key is the kind under which an availability function stands for machines of the offering, see [ClusterView.Summary].
func (o InstanceOffering) Key() string {
	market := "-"
	if o.Spot {
		market = "s"
	}
	return market + "|" + o.Zone + "|" + o.Type
}

// ParseInstanceOffering is the inverse of Key; anything else gives an offering without a type.
func ParseInstanceOffering(key string) InstanceOffering {
	fields := strings.SplitN(key, "|", 3)
	if len(fields) != 3 {
		return InstanceOffering{}
	}
	return InstanceOffering{Type: fields[2], Zone: fields[1], Spot: fields[0] == "s"}
}
