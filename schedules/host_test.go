package schedules

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

const calendarText = `[[calendar]]
name = "c"
[[calendar.holidays]]
name = "h"
dates = ["2027-03-15", "04-13", "12-31"]
`

// scheduleText returns the TOML of a schedule with the given lines.
func scheduleText(name, lines string) string {
	return fmt.Sprintf(`[[schedule]]
name = %q
from = "2026-01-01"
%s
[schedule.job]
team = "ops"
cpus = 1.0
`, name, strings.TrimSpace(lines))
}

// dailyText returns the TOML of a schedule that is due every day at the given UTC time.
func dailyText(name, at string) string {
	return scheduleText(name, fmt.Sprintf("zone = \"UTC\"\nrule = \"FREQ=DAILY\"\nat = [%q]", at))
}

// yearTexts returns schedules that cover each policy, in time zones with and without clock changes.
func yearTexts() []string {
	return []string{
		calendarText + scheduleText("all", `
zone = "America/Los_Angeles"
rule = "FREQ=DAILY"
at = ["02:30", "17:00"]
calendar = "c"
shift = "next"
missed = "all"
late_s = 1e9
`),
		scheduleText("latest", `
zone = "Asia/Kathmandu"
rule = "FREQ=DAILY"
at = ["00:00", "06:00", "12:00", "18:00"]
`),
		scheduleText("skip", `
zone = "Australia/Lord_Howe"
rule = "FREQ=WEEKLY;BYDAY=SU"
at = ["02:15"]
overlap = "both"
missed = "skip"
`),
		scheduleText("forbid", `
zone = "Asia/Bangkok"
rule = "FREQ=DAILY"
at = ["05:30", "05:31"]
busy = "forbid"
missed = "all"
`),
		scheduleText("queue", `
zone = "Asia/Bangkok"
rule = "FREQ=DAILY"
at = ["05:30", "05:31"]
busy = "queue"
missed = "all"
late_s = 1e9
`),
		scheduleText("replace", `
zone = "Asia/Bangkok"
rule = "FREQ=DAILY"
at = ["05:30", "05:31"]
busy = "replace"
missed = "all"
`),
	}
}

// simulateYear simulates a year, or a quarter if injectFault is set, and returns the violations.
func simulateYear(t testing.TB, seed uint64, faults bool, injectFault func(*simulation)) (violations []string) {
	t.Helper()
	sim := newSimulation(t, seed, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), faults)
	var specs []*Spec
	for _, text := range yearTexts() {
		specs = append(specs, sim.apply(text))
	}
	since := map[string]int64{}
	for _, s := range specs {
		response := sim.request(Request{Kind: Show, Name: s.Name})
		if response.Status != 200 || response.Version != 1 {
			t.Fatalf("%s: got %+v, want version 1", s.Name, response)
		}
		var definition definitionRecord
		key := definitionKey(extension.ShardOf(sim.members, s.Name), s.Name)
		if err := json.Unmarshal(sim.store.Value(key), &definition); err != nil {
			t.Fatal(err)
		}
		since[s.Name] = definition.SinceMS
	}
	end := time.Date(2028, 1, 1, 0, 0, 0, 0, time.UTC)
	if injectFault != nil {
		injectFault(sim)
		end = time.Date(2027, 4, 1, 0, 0, 0, 0, time.UTC)
	}
	for sim.now < end.UnixMilli() {
		// A step takes up to five hours. Two in three steps end within 10 ms of the next moment of a random
		// schedule, if that is earlier. Three short steps of up to 700 ms follow.
		stepMS := int64(sim.rng.IntN(5 * 3600_000))
		next, ok := specs[sim.rng.IntN(len(specs))].Next(time.UnixMilli(sim.now))
		if ok && sim.rng.IntN(3) > 0 {
			stepMS = min(stepMS, max(0, next.At.UnixMilli()-sim.now+int64(sim.rng.IntN(21)-10)))
		}
		sim.step(stepMS)
		for range 3 {
			sim.step(int64(sim.rng.IntN(700)))
		}
	}
	sim.settle()
	if faults && injectFault == nil && sim.lostResponses < 100 {
		t.Errorf("seed %d: got %d lost responses, want at least 100", seed, sim.lostResponses)
	}
	for _, s := range specs {
		violations = append(violations, sim.violations(s, since[s.Name], sim.now)...)
	}
	return violations
}

