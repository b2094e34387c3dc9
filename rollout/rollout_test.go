package rollout

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

func testFleet(n int) (machines []Machine) {
	for i := range n {
		machines = append(machines, Machine{
			ID:            fmt.Sprintf("i-%03d", i),
			Type:          "small",
			Zone:          string("ab"[i%2]),
			Spot:          i%3 == 0,
			Up:            true,
			ProvisionedAt: int64(i),
		})
	}
	return machines
}

// The API returns the texts to operators unchanged.
func TestInvalidPlansAreRejectedNamingTheField(t *testing.T) {
	validPlan := Plan{ID: "p", All: true, Mode: Replace, Surge: 2}
	if err := validPlan.Validate(); err != nil {
		t.Errorf("valid plan: got error %v, want none", err)
	}
	for _, tc := range []struct {
		name, field, text string
		change            func(p *Plan)
	}{
		{"id with a space", "id", "id must have 1 to 60 characters, no spaces and no slashes",
			func(p *Plan) { p.ID = "a b" }},
		{"too many machines", "machines",
			"machines must name at most 200; choose by type, zone, spot or older_s instead",
			func(p *Plan) { p.Machines = make([]string, 201) }},
		{"machines and all", "machines", "machines goes with none of all, type, zone, spot and older_s",
			func(p *Plan) { p.Machines = []string{"i-1"} }},
		{"no selection", "machines", "name machines, or say all, type, zone, spot or older_s",
			func(p *Plan) { p.All = false }},
		{"unknown mode", "mode", `mode "x" is neither drain nor replace`, func(p *Plan) { p.Mode = "x" }},
		{"replace without surge", "surge", "surge must be at least 1 to replace", func(p *Plan) { p.Surge = 0 }},
		{"drain with surge", "surge", "surge and surge_money go with mode replace",
			func(p *Plan) { p.Mode = Drain }},
		{"large surge", "surge", "surge must be at most 1000", func(p *Plan) { p.Surge = 1001 }},
		{"negative cost", "surge_money", "surge_money must not be below 0",
			func(p *Plan) { p.SurgeCostPerHour = -1 }},
		{"negative first step", "first", "first must be from 0 to 100000",
			func(p *Plan) { p.FirstStepMachines = -1 }},
		{"step above all", "step", "step must be from 0 to 1", func(p *Plan) { p.StepShare = 2 }},
		{"long pause", "pause_s", "pause_s must be from 0 to 86400", func(p *Plan) { p.StepPauseS = 86_401 }},
		{"negative deadline", "deadline_s", "deadline_s must be from 0 to 604800",
			func(p *Plan) { p.DeadlineS = -1 }},
		{"negative age", "older_s", "older_s must not be below 0", func(p *Plan) { p.MinAgeS = -1 }},
		{"negative gate", "gates", "gates must not be below 0", func(p *Plan) { p.Gates.LateStarts = -1 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := validPlan
			tc.change(&p)
			err := p.Validate()
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != tc.field || err.Error() != tc.text {
				t.Errorf("got %v, want field %s: %s", err, tc.field, tc.text)
			}
		})
	}
}

func TestPlansWithoutKnownMachinesAreRejected(t *testing.T) {
	unknownMachine := Plan{ID: "p", Machines: []string{"i-9"}, Mode: Drain}
	_, err := NewRecord(unknownMachine, 100, testFleet(3), HealthRates{})
	var fieldError *FieldError
	if !errors.As(err, &fieldError) || fieldError.Field != "machines" || !strings.Contains(err.Error(), "i-9") {
		t.Errorf("unknown machine: got error %v, want a FieldError of machines that contains i-9", err)
	}
	selectsNone := Plan{ID: "p", Type: "large", Mode: Drain}
	if _, err := NewRecord(selectsNone, 100, testFleet(3), HealthRates{}); !errors.Is(err, ErrNoMachineSelected) {
		t.Errorf("plan that selects no machine: got error %v, want %v", err, ErrNoMachineSelected)
	}
}

