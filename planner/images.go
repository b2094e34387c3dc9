package planner

import (
	"maps"
	"math/bits"
	"slices"
)

// Image is what is known of an image on a machine.
type Image struct {
	UsedAt int64 // time of day, ms
	GB     float64
}

// Seat is what a machine has of its own on a board from round to round: the images
// that its cache should hold. A nil seat has none.
type Seat struct {
	b      *Board
	images map[string]Image
	round  uint32 // the last in which it had a place
	place  int32
}

// NewSeat gives a machine a seat. Leave gives it back.
func (b *Board) NewSeat() *Seat { return &Seat{b: b} }

// Has tells whether an image should be there.
func (s *Seat) Has(image string) bool {
	if s == nil {
		return false
	}
	_, ok := s.images[image]
	return ok
}

// Keep notes the use of an image, and forgets those that the machine's cache (GB; 0:
// without bounds) has dropped for it, which are the ones used longest ago. A machine that was up for
// a while was taken to have every image it ever used, and starts there that were
// to be at once waited for a fetch.
func (s *Seat) Keep(name string, im Image, cache float64) {
	if s.images == nil {
		s.images = map[string]Image{}
	}
	_, known := s.images[name]
	s.images[name] = im
	if known {
		return
	}
	have := s.b.have[name]
	if have == nil {
		have = map[*Seat]struct{}{}
		s.b.have[name] = have
	}
	have[s] = struct{}{}
	if cache <= 0 {
		return
	}
	total := 0.0
	for _, n := range slices.Sorted(maps.Keys(s.images)) { // the same sum every time
		total += s.images[n].GB
	}
	for total > cache && len(s.images) > 1 {
		oldest := ""
		for n, o := range s.images {
			if p := s.images[oldest]; n != name && (oldest == "" || o.UsedAt < p.UsedAt || o.UsedAt == p.UsedAt && n < oldest) {
				oldest = n
			}
		}
		total -= s.images[oldest].GB
		s.drop(oldest)
	}
}

func (s *Seat) drop(image string) {
	delete(s.images, image)
	if have := s.b.have[image]; have != nil {
		if delete(have, s); len(have) == 0 {
			delete(s.b.have, image)
		}
	}
}

// Leave takes a machine's images off the board.
func (s *Seat) Leave() {
	if s == nil {
		return
	}
	for image := range s.images {
		s.drop(image)
	}
}

// holders are the machines of a round with an image, in their places.
type holders struct {
	places []int32
	bits   []uint64
}

func (h *holders) has(at int) bool { return h != nil && h.bits[at>>6]>>(at&63)&1 != 0 }

// holders looks up, once a round, who has an image; nil: nobody.
func (b *Board) holders(image string) *holders {
	h, ok := b.held[image]
	if ok {
		return h
	}
	if have := b.have[image]; len(have) > 0 {
		h = &holders{bits: make([]uint64, (len(b.ms)+63)/64)}
		for s := range have {
			if s.round == b.round {
				h.bits[s.place>>6] |= 1 << (s.place & 63)
			}
		}
		h.places = make([]int32, 0, len(have))
		for i, w := range h.bits {
			for ; w != 0; w &= w - 1 {
				h.places = append(h.places, int32(i<<6+bits.TrailingZeros64(w)))
			}
		}
		h.places = slices.Clip(h.places)
		b.Steps += len(h.places)
	}
	b.held[image] = h
	return h
}
