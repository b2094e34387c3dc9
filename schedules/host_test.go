package schedules

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/scheduler"
)

const calendarText = "[[calendar]]\nname = \"c\"\n[[calendar.holidays]]\nname = \"h\"\ndates = [\"2027-03-15\", \"04-13\", \"12-31\"]\n"

func scheduleText(name, rest string) string {
	return fmt.Sprintf(
		"[[schedule]]\nname = %q\nfrom = \"2026-01-01\"\n%s\n[schedule.job]\nteam = \"ops\"\ncpus = 1.0\n",
		name,
		rest,
	)
}

// simulateYear plays a year, or a quarter with sabotage, and returns what is broken.
func simulateYear(t testing.TB, seed uint64, faults bool, injectFault func(*simulation)) []string {
	w := newSimulation(t, seed, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), faults)
	specs := []*Spec{
		w.apply(
			calendarText + scheduleText(
				"all",
				"zone = \"America/Los_Angeles\"\nrule = \"FREQ=DAILY\"\nat = [\"02:30\", \"17:00\"]\ncalendar = \"c\"\nshift = \"next\"\nmissed = \"all\"\nlate_s = 1e9",
			),
		),
		w.apply(
			scheduleText(
				"latest",
				"zone = \"Asia/Kathmandu\"\nrule = \"FREQ=DAILY\"\nat = [\"00:00\", \"06:00\", \"12:00\", \"18:00\"]",
			),
		),
		w.apply(
			scheduleText(
				"skip",
				"zone = \"Australia/Lord_Howe\"\nrule = \"FREQ=WEEKLY;BYDAY=SU\"\nat = [\"02:15\"]\noverlap = \"both\"\nmissed = \"skip\"",
			),
		),
		w.apply(
			scheduleText(
				"forbid",
				"zone = \"Asia/Bangkok\"\nrule = \"FREQ=DAILY\"\nat = [\"05:30\", \"05:31\"]\nbusy = \"forbid\"\nmissed = \"all\"",
			),
		),
		w.apply(
			scheduleText(
				"queue",
				"zone = \"Asia/Bangkok\"\nrule = \"FREQ=DAILY\"\nat = [\"05:30\", \"05:31\"]\nbusy = \"queue\"\nmissed = \"all\"\nlate_s = 1e9",
			),
		),
		w.apply(
			scheduleText(
				"replace",
				"zone = \"Asia/Bangkok\"\nrule = \"FREQ=DAILY\"\nat = [\"05:30\", \"05:31\"]\nbusy = \"replace\"\nmissed = \"all\"",
			),
		),
	}
	since := map[string]int64{}
	for _, s := range specs {
		a := w.request(Request{Kind: Show, Name: s.Name})
		var d definitionRecord
		_ = json.Unmarshal(w.store.Value(definitionKey(extension.ShardOf(w.members, s.Name), s.Name)), &d)
		if a.Status != 200 || a.Version != 1 {
			t.Fatalf("%s is shown as %+v", s.Name, a)
		}
		since[s.Name] = d.SinceMS
	}
	if injectFault != nil {
		injectFault(w)
	}
	end := time.Date(2028, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()
	if injectFault != nil {
		end = time.Date(2027, 4, 1, 0, 0, 0, 0, time.UTC).UnixMilli()
	}
	for w.now < end {
		// Mostly hours, now and then the very millisecond at which something
		// is due, and the seconds round it.
		d := int64(w.rng.IntN(5 * 3600_000))
		if m, ok := specs[w.rng.IntN(len(specs))].Next(time.UnixMilli(w.now)); ok && w.rng.IntN(3) > 0 {
			d = min(d, max(0, m.At.UnixMilli()-w.now+int64(w.rng.IntN(21)-10)))
		}
		w.step(d)
		for range 3 {
			w.step(int64(w.rng.IntN(700)))
		}
	}
	// Then quiet: what is left is decided, what is late arrives.
	w.faults, w.storeOutageUntil = false, 0
	for len(w.delayed) > 0 {
		w.delayed[0]()
		w.delayed = w.delayed[1:]
	}
	for range 600 {
		w.step(2000)
	}
	if faults && injectFault == nil && w.lostRequests < 100 {
		t.Errorf("seed %d: %d requests were lost: too few to say anything", seed, w.lostRequests)
	}
	var out []string
	for _, s := range specs {
		out = append(out, w.violations(s, since[s.Name], w.now)...)
	}
	return out
}

// A year with a clock of its own: every moment is decided once, and run once
// where it is to be, whatever happens at it.
func TestEachMomentIsDecidedOnceInAYearOfFaults(t *testing.T) {
	for seed := range uint64(2) {
		if b := simulateYear(t, seed, seed > 0, nil); len(b) > 0 {
			t.Fatalf("seed %d: %d faults, the first: %s", seed, len(b), strings.Join(b[:min(5, len(b))], "\n"))
		}
	}
}

