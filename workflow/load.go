package workflow

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/scheduler"
)

// load reads a run's document and what is known to be over.
func (h *Host) load(d *driven) {
	d.busy = true
	h.loading++
	var items []scheduler.Item
	page := func(some []scheduler.Item) bool {
		items = append(items, some...)
		return true
	}
	h.List(scheduler.Progress, pagesPrefix+d.id+"/", page, func(ok bool) {
		h.loading--
		if !ok {
			delete(h.runs, d.id) // the next tick begins anew
			return
		}
		h.Counters.Loaded++
		h.loaded(d, items)
	})
}

// loaded goes on with a run whose records were read.
func (h *Host) loaded(d *driven, items []scheduler.Item) {
	d.busy = false
	if err := d.begin(items, h.p.Limits); err != nil {
		// Checked when it was submitted: only a change of the program's own
		// reading brings it here.
		h.Log("run unreadable", "run", d.id, "error", err)
		d.rec.State, d.rec.Error = Failing, err.Error()
	}
	if h.runs[d.id] == d {
		h.step(d)
	}
}

// begin takes a run up from its records.
func (d *driven) begin(items []scheduler.Item, limits cwl.Limits) error {
	values := make([]json.RawMessage, d.rec.Pages)
	notes := map[int]scheduler.Item{}
	for _, it := range items {
		var n int
		name := it.Key[strings.LastIndexByte(it.Key, '/')+1:]
		if _, err := fmt.Sscanf(name[1:], "%d", &n); err != nil {
			continue
		}
		switch {
		case name[0] == 'd' && n < len(values):
			values[n] = it.Value
		case name[0] == 's':
			notes[n] = it
		}
	}
	for n := 0; ; n++ {
		it, ok := notes[n]
		if !ok {
			break
		}
		var paths []string
		if err := json.Unmarshal(it.Value, &paths); err != nil {
			return err
		}
		for _, p := range paths {
			d.known[p] = true
			d.done = append(d.done, p)
		}
		d.stored = len(d.done)
		d.pages = append(d.pages, pageState{it.Rev, len(d.done)})
	}
	sub, err := unpack(values)
	if err != nil {
		return err
	}
	d.sub = sub
	p, err := sub.load(limits)
	if err != nil {
		return err
	}
	if d.rec.First > 0 {
		d.numbers = map[string]int{}
		if err := number(p, "", d.numbers); err != nil {
			return err
		}
	}
	if d.ending() {
		d.run, err = Explore(p, sub.Inputs)
	} else {
		d.run, err = New(p, sub.Inputs)
	}
	return err
}
