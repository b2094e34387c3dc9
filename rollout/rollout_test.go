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
		machines = append(
			machines,
			Machine{
				ID:            fmt.Sprintf("i-%03d", i),
				Type:          "small",
				Zone:          string("ab"[i%2]),
				Spot:          i%3 == 0,
				Up:            true,
				ProvisionedAt: int64(i),
			},
		)
	}
	return machines
}

// The texts reach operators as they are.
func TestInvalidPlansAreRejectedNamingTheField(t *testing.T) {
	validPlan := Plan{ID: "p", All: true, Mode: Replace, Surge: 2}
	if err := validPlan.Validate(); err != nil {
		t.Errorf("valid plan: %v", err)
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
		t.Errorf("unknown machine: %v", err)
	}
	selectsNone := Plan{ID: "p", Type: "large", Mode: Drain}
	if _, err := NewRecord(selectsNone, 100, testFleet(3), HealthRates{}); !errors.Is(err, ErrNoMachineSelected) {
		t.Errorf("plan that selects no machine: %v", err)
	}
}

// simulateRollout moves a plan on until it is over or stands for long: machines that are covered
// go after a while, those that are rented come up.
func simulateRollout(
	t *testing.T,
	record *Record,
	machines []Machine,
	countsAt func(wallMS int64, machines []Machine) HealthCounts,
) []Machine {
	t.Helper()
	nextID := 1000
	bootAt, goneAt := map[string]int64{}, map[string]int64{}
	for wallMS := record.StartedAt; wallMS < record.StartedAt+3_600_000 && !record.State.IsTerminal() && record.State != Paused; wallMS += 500 {
		counts := HealthCounts{}
		if countsAt != nil {
			counts = countsAt(wallMS, machines)
		}
		_, provision := record.Advance(wallMS, machines, counts, func(InstanceOffering) float64 { return 1 })
		for offering, n := range provision {
			for range n {
				id := fmt.Sprintf("i-%d", nextID)
				nextID++
				machines = append(
					machines,
					Machine{
						ID:                 id,
						Type:               offering.Type,
						Zone:               offering.Zone,
						Spot:               offering.Spot,
						ProvisionedAt:      wallMS,
						ProvisionedForPlan: record.Plan.ID,
					},
				)
				bootAt[id] = wallMS + 20_000
			}
		}
		for i := range machines {
			if bootedAt := bootAt[machines[i].ID]; bootedAt > 0 && wallMS >= bootedAt {
				machines[i].Up = true
			}
			if record.Covers(&machines[i]) && goneAt[machines[i].ID] == 0 {
				goneAt[machines[i].ID] = wallMS + 7000
			}
		}
		machines = slices.DeleteFunc(machines, func(m Machine) bool { return goneAt[m.ID] > 0 && wallMS >= goneAt[m.ID] })
	}
	return machines
}

// A plan goes step by step, rents first, and never has more beyond than its surge.
func TestMachinesAreReplacedInStepsWithinSurge(t *testing.T) {
	for _, byZone := range []bool{false, true} {
		machines := testFleet(20)
		record, err := NewRecord(
			Plan{
				ID:                "p",
				All:               true,
				Mode:              Replace,
				Surge:             3,
				FirstStepMachines: 2,
				StepShare:         0.25,
				ByZone:            byZone,
				StepPauseS:        5,
			},
			1000,
			machines,
			HealthRates{},
		)
		if err != nil {
			t.Fatal(err)
		}
		maxCoveredByStep, zoneOrder := map[int]int{}, ""
		machines = simulateRollout(t, record, machines, func(_ int64, machines []Machine) HealthCounts {
			selected, covered := 0, 0
			for i := range machines {
				if record.Selects(&machines[i]) {
					selected++
					if record.Covers(&machines[i]) {
						covered++
						if byZone && !strings.HasSuffix(zoneOrder, machines[i].Zone) {
							zoneOrder += machines[i].Zone
						}
					}
				}
			}
			if len(machines) > 20+3 {
				t.Fatalf("%d machines, 20 and 3 beyond are allowed", len(machines))
			}
			maxCoveredByStep[record.Step] = max(maxCoveredByStep[record.Step], covered)
			return HealthCounts{}
		})
		if record.State != Done || len(machines) != 20 {
			t.Fatalf("by zone %v: %+v, %d machines", byZone, record, len(machines))
		}
		if n := record.StepCount(map[string]int{"a": 10, "b": 10}); n != record.Step {
			t.Errorf("by zone %v: %d steps, %d were foreseen", byZone, record.Step, n)
		}
		if maxCoveredByStep[1] > 2 || len(maxCoveredByStep) < 5 || byZone && zoneOrder != "ab" {
			t.Errorf("by zone %v: covered at once in each step %v, zones %q", byZone, maxCoveredByStep, zoneOrder)
		}
		if hasOldMachine := slices.ContainsFunc(machines, func(m Machine) bool { return m.ProvisionedAt < 1000 }); hasOldMachine {
			t.Error("an old machine is left")
		}
	}
}

// Past a gate a plan pauses by itself and says why, within the step; resumed, it counts
// anew; aborted, it covers nothing.
func TestPlanPausesWhenHealthGateFails(t *testing.T) {
	machines := testFleet(10)
	record, _ := NewRecord(
		Plan{
			ID:                "p",
			All:               true,
			Mode:              Drain,
			FirstStepMachines: 2,
			StepShare:         0.2,
			StepPauseS:        3,
			Gates:             HealthGates{Errors: 4},
		},
		1000,
		machines,
		HealthRates{Errors: 0.5},
	)
	taskErrors := uint64(0)
	machines = simulateRollout(t, record, machines, func(wallMS int64, _ []Machine) HealthCounts {
		if wallMS%2000 == 0 {
			taskErrors++ // as usual
		}
		if record.Step == 2 {
			taskErrors += 2
		}
		return HealthCounts{Errors: taskErrors}
	})
	if record.State != Paused || record.Step != 2 || !strings.HasPrefix(record.Reason, "gate errors") ||
		len(machines) < 6 {
		t.Fatalf("%+v, %d machines left", record, len(machines))
	}
	if err := record.ApplyCommand(Resume, 90_000, HealthCounts{Errors: taskErrors}); err != nil ||
		record.State != Running ||
		record.failedGate(90_500, HealthCounts{Errors: taskErrors}) != "" {
		t.Errorf("resumed: %v, %+v", err, record)
	}
	covered := slices.IndexFunc(machines, func(m Machine) bool { return record.Covers(&m) })
	if err := record.ApplyCommand(Abort, 91_000, HealthCounts{}); err != nil ||
		covered >= 0 && record.Covers(&machines[covered]) {
		t.Errorf("aborted: %v, %+v", err, record)
	}
	var terminal *TerminalError
	if err := record.ApplyCommand(Resume, 92_000, HealthCounts{}); !errors.As(err, &terminal) ||
		terminal.State != Aborted || err.Error() != "plan p is aborted" {
		t.Errorf("resuming an aborted plan: %v", err)
	}
}

// What a plan of ten thousand machines costs its leader each time that it looks.
func BenchmarkAdvance(b *testing.B) {
	machines := testFleet(10_000)
	record, _ := NewRecord(
		Plan{ID: "p", All: true, Mode: Replace, Surge: 50, FirstStepMachines: 10, StepShare: 0.05},
		100_000,
		machines,
		HealthRates{},
	)
	b.ReportAllocs()
	for b.Loop() {
		record.Advance(101_000, machines, HealthCounts{}, func(InstanceOffering) float64 { return 1 })
	}
}