// The check sees a run that is there twice and one that is missing.
func TestSimulationDetectsDuplicateAndMissingRuns(t *testing.T) {
	if b := simulateYear(t, 1, true, func(w *simulation) { w.duplicateSubmissions = true }); !slices.ContainsFunc(
		b,
		func(s string) bool { return strings.Contains(s, "times") },
	) {
		t.Errorf("runs that are there twice go unseen: %v", b)
	}
	if b := simulateYear(t, 1, true, func(w *simulation) { w.dropSubmissions = true }); !slices.ContainsFunc(
		b,
		func(s string) bool { return strings.Contains(s, "missing") },
	) {
		t.Errorf("missing runs go unseen: %v", b)
	}
}

// A new version counts from its moment on; what is decided stays decided.
func TestChangedScheduleAppliesFromItsEffectiveTime(t *testing.T) {
	w := newSimulation(t, 1, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), false)
	daily := func(at string) string {
		return scheduleText("v", "zone = \"UTC\"\nrule = \"FREQ=DAILY\"\nat = [\""+at+"\"]")
	}
	w.apply(daily("06:00"))
	pass := func(until string) {
		end, _ := time.Parse(time.RFC3339, until)
		for w.now < end.UnixMilli() {
			w.step(min(10_000, end.UnixMilli()-w.now))
		}
	}
	pass("2027-01-02T12:00:00Z")
	v2 := []byte(daily("18:00"))
	effective := time.Date(2027, 1, 4, 0, 0, 0, 0, time.UTC).UnixMilli()
	if a := w.request(Request{Kind: Apply, Name: "v", Body: v2, EffectiveMS: effective}); a.State != "applied" ||
		a.Version != 2 {
		t.Fatalf("a new version gets %+v", a)
	}
	if a := w.request(Request{Kind: Apply, Name: "v", Body: v2}); a.State != "unchanged" {
		t.Errorf("the same version again gets %+v", a)
	}
	pass("2027-01-06T12:00:00Z")
	if a := w.request(Request{Kind: Pause, Name: "v"}); a.State != "paused" {
		t.Errorf("a pause gets %+v", a)
	}
	pass("2027-01-08T12:00:00Z")
	if a := w.request(Request{Kind: Resume, Name: "v"}); a.State != "resumed" {
		t.Errorf("going on gets %+v", a)
	}
	pass("2027-01-09T12:00:00Z")
	if a := w.request(Request{Kind: Remove, Name: "v"}); a.State != "removed" {
		t.Errorf("a removal gets %+v", a)
	}
	pass("2027-01-12T12:00:00Z")
	var got []string
	for _, d := range w.history("v") {
		got = append(got, fmt.Sprintf("%s/%d", time.UnixMilli(d.AtMS).UTC().Format("02T15"), d.Version))
	}
	if want := "01T06/1 02T06/1 03T06/1 04T18/2 05T18/2 08T18/2"; strings.Join(got, " ") != want {
		t.Errorf("decided %s, not %s", strings.Join(got, " "), want)
	}
	for _, k := range []Kind{Pause, Resume, Remove, Show} {
		if a := w.request(Request{Kind: k, Name: "v"}); a.Status != 404 {
			t.Errorf("request %d on what is removed gets %+v", k, a)
		}
	}
}

// A calendar that changes a second before a moment changes that moment, for all
// schedules that use it, and nothing that was decided.
func TestCalendarChangeJustBeforeDueMomentApplies(t *testing.T) {
	w := newSimulation(t, 1, time.Date(2027, 3, 9, 0, 0, 0, 0, time.UTC), false)
	text := calendarText + scheduleText(
		"s",
		"zone = \"UTC\"\nrule = \"FREQ=DAILY\"\nat = [\"06:00\"]\ncalendar = \"c\"\nshift = \"skip\"",
	)
	w.apply(text)
	w.apply(scheduleText("other", "zone = \"UTC\"\nrule = \"FREQ=DAILY\"\nat = [\"06:00\"]"))
	pass := func(until time.Time) {
		for w.now < until.UnixMilli() {
			w.step(min(5000, until.UnixMilli()-w.now))
		}
	}
	pass(time.Date(2027, 3, 11, 5, 59, 50, 0, time.UTC))
	changed := strings.Replace(calendarText, "2027-03-15", "2027-03-11", 1)
	if a := w.request(Request{Kind: ApplyCalendar, Name: "c", Body: []byte(changed)}); a.State != "applied" ||
		len(a.Schedules) != 1 ||
		a.Schedules[0].Version != 2 {
		t.Fatalf("a changed calendar gets %+v", a)
	}
	if w.now >= time.Date(2027, 3, 11, 6, 0, 0, 0, time.UTC).UnixMilli() {
		t.Fatal("the change came too late for what is tried")
	}
	if a := w.request(Request{Kind: ApplyCalendar, Name: "c", Body: []byte(changed)}); a.State != "unchanged" {
		t.Errorf("the same calendar again gets %+v", a)
	}
	if a := w.request(Request{Kind: ShowCalendar, Name: "c"}); a.Status != 200 ||
		a.Calendar.Holidays[0].Dates[0] != "2027-03-11" {
		t.Errorf("the calendar is shown as %+v", a)
	}
	if a := w.request(Request{Kind: ApplyCalendar, Name: "d", Body: []byte(strings.Replace(calendarText, `"c"`, `"d"`, 1))}); a.Status != 404 {
		t.Errorf("a calendar that nobody uses gets %+v", a)
	}
	pass(time.Date(2027, 3, 16, 12, 0, 0, 0, time.UTC))
	for name, want := range map[string]string{"s": "09 10 12 15 16", "other": "09 10 11 12 13 14 15 16"} {
		var got []string
		for _, d := range w.history(name) {
			got = append(got, time.UnixMilli(d.AtMS).UTC().Format("02"))
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%s ran on %v, not %s", name, got, want)
		}
	}
}