// simulation runs a plan on a fleet. Covered machines are gone after 7 seconds, and replacements are up 20
// seconds after they are provisioned.
type simulation struct {
	record   *Record
	machines []Machine
	countsAt func(wallMS int64, machines []Machine) HealthCounts
	bootAt   map[string]int64
	goneAt   map[string]int64
}

// run advances the plan until it is done, aborted or paused, for at most one hour of simulated time.
func (s *simulation) run(t *testing.T) {
	t.Helper()
	s.bootAt, s.goneAt = map[string]int64{}, map[string]int64{}
	endMS := s.record.StartedAt + 3_600_000
	for wallMS := s.record.StartedAt; wallMS < endMS && s.record.State == Running; wallMS += 500 {
		counts := s.countsAt(wallMS, s.machines)
		price := func(InstanceOffering) float64 { return 1 }
		_, provision := s.record.Advance(wallMS, s.machines, counts, price)
		s.provision(wallMS, provision)
		s.moveMachines(wallMS)
	}
}

func (s *simulation) provision(wallMS int64, provision map[InstanceOffering]int) {
	for offering, n := range provision {
		for range n {
			id := fmt.Sprintf("i-%d", 1000+len(s.bootAt))
			s.bootAt[id] = wallMS + 20_000
			s.machines = append(s.machines, Machine{
				ID:                 id,
				Type:               offering.Type,
				Zone:               offering.Zone,
				Spot:               offering.Spot,
				ProvisionedAt:      wallMS,
				ProvisionedForPlan: s.record.Plan.ID,
			})
		}
	}
}

func (s *simulation) moveMachines(wallMS int64) {
	for i := range s.machines {
		m := &s.machines[i]
		if bootAt := s.bootAt[m.ID]; bootAt > 0 && wallMS >= bootAt {
			m.Up = true
		}
		if s.record.Covers(m) && s.goneAt[m.ID] == 0 {
			s.goneAt[m.ID] = wallMS + 7000
		}
	}
	s.machines = slices.DeleteFunc(s.machines, func(m Machine) bool {
		return s.goneAt[m.ID] > 0 && wallMS >= s.goneAt[m.ID]
	})
}

// A plan proceeds in steps, provisions replacements before it drains machines, and never exceeds its surge.
func TestMachinesAreReplacedInStepsWithinSurge(t *testing.T) {
	for _, byZone := range []bool{false, true} {
		t.Run(fmt.Sprintf("by zone %v", byZone), func(t *testing.T) { testReplacement(t, byZone) })
	}
}

func testReplacement(t *testing.T, byZone bool) {
	t.Helper()
	machines := testFleet(20)
	record, err := NewRecord(Plan{
		ID:                "p",
		All:               true,
		Mode:              Replace,
		Surge:             3,
		FirstStepMachines: 2,
		StepShare:         0.25,
		ByZone:            byZone,
		StepPauseS:        5,
	}, 1000, machines, HealthRates{})
	if err != nil {
		t.Fatal(err)
	}
	maxCoveredByStep, zoneOrder := map[int]int{}, ""
	s := simulation{record: record, machines: machines}
	s.countsAt = func(_ int64, machines []Machine) HealthCounts {
		covered := 0
		for i := range machines {
			if !record.Covers(&machines[i]) {
				continue
			}
			covered++
			if !strings.HasSuffix(zoneOrder, machines[i].Zone) {
				zoneOrder += machines[i].Zone
			}
		}
		if len(machines) > 20+3 {
			t.Fatalf("got %d machines, want at most 20 plus a surge of 3", len(machines))
		}
		maxCoveredByStep[record.Step] = max(maxCoveredByStep[record.Step], covered)
		return HealthCounts{}
	}
	s.run(t)
	if record.State != Done || len(s.machines) != 20 {
		t.Fatalf("got %+v and %d machines, want done and 20", record, len(s.machines))
	}
	if n := record.StepCount(map[string]int{"a": 10, "b": 10}); n != record.Step {
		t.Errorf("got %d steps, want %d as StepCount predicts", record.Step, n)
	}
	if maxCoveredByStep[1] > 2 || len(maxCoveredByStep) < 5 {
		t.Errorf("maximum covered by step: got %v, want at least 5 steps and at most 2 in the first", maxCoveredByStep)
	}
	if byZone && zoneOrder != "ab" {
		t.Errorf("order of zones: got %q, want ab", zoneOrder)
	}
	if slices.ContainsFunc(s.machines, func(m Machine) bool { return m.ProvisionedAt < 1000 }) {
		t.Error("got a machine provisioned before the plan, want all replaced")
	}
}

