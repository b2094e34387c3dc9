package planner

import (
	"math"
	"slices"
	"strings"

	"github.com/grebedock/grebedock/availability"
)

// MachineType is a machine type offered by the cloud provider.
type MachineType struct {
	Name      string
	Resources availability.Resources
	FetchGBps float64 // image download rate; 0: images take no time to fetch
	BootMS    int64
	Zones     []string
}

// InstanceOffering is a machine type in a zone and a market (spot or on-demand). Placement rules use no other
// description of a machine.
type InstanceOffering struct {
	Type, Zone string
	Spot       bool
}

// ResourceRequest is the part of a job that placement uses. Its disk is the size of the image. Disk does not limit
// placement, since a machine's cache evicts other images to make room.
type ResourceRequest struct {
	Resources  availability.Resources
	Image      string
	Types      []string // empty: any
	Zone       string   // empty: any
	AllowsSpot bool
}

// WithoutImage returns the resources that a task uses on a machine, excluding its image.
func (request *ResourceRequest) WithoutImage() availability.Resources {
	resources := request.Resources
	resources.DiskGB = 0
	return resources
}

func (request *ResourceRequest) acceptsType(name string) bool {
	return len(request.Types) == 0 || slices.Contains(request.Types, name)
}

// Catalog holds all machine types, and which of them are the only type that fits some live job. It is not safe for
// concurrent use.
type Catalog struct {
	types    map[string]*MachineType
	sorted   []*MachineType // sorted by name
	required map[string]bool
	largest  availability.Resources // maximum processors and maximum memory, each over all types
}

// NewCatalog returns a catalog without types.
func NewCatalog() *Catalog {
	return &Catalog{types: map[string]*MachineType{}, required: map[string]bool{}}
}

// SetTypes adds types, replacing types of the same name.
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

// Type returns the type with the given name, or nil if it does not exist.
func (c *Catalog) Type(name string) *MachineType { return c.types[name] }

// FitsType reports whether a machine of the type, spot or on-demand, can run a task of the job.
func (c *Catalog) FitsType(request *ResourceRequest, t *MachineType) bool {
	if request.Zone != "" && !slices.Contains(t.Zones, request.Zone) {
		return false
	}
	return request.acceptsType(t.Name) && t.Resources.Contains(request.WithoutImage())
}

// IsAllowed reports whether a job may use an offering.
func (c *Catalog) IsAllowed(request *ResourceRequest, offering InstanceOffering) bool {
	acceptsMarket := request.AllowsSpot || !offering.Spot
	acceptsZone := request.Zone == "" || request.Zone == offering.Zone
	if !acceptsMarket || !acceptsZone || !request.acceptsType(offering.Type) {
		return false
	}
	t := c.types[offering.Type]
	return t != nil && t.Resources.Contains(request.WithoutImage())
}

// FetchMS returns the time, in ms, to fetch a job's image on a machine of the type that does not have the image.
func (c *Catalog) FetchMS(request *ResourceRequest, typ string) int64 {
	t := c.types[typ]
	if t == nil || request.Image == "" {
		return 0
	}
	return t.fetchMS(request.Resources.DiskGB)
}

// fetchMS returns the time to fetch an image of the given size, rounded to milliseconds.
func (t *MachineType) fetchMS(sizeGB float64) int64 {
	if t.FetchGBps <= 0 {
		return 0
	}
	return int64(math.Round(sizeGB / t.FetchGBps * 1000))
}

// noFittingTypeMS is the result of MinReadyMS if no type fits the job. It is later than any deadline and far from an
// integer overflow.
const noFittingTypeMS = int64(1) << 40

// MinReadyMS returns the minimum time, in ms, to boot a machine that fits the job and fetch the job's image.
func (c *Catalog) MinReadyMS(request *ResourceRequest) int64 {
	best := noFittingTypeMS
	for _, t := range c.sorted {
		if c.FitsType(request, t) {
			best = min(best, t.BootMS+t.fetchMS(request.Resources.DiskGB))
		}
	}
	return best
}

// SetRequired recomputes the required types from the requests of all live jobs. A type is required if it is the only
// one that fits some live job.
func (c *Catalog) SetRequired(requests func(yield func(ResourceRequest) bool)) {
	clear(c.required)
	for request := range requests {
		if only, ok := c.onlyType(&request); ok {
			c.required[only] = true
		}
	}
}

// onlyType returns the type that fits a job if exactly one type does.
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

// IsRequired reports whether the type is the only one that fits some live job.
func (c *Catalog) IsRequired(typ string) bool { return c.required[typ] }

// ShouldAvoid reports whether a job should avoid a type that other live jobs require, because the job also fits another
// type.
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

// Key returns the kind of the availability functions for machines of the offering, see [ClusterView.Summary].
func (o InstanceOffering) Key() string {
	market := "-"
	if o.Spot {
		market = "s"
	}
	return market + "|" + o.Zone + "|" + o.Type
}

// ParseInstanceOffering parses a string returned by Key. It returns the zero offering for a string without the three
// fields of a key.
func ParseInstanceOffering(key string) InstanceOffering {
	fields := strings.SplitN(key, "|", 3)
	if len(fields) != 3 {
		return InstanceOffering{}
	}
	return InstanceOffering{Type: fields[2], Zone: fields[1], Spot: fields[0] == "s"}
}