// settle ends all faults, performs the delayed requests, and advances the time by 20 minutes to let all due
// moments be decided.
func (sim *simulation) settle() {
	sim.faults, sim.storeOutageUntil = false, 0
	for len(sim.delayed) > 0 {
		sim.delayed[0]()
		sim.delayed = sim.delayed[1:]
	}
	for range 600 {
		sim.step(2000)
	}
}

// advanceUntil advances the time to end in steps of at most stepMS.
func (sim *simulation) advanceUntil(end time.Time, stepMS int64) {
	for sim.now < end.UnixMilli() {
		sim.step(min(stepMS, end.UnixMilli()-sim.now))
	}
}

// In a simulated year, each moment is decided exactly once, and each decided run is run exactly once, with
// (seed 1) and without faults (seed 0).
func TestEachMomentIsDecidedOnceInAYearOfFaults(t *testing.T) {
	for seed := range uint64(2) {
		violations := simulateYear(t, seed, seed > 0, nil)
		if n := len(violations); n > 0 {
			t.Fatalf("seed %d: %d violations, want 0; first: %s", seed, n, strings.Join(violations[:min(5, n)], "\n"))
		}
	}
}

// The simulation's check detects duplicate and missing runs when such a fault is injected.
func TestSimulationDetectsDuplicateAndMissingRuns(t *testing.T) {
	for _, c := range []struct {
		name, expected string
		injectFault    func(*simulation)
	}{
		{"duplicate runs", "times", func(sim *simulation) { sim.duplicateSubmissions = true }},
		{"missing runs", "missing", func(sim *simulation) { sim.dropSubmissions = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			violations := simulateYear(t, 1, true, c.injectFault)
			if !strings.Contains(strings.Join(violations, "\n"), c.expected) {
				t.Errorf("got violations %v, want one that contains %q", violations, c.expected)
			}
		})
	}
}

// A new version applies from its effective time on, and existing decisions do not change. A paused or removed
// schedule decides no moments.
func TestChangedScheduleAppliesFromItsEffectiveTime(t *testing.T) {
	sim := newSimulation(t, 1, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), false)
	noonOf := func(day int) time.Time { return time.Date(2027, 1, day, 12, 0, 0, 0, time.UTC) }
	request := func(r Request, expectedState string) Response {
		t.Helper()
		response := sim.request(r)
		if response.State != expectedState {
			t.Errorf("request %d: got %+v, want state %s", r.Kind, response, expectedState)
		}
		return response
	}
	sim.apply(dailyText("v", "06:00"))
	sim.advanceUntil(noonOf(2), 10_000)
	v2 := []byte(dailyText("v", "18:00"))
	effective := time.Date(2027, 1, 4, 0, 0, 0, 0, time.UTC).UnixMilli()
	response := request(Request{Kind: Apply, Name: "v", Body: v2, EffectiveMS: effective}, "applied")
	if response.Version != 2 {
		t.Fatalf("new version: got %+v, want version 2", response)
	}
	request(Request{Kind: Apply, Name: "v", Body: v2}, "unchanged")
	sim.advanceUntil(noonOf(6), 10_000)
	request(Request{Kind: Pause, Name: "v"}, "paused")
	sim.advanceUntil(noonOf(8), 10_000)
	request(Request{Kind: Resume, Name: "v"}, "resumed")
	sim.advanceUntil(noonOf(9), 10_000)
	request(Request{Kind: Remove, Name: "v"}, "removed")
	sim.advanceUntil(noonOf(12), 10_000)
	var decided []string
	for _, d := range sim.history("v") {
		at := time.UnixMilli(d.AtMS).UTC().Format("02T15")
		decided = append(decided, fmt.Sprintf("%s/%d", at, d.Version))
	}
	const expected = "01T06/1 02T06/1 03T06/1 04T18/2 05T18/2 08T18/2"
	if got := strings.Join(decided, " "); got != expected {
		t.Errorf("decided: got %s, want %s", got, expected)
	}
	for _, kind := range []Kind{Pause, Resume, Remove, Show} {
		if response := sim.request(Request{Kind: kind, Name: "v"}); response.Status != 404 {
			t.Errorf("request %d for a removed schedule: got %+v, want status 404", kind, response)
		}
	}
}