// A plan pauses in the step in which a gate is exceeded, and its reason names the gate. After resume the gates
// count from 0 again, and after abort the plan covers no machine.
func TestPlanPausesWhenHealthGateFails(t *testing.T) {
	machines := testFleet(10)
	plan := Plan{
		ID:                "p",
		All:               true,
		Mode:              Drain,
		FirstStepMachines: 2,
		StepShare:         0.2,
		StepPauseS:        3,
		Gates:             HealthGates{Errors: 4},
	}
	record, err := NewRecord(plan, 1000, machines, HealthRates{Errors: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	taskErrors := uint64(0)
	s := simulation{record: record, machines: machines}
	s.countsAt = func(wallMS int64, _ []Machine) HealthCounts {
		if wallMS%2000 == 0 {
			taskErrors++ // errors at the baseline rate
		}
		if record.Step == 2 {
			taskErrors += 2
		}
		return HealthCounts{Errors: taskErrors}
	}
	s.run(t)
	if record.State != Paused || record.Step != 2 || !strings.HasPrefix(record.Reason, "gate errors") {
		t.Fatalf("got %+v, want paused in step 2 by gate errors", record)
	}
	if len(s.machines) < 6 {
		t.Fatalf("got %d machines left, want at least 6", len(s.machines))
	}
	if err := record.ApplyCommand(Resume, 90_000, HealthCounts{Errors: taskErrors}); err != nil {
		t.Errorf("resume: got error %v, want none", err)
	}
	reason := record.gateExceededReason(90_500, HealthCounts{Errors: taskErrors})
	if record.State != Running || reason != "" {
		t.Errorf("after resume: got %+v, reason %q, want running and no gate exceeded", record, reason)
	}
	covered := slices.IndexFunc(s.machines, func(m Machine) bool { return record.Covers(&m) })
	if err := record.ApplyCommand(Abort, 91_000, HealthCounts{}); err != nil {
		t.Errorf("abort: got error %v, want none", err)
	}
	if covered >= 0 && record.Covers(&s.machines[covered]) {
		t.Errorf("aborted plan: got %s covered, want no machine covered: %+v", s.machines[covered].ID, record)
	}
	var terminal *TerminalError
	err = record.ApplyCommand(Resume, 92_000, HealthCounts{})
	if !errors.As(err, &terminal) || terminal.State != Aborted || err.Error() != "plan p is aborted" {
		t.Errorf("resume after abort: got error %v, want a TerminalError with state aborted", err)
	}
}

// BenchmarkAdvance advances a plan of ten thousand machines once per iteration. The leader advances its plan twice a
// second.
func BenchmarkAdvance(b *testing.B) {
	machines := testFleet(10_000)
	plan := Plan{ID: "p", All: true, Mode: Replace, Surge: 50, FirstStepMachines: 10, StepShare: 0.05}
	record, err := NewRecord(plan, 100_000, machines, HealthRates{})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		record.Advance(101_000, machines, HealthCounts{}, func(InstanceOffering) float64 { return 1 })
	}
}
