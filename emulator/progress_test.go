package emulator

import (
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/internal/standin"
	"github.com/grebedock/grebedock/scheduler"
)

// machineIn is a machine of 8 processors and a cache of 10 GB, with so much of it in use.
func machineIn(zone string, spot bool, usedCPUs float64, images map[string]float64) occupied {
	typ := scheduler.MachineType{Name: "small", Room: availability.Room{CPUs: 8, MemoryGB: 32, DiskGB: 10}}
	h := &Host{typ: typ, Rental: &standin.Rental{Listed: scheduler.Listed{ID: "i-" + zone, Type: typ.Name, Zone: zone, Spot: spot}}}
	return occupied{host: h, free: availability.Room{CPUs: 8 - usedCPUs, MemoryGB: 32}, images: images}
}

// What could start is told by room, type, zone, kind of machine, spread, one zone, image
// cache, the team's limit, and for gangs all at once.
func TestWhatCouldStart(t *testing.T) {
	a, b := machineIn("a", false, 0, nil), machineIn("b", false, 0, nil)
	both := []occupied{a, b}
	on := func(zones map[string]int, tasks ...string) *placed {
		p := &placed{tasks: map[string]bool{}, zones: zones}
		for _, task := range tasks {
			p.tasks[task] = true
		}
		return p
	}
	full := map[string]float64{"x": 9}
	for name, c := range map[string]struct {
		machines []occupied
		job      func(*scheduler.Job)
		on       *placed
		used     float64 // of the team's 20 processors
		done     []string
		want     bool
	}{
		"room":                         {machines: both, want: true},
		"no machine":                   {},
		"no room":                      {machines: []occupied{machineIn("a", false, 5, nil)}},
		"no memory":                    {machines: both, job: func(j *scheduler.Job) { j.Request.MemoryGB = 33 }},
		"another type":                 {machines: both, job: func(j *scheduler.Job) { j.Types = []string{"large"} }},
		"its type":                     {machines: both, job: func(j *scheduler.Job) { j.Types = []string{"large", "small"} }, want: true},
		"another zone":                 {machines: []occupied{a}, job: func(j *scheduler.Job) { j.Zone = "b" }},
		"its zone":                     {machines: both, job: func(j *scheduler.Job) { j.Zone = "b" }, want: true},
		"no spot machines":             {machines: []occupied{machineIn("a", true, 0, nil)}},
		"spot machines":                {machines: []occupied{machineIn("a", true, 0, nil)}, job: func(j *scheduler.Job) { j.Spot = true }, want: true},
		"the limit is reached":         {machines: both, used: 17},
		"below the limit":              {machines: both, used: 16, want: true},
		"all are on machines":          {machines: both, on: on(map[string]int{"a": 3}, "j/0", "j/1", "j/2")},
		"all are done or on machines":  {machines: both, on: on(map[string]int{"a": 2}, "j/0", "j/1"), done: []string{"j/2"}},
		"a done one is still there":    {machines: both, on: on(map[string]int{"a": 2}, "j/0", "j/1"), done: []string{"j/0"}, want: true},
		"the cache is in use":          {machines: []occupied{machineIn("a", false, 1, full)}},
		"the image is there":           {machines: []occupied{machineIn("a", false, 1, map[string]float64{"x": 7, "img": 2})}, want: true},
		"room in the cache":            {machines: []occupied{machineIn("a", false, 1, map[string]float64{"x": 8})}, want: true},
		"one zone, elsewhere":          {machines: []occupied{b}, job: func(j *scheduler.Job) { j.OneZone = true }, on: on(map[string]int{"a": 1}, "j/0")},
		"one zone, there":              {machines: both, job: func(j *scheduler.Job) { j.OneZone = true }, on: on(map[string]int{"a": 1}, "j/0"), want: true},
		"spread, the zone has half":    {machines: []occupied{a}, job: func(j *scheduler.Job) { j.Spread = true }, on: on(map[string]int{"a": 2}, "j/0", "j/1")},
		"spread, the other zone":       {machines: both, job: func(j *scheduler.Job) { j.Spread = true }, on: on(map[string]int{"a": 2}, "j/0", "j/1"), want: true},
		"a gang, room for two":         {machines: []occupied{a}, job: func(j *scheduler.Job) { j.Kind = scheduler.Gang }},
		"a gang, room for all":         {machines: both, job: func(j *scheduler.Job) { j.Kind = scheduler.Gang }, want: true},
		"a gang over the limit":        {machines: both, job: func(j *scheduler.Job) { j.Kind = scheduler.Gang }, used: 10},
		"a gang, its last task":        {machines: []occupied{a}, job: func(j *scheduler.Job) { j.Kind = scheduler.Gang }, on: on(map[string]int{"b": 2}, "j/0", "j/1"), want: true},
		"a gang in one zone, two":      {machines: both, job: func(j *scheduler.Job) { j.Kind, j.OneZone = scheduler.Gang, true }},
		"a gang in one zone, there":    {machines: []occupied{a, b, a}, job: func(j *scheduler.Job) { j.Kind, j.OneZone = scheduler.Gang, true }, want: true},
		"a spread gang, one zone":      {machines: []occupied{a, a}, job: func(j *scheduler.Job) { j.Kind, j.Spread = scheduler.Gang, true }},
		"a spread gang, both":          {machines: both, job: func(j *scheduler.Job) { j.Kind, j.Spread = scheduler.Gang, true }, want: true},
		"one more than half in a zone": {machines: []occupied{a, a}, job: func(j *scheduler.Job) { j.Tasks, j.Spread = 1, true }, want: true},
	} {
		j := NewJob(scheduler.Job{ID: "j", Team: "t", Kind: scheduler.Array, Tasks: 3, Image: "img", Request: availability.Room{CPUs: 4, MemoryGB: 4, DiskGB: 2}})
		if c.job != nil {
			c.job(&j.Job)
		}
		for _, task := range c.done {
			j.Done[task] = true
		}
		u := &usage{machines: c.machines, jobs: map[string]*placed{}, teams: map[string]availability.Room{"t": {CPUs: c.used}}}
		if c.on != nil {
			u.jobs["j"] = c.on
		}
		if _, got := u.couldStart(j, scheduler.Team{MaxCPUs: 20}); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