// A calendar change seconds before a moment applies to that moment, for all schedules that use the calendar.
// Existing decisions and other schedules do not change.
func TestCalendarChangeJustBeforeDueMomentApplies(t *testing.T) {
	sim := newSimulation(t, 1, time.Date(2027, 3, 9, 0, 0, 0, 0, time.UTC), false)
	sim.apply(calendarText + scheduleText("s", `
zone = "UTC"
rule = "FREQ=DAILY"
at = ["06:00"]
calendar = "c"
shift = "skip"
`))
	sim.apply(dailyText("other", "06:00"))
	due := time.Date(2027, 3, 11, 6, 0, 0, 0, time.UTC)
	sim.advanceUntil(due.Add(-10*time.Second), 5000)
	changed := strings.Replace(calendarText, "2027-03-15", "2027-03-11", 1)
	response := sim.request(Request{Kind: ApplyCalendar, Name: "c", Body: []byte(changed)})
	if response.State != "applied" || len(response.Schedules) != 1 || response.Schedules[0].Version != 2 {
		t.Fatalf("changed calendar: got %+v, want version 2 of one schedule", response)
	}
	if sim.now >= due.UnixMilli() {
		t.Fatal("the calendar changed only after the moment was due, want before")
	}
	response = sim.request(Request{Kind: ApplyCalendar, Name: "c", Body: []byte(changed)})
	if response.State != "unchanged" {
		t.Errorf("same calendar again: got %+v, want unchanged", response)
	}
	response = sim.request(Request{Kind: ShowCalendar, Name: "c"})
	if response.Status != 200 || response.Calendar.Holidays[0].Dates[0] != "2027-03-11" {
		t.Errorf("shown calendar: got %+v, want the changed one", response)
	}
	unused := strings.Replace(calendarText, `"c"`, `"d"`, 1)
	response = sim.request(Request{Kind: ApplyCalendar, Name: "d", Body: []byte(unused)})
	if response.Status != 404 {
		t.Errorf("calendar that no schedule uses: got %+v, want status 404", response)
	}
	sim.advanceUntil(time.Date(2027, 3, 16, 12, 0, 0, 0, time.UTC), 5000)
	for name, expected := range map[string]string{"s": "09 10 12 15 16", "other": "09 10 11 12 13 14 15 16"} {
		var days []string
		for _, d := range sim.history(name) {
			days = append(days, time.UnixMilli(d.AtMS).UTC().Format("02"))
		}
		if got := strings.Join(days, " "); got != expected {
			t.Errorf("%s: decided for days %s, want %s", name, got, expected)
		}
	}
}

// BenchmarkTickWithManySchedules measures a tick while no schedule is due. Its cost depends on the number of due
// schedules, not on the number of all schedules.
func BenchmarkTickWithManySchedules(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := NewHost(Params{Members: []string{"m-0"}, TxnOps: 16, Rate: 1000})
			s := &shard{name: "m-0", token: 1, entries: map[string]*entry{}}
			h.shards["m-0"] = s
			f, err := ParseFile([]byte(dailyText("x", "06:00")))
			if err != nil {
				b.Fatal(err)
			}
			for i := range n {
				e := s.addEntry(fmt.Sprint("s-", i))
				e.definition.Spec = *f.Schedules[0]
				h.enqueueAt(e, int64(1e15)+int64(i))
			}
			v := scheduler.ExtensionView{HasAuthority: true, ClaimTokens: map[string]uint64{"m-0": 1}}
			now := scheduler.Now{MonotonicMS: 1, WallMS: 1}
			for b.Loop() {
				now.MonotonicMS += 200
				h.Tick(now, v)
			}
		})
	}
}