// A tick costs what is due, not what exists.
func BenchmarkTickWithManySchedules(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := NewHost(Params{Members: []string{"m-0"}, TxnOps: 16, Rate: 1000})
			s := &shard{name: "m-0", token: 1, entries: map[string]*entry{}}
			h.shards["m-0"] = s
			f, err := ParseFile([]byte(scheduleText("x", "zone = \"UTC\"\nrule = \"FREQ=DAILY\"\nat = [\"06:00\"]")))
			if err != nil {
				b.Fatal(err)
			}
			for i := range n {
				e := &entry{shard: s, name: fmt.Sprint("s-", i), index: -1, definition: definitionRecord{Spec: *f.Schedules[0]}}
				s.entries[e.name] = e
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

// What 5,000 schedules that fall due at once take at the rates of the fleet
// sites: a quarter of a member's part of 80 changes a second on three members,
// of 50 on five.
func BenchmarkAllSchedulesDueAtOnce(b *testing.B) {
	for _, c := range []struct {
		name string
		rate float64 // decisions a second, of three members
	}{{"siam-meterline-fleet", 80 / 3.0 / 4}, {"cascadia-refund-fleet", 50 / 5.0 / 4 * 5 / 3}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				w := newSimulation(b, 1, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), false)
				for _, h := range w.hosts {
					h.params.Rate = c.rate
				}
				const n = 5000
				w.storeSchedules(n, "06:00")
				due := time.Date(2027, 1, 1, 6, 0, 0, 0, time.UTC).UnixMilli()
				for w.now < due {
					w.step(min(60_000, due-w.now))
				}
				for len(w.jobs) < n {
					w.step(200)
				}
				b.ReportMetric(float64(w.now-due)/1000, "last-s")
			}
		})
	}
}

// What a member does to go on with 10,000 schedules after it took over all
// shards.
func BenchmarkShardLoadOf10000Schedules(b *testing.B) {
	for b.Loop() {
		w := newSimulation(b, 1, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC), false)
		const n = 10_000
		w.storeSchedules(n, "06:00")
		for _, s := range w.members {
			w.claim(s, "m-0")
		}
		w.startHost("m-0")
		h, requests, took := w.hosts["m-0"], 0, time.Duration(0)
		for len(h.due) < n {
			w.now += 200
			w.refreshView("m-0")
			at := time.Now()
			h.Tick(w.clock(), w.views["m-0"])
			took += time.Since(at)
			for ops := h.Take().Store; len(ops) > 0; ops = h.Take().Store {
				requests += len(ops)
				for _, op := range ops {
					r := w.applyStoreOp(op)
					at := time.Now()
					h.StoreDone(w.clock(), op.ID, r)
					took += time.Since(at)
				}
			}
		}
		b.ReportMetric(took.Seconds()*1000, "host-ms")
		b.ReportMetric(float64(requests)*50/500, "requests") // pages of 500, where the stand-in has 50
	}
}

func TestInvalidFileIsRejectedNamingTheField(t *testing.T) {
	good := scheduleText("s", "zone = \"UTC\"\nrule = \"FREQ=DAILY\"\nat = [\"01:00\"]")
	for _, c := range []struct{ text, expectedErr string }{
		{good, ""},
		{good + "cpu = 1\n", "line 10 column 1: schedule.job.cpu is no field"},
		{strings.Replace(good, "cpus = 1.0", "", 1), "schedule[0] s: job.cpus must be above 0"},
		{strings.Replace(good, `team = "ops"`, "", 1), "job.team is missing"},
		{strings.Replace(good, `"s"`, `"S s"`, 1), "name must be"},
		{strings.Replace(good, "rule =", "busy = \"maybe\"\nrule =", 1), `busy: "maybe" is none of`},
		{strings.Replace(good, "rule =", "late_s = -1.0\nrule =", 1), "late_s must be above 0"},
		{strings.Replace(good, "UTC", "Mars", 1), "is no time zone"},
	} {
		_, err := ParseFile([]byte(c.text))
		if c.expectedErr == "" && err != nil ||
			c.expectedErr != "" && (err == nil || !strings.Contains(err.Error(), c.expectedErr)) {
			t.Errorf("%v, not %q", err, c.expectedErr)
		}
	}
	files, _ := filepath.Glob("../docs/examples/schedules/*.toml")
	if len(files) < 2 {
		t.Errorf("%d examples", len(files))
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
