package workflow

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/scheduler"
)

// loadRun reads a run's document and its completed calls from the state service.
func (h *Host) loadRun(d *activeRun) {
	d.busy = true
	h.loading++
	var items []scheduler.KeyValue
	page := func(batch []scheduler.KeyValue) bool {
		items = append(items, batch...)
		return true
	}
	h.List(scheduler.UrgencyBackground, pagesPrefix+d.id+"/", page, func(ok bool) {
		h.loading--
		if !ok {
			delete(h.runs, d.id) // the next tick loads it again
			return
		}
		h.Counters.Loaded++
		h.onRunLoaded(d, items)
	})
}

// onRunLoaded restores a run from its records and continues it.
func (h *Host) onRunLoaded(d *activeRun, items []scheduler.KeyValue) {
	d.busy = false
	if err := d.restore(items, h.params.Limits); err != nil {
		// The submission was valid when it was accepted, so only a change of this program's parser
		// causes an error.
		h.Log("failed to restore run", "run", d.id, "error", err)
		d.record.State, d.record.Error = Failing, err.Error()
	}
	if h.runs[d.id] == d {
		h.advanceRun(d)
	}
}

// restore rebuilds a run from its stored records.
func (d *activeRun) restore(items []scheduler.KeyValue, limits cwl.Limits) error {
	values := make([]json.RawMessage, d.record.Pages)
	donePages := map[int]scheduler.KeyValue{}
	for _, kv := range items {
		var n int
		name := kv.Key[strings.LastIndexByte(kv.Key, '/')+1:]
		if _, err := fmt.Sscanf(name[1:], "%d", &n); err != nil {
			continue
		}
		switch {
		case name[0] == 'd' && n < len(values):
			values[n] = kv.Value
		case name[0] == 's':
			donePages[n] = kv
		}
	}
	for n := 0; ; n++ {
		kv, ok := donePages[n]
		if !ok {
			break
		}
		var paths []string
		if err := json.Unmarshal(kv.Value, &paths); err != nil {
			return err
		}
		for _, p := range paths {
			d.recordedDone[p] = true
			d.donePaths = append(d.donePaths, p)
		}
		d.storedCount = len(d.donePaths)
		d.donePages = append(d.donePages, pageState{kv.Rev, len(d.donePaths)})
	}
	submission, err := decodePages(values)
	if err != nil {
		return err
	}
	d.submission = submission
	p, err := submission.loadDocument(limits)
	if err != nil {
		return err
	}
	if d.record.FirstJobID > 0 {
		d.jobNumbers = map[string]int{}
		if err := numberTools(p, "", d.jobNumbers); err != nil {
			return err
		}
	}
	if d.isEnding() {
		d.evaluation, err = Explore(p, submission.Inputs)
	} else {
		d.evaluation, err = New(p, submission.Inputs)
	}
	return err
}