// BenchmarkAllSchedulesDueAtOnce measures how long 5,000 schedules take that are due at the same time, at the rates
// of the fleet sites. The rate is a quarter of a member's share of 80 writes per second with three members, and of 50
// with five.
func BenchmarkAllSchedulesDueAtOnce(b *testing.B) {
	for _, c := range []struct {
		name string
		rate float64 // decisions per second of each of three members
	}{{"siam-meterline-fleet", 80 / 3.0 / 4}, {"cascadia-refund-fleet", 50 / 5.0 / 4 * 5 / 3}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				sim := newSimulation(b, 1, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), false)
				for _, h := range sim.hosts {
					h.params.Rate = c.rate
				}
				const n = 5000
				sim.storeSchedules(n, "06:00")
				due := time.Date(2027, 1, 1, 6, 0, 0, 0, time.UTC)
				sim.advanceUntil(due, 60_000)
				for len(sim.jobs) < n {
					sim.step(200)
				}
				b.ReportMetric(float64(sim.now-due.UnixMilli())/1000, "last-s")
			}
		})
	}
}

// BenchmarkShardLoadOf10000Schedules measures the host time and the requests that a member needs to load 10,000
// schedules after it claimed all shards.
func BenchmarkShardLoadOf10000Schedules(b *testing.B) {
	for b.Loop() {
		sim := newSimulation(b, 1, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), false)
		const n = 10_000
		sim.storeSchedules(n, "06:00")
		for _, s := range sim.members {
			sim.claim(s, "m-0")
		}
		sim.startHost("m-0")
		h, requests, took := sim.hosts["m-0"], 0, time.Duration(0)
		for len(h.due) < n {
			sim.now += 200
			sim.refreshView("m-0")
			at := time.Now()
			h.Tick(sim.clock(), sim.views["m-0"])
			took += time.Since(at)
			for ops := h.Take().Store; len(ops) > 0; ops = h.Take().Store {
				requests += len(ops)
				for _, op := range ops {
					r := sim.applyStoreOp(op)
					at := time.Now()
					h.StoreDone(sim.clock(), op.ID, r)
					took += time.Since(at)
				}
			}
		}
		b.ReportMetric(took.Seconds()*1000, "host-ms")
		b.ReportMetric(float64(requests)*50/500, "requests") // pages hold 500 records, the fake's pages 50
	}
}

func TestInvalidFileIsRejectedNamingTheField(t *testing.T) {
	valid := dailyText("s", "01:00")
	if _, err := ParseFile([]byte(valid)); err != nil {
		t.Errorf("valid file: %v", err)
	}
	replaced := func(old, with string) string { return strings.Replace(valid, old, with, 1) }
	for _, c := range []struct{ name, text, expected string }{
		{"unknown field", valid + "cpu = 1\n", "line 10 column 1: schedule.job.cpu is no field"},
		{"no CPUs", replaced("cpus = 1.0", ""), "schedule[0] s: job.cpus must be above 0"},
		{"no team", replaced(`team = "ops"`, ""), "job.team is missing"},
		{"invalid name", replaced(`"s"`, `"S s"`), "name must be"},
		{"unknown policy", replaced("rule =", "busy = \"maybe\"\nrule ="), `busy: "maybe" is none of`},
		{"negative lateness", replaced("rule =", "late_s = -1.0\nrule ="), "late_s must be above 0"},
		{"unknown zone", replaced("UTC", "Mars"), "is no time zone"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseFile([]byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.expected) {
				t.Errorf("got %v, want %q", err, c.expected)
			}
		})
	}
}

func TestExampleFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../docs/examples/schedules/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("got %d examples and error %v, want at least 2 examples", len(files), err)
	}
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseFile(b); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
