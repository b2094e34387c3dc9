package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// machineType is a row of the catalog.
type machineType struct {
	name              string
	cpus, cards, mem  float64
	price, spot, boot float64
	zones             []string
}

// cloud follows the section "Controller nodes -> cloud" of the protocol.
type cloud struct {
	rig   *rig
	types []machineType
	// capacity is the number of machines per type, zone and kind.
	capacity func(t, zone string, spot bool) int

	mu       sync.Mutex
	down     bool // the interface is out of order
	views    []view
	machines map[string]*machine
	charters map[string][]string
	last     int
}

// view is the list of machines as of a moment.
type view struct {
	at    time.Time
	names []string
	rows  map[string]object
}

// snapshots keeps the views from which lagging lists are answered.
func (c *cloud) snapshots() {
	for range time.Tick(500 * time.Millisecond) {
		c.mu.Lock()
		v := view{time.Now(), nil, map[string]object{}}
		for id, m := range c.machines {
			v.names = append(v.names, id)
			v.rows[id] = object{
				"ref": id, "addr": m.worker.addr, "hull": m.hull, "marsh": m.zone, "driftwood": m.spot,
				"stance": m.worker.cloudState(), "held_s": time.Since(m.since).Seconds(),
			}
		}
		sort.Strings(v.names)
		c.views = append(c.views, v)
		for len(c.views) > 1 && time.Since(c.views[1].at).Seconds() > c.rig.listLag {
			c.views = c.views[1:]
		}
		c.mu.Unlock()
	}
}

type machine struct {
	id, hull, zone string
	spot           bool
	since          time.Time
	worker         *worker
}

func (c *cloud) typeOf(name string) *machineType {
	for i := range c.types {
		if c.types[i].name == name {
			return &c.types[i]
		}
	}
	return nil
}

// add makes a machine; the caller holds mu.
func (c *cloud) add(hull, zone string, spot bool, boot time.Duration) *machine {
	c.last++
	m := &machine{id: fmt.Sprintf("i-%06d", c.last), hull: hull, zone: zone, spot: spot, since: time.Now()}
	c.machines[m.id] = m
	m.worker = newWorker(c.rig, m, *c.typeOf(hull))
	time.AfterFunc(boot, m.worker.start)
	return m
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		hulls := []object{}
		for _, t := range c.types {
			hulls = append(hulls, object{
				"sku": t.name, "cpus": t.cpus, "cards": t.cards, "memory_gb": t.mem, "local_gb": 50.0,
				"pull_gb_per_s": 10.0, "hourly": t.price, "market_price": t.spot, "ready_s": t.boot, "marshes": t.zones,
			})
		}
		reply(w, 200, object{"hulls": hulls})
	})
	mux.HandleFunc("GET /rentals", func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		list := []object{}
		if len(c.views) > 0 {
			for _, id := range c.views[0].names {
				if id > r.URL.Query().Get("from") {
					list = append(list, c.views[0].rows[id])
				}
			}
		}
		reply(w, 200, object{"berths": list, "more": false})
	})
	mux.HandleFunc("POST /rentals", c.rent)
	mux.HandleFunc("POST /rentals/release", func(w http.ResponseWriter, r *http.Request) {
		var b struct{ Berths []string }
		_ = json.NewDecoder(r.Body).Decode(&b)
		c.mu.Lock()
		for _, id := range b.Berths {
			if m := c.machines[id]; m != nil {
				delete(c.machines, id)
				m.worker.end("released")
			}
		}
		c.mu.Unlock()
		c.rig.note("cloud", "released %v", b.Berths)
		reply(w, 200, object{})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		down := c.down
		c.mu.Unlock()
		if down {
			reply(w, 503, object{"error": "trouble"})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Charter, Hull, Marsh string
		Driftwood            bool
		HowMany              int `json:"how_many"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || c.typeOf(b.Hull) == nil || b.HowMany < 1 || b.HowMany > 50 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ids, ok := c.charters[b.Charter]; ok {
		reply(w, 200, object{"berths": ids})
		return
	}
	used := 0
	for _, m := range c.machines {
		if m.hull == b.Hull && m.zone == b.Marsh && m.spot == b.Driftwood {
			used++
		}
	}
	n := min(b.HowMany, c.capacity(b.Hull, b.Marsh, b.Driftwood)-used)
	if n <= 0 {
		reply(w, 503, object{"error": "no capacity"})
		return
	}
	ids := []string{}
	for range n {
		m := c.add(b.Hull, b.Marsh, b.Driftwood, time.Duration(c.typeOf(b.Hull).boot*float64(time.Second)))
		ids = append(ids, m.id)
	}
	c.charters[b.Charter] = ids
	c.rig.note("cloud", "rented %v", ids)
	reply(w, 200, object{"berths": ids})
}

// all returns the machines in order of their names.
func (c *cloud) all() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*machine
	for _, m := range c.machines {
		out = append(out, m)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].id < out[k].id })
	return out
}
