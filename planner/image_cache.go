package planner

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
)

// Image is what is known of an image on a machine.
type Image struct {
	LastUsedMS int64 // time of day, ms
	SizeGB     float64
}

// ImageCache is the images that a machine's cache should hold. It outlives rounds, unlike the machine's entry in the
// view. A nil cache has none.
type ImageCache struct {
	view         *ClusterView
	images       map[string]Image
	round        uint32 // the last in which the machine was in the view
	machineIndex int32  // its position then
}

// imageIndex finds machines by the images in their caches.
type imageIndex struct {
	cachesByImage   map[string]map[*ImageCache]struct{}
	machinesByImage map[string]*imageMachines // of this round, for the images that were looked up
}

// NewImageCache makes the cache of a machine. Remove must follow when the machine is gone.
func (v *ClusterView) NewImageCache() *ImageCache { return &ImageCache{view: v} }

// Has reports whether the cache should hold an image.
func (c *ImageCache) Has(image string) bool {
	if c == nil {
		return false
	}
	_, ok := c.images[image]
	return ok
}

// RecordUse records the use of an image, and forgets those that the machine's cache (GB; 0: unbounded) has dropped
// for it, least recently used first. Without that, a machine that was up for a while was believed to have every image
// it ever used, and starts there that were to be immediate waited for a fetch.
func (c *ImageCache) RecordUse(name string, image Image, capacityGB float64) {
	if c.images == nil {
		c.images = map[string]Image{}
	}
	_, known := c.images[name]
	c.images[name] = image
	if known {
		return
	}
	caches := c.view.cachesByImage[name]
	if caches == nil {
		caches = map[*ImageCache]struct{}{}
		c.view.cachesByImage[name] = caches
	}
	caches[c] = struct{}{}
	if capacityGB > 0 {
		c.evictBeyond(capacityGB, name)
	}
}

// evictBeyond evicts least recently used images, but for one, until the others fit the capacity.
func (c *ImageCache) evictBeyond(capacityGB float64, kept string) {
	totalGB := 0.0
	for _, name := range slices.Sorted(maps.Keys(c.images)) { // in order: the same rounding every time
		totalGB += c.images[name].SizeGB
	}
	for totalGB > capacityGB && len(c.images) > 1 {
		oldest := c.leastRecentlyUsed(kept)
		totalGB -= c.images[oldest].SizeGB
		c.evict(oldest)
	}
}

// leastRecentlyUsed returns the image used longest ago, but for one; by name among those used at the same time.
func (c *ImageCache) leastRecentlyUsed(except string) string {
	oldest := ""
	for name, image := range c.images {
		if name == except {
			continue
		}
		order := cmp.Or(cmp.Compare(image.LastUsedMS, c.images[oldest].LastUsedMS), cmp.Compare(name, oldest))
		if oldest == "" || order < 0 {
			oldest = name
		}
	}
	return oldest
}

func (c *ImageCache) evict(image string) {
	delete(c.images, image)
	if caches := c.view.cachesByImage[image]; caches != nil {
		if delete(caches, c); len(caches) == 0 {
			delete(c.view.cachesByImage, image)
		}
	}
}

// Remove takes a machine's images out of the view, when the machine is gone.
func (c *ImageCache) Remove() {
	if c == nil {
		return
	}
	for image := range c.images {
		c.evict(image)
	}
}

// imageMachines are the machines of a round that have an image, by position in the view.
type imageMachines struct {
	indexes []int32 // ascending
	bitmap  []uint64
}

func (m *imageMachines) contains(index int) bool {
	return m != nil && m.bitmap[index>>6]>>(index&63)&1 != 0
}

// machinesWithImage looks up, once a round, which machines have an image; nil: none.
func (v *ClusterView) machinesWithImage(image string) *imageMachines {
	machines, ok := v.machinesByImage[image]
	if ok {
		return machines
	}
	if caches := v.cachesByImage[image]; len(caches) > 0 {
		machines = v.indexMachines(caches)
	}
	v.machinesByImage[image] = machines
	return machines
}

// indexMachines collects the machines of this round that caches belong to.
func (v *ClusterView) indexMachines(caches map[*ImageCache]struct{}) *imageMachines {
	machines := &imageMachines{bitmap: make([]uint64, (len(v.machines)+63)/64)}
	for cache := range caches {
		if cache.round == v.round {
			machines.bitmap[cache.machineIndex>>6] |= 1 << (cache.machineIndex & 63)
		}
	}
	machines.indexes = make([]int32, 0, len(caches))
	for i, word := range machines.bitmap {
		for ; word != 0; word &= word - 1 {
			machines.indexes = append(machines.indexes, int32(i<<6+bits.TrailingZeros64(word)))
		}
	}
	machines.indexes = slices.Clip(machines.indexes)
	v.Examined += len(machines.indexes)
	return machines
}
