package rollout

import (
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

func TestInvalidPlansAreRejectedNamingTheField(t *testing.T) {
	validPlan := Plan{ID: "p", All: true, Mode: Replace, Surge: 2}
	for want, change := range map[string]func(p *Plan){
		"":                func(*Plan) {},
		"id must":         func(p *Plan) { p.ID = "a b" },
		"machines goes":   func(p *Plan) { p.Machines = []string{"i-1"} },
		"name machines":   func(p *Plan) { p.All = false },
		"mode \"x\"":      func(p *Plan) { p.Mode = "x" },
		"surge must be":   func(p *Plan) { p.Surge = 0 },
		"surge and":       func(p *Plan) { p.Mode = Drain },
		"step must":       func(p *Plan) { p.StepShare = 2 },
		"deadline_s must": func(p *Plan) { p.DeadlineS = -1 },
		"gates must":      func(p *Plan) { p.Gates.LateStarts = -1 },
	} {
		p := validPlan
		change(&p)
		if reason := p.Validate(); !strings.HasPrefix(reason, want) || want == "" && reason != "" {
			t.Errorf("%q: %q", want, reason)
		}
	}
	if _, reason := NewRecord(Plan{ID: "p", Machines: []string{"i-9"}, Mode: Drain}, 100, testFleet(3), HealthRates{}); !strings.Contains(
		reason,
		"i-9",
	) {
		t.Errorf("a machine that is none: %q", reason)
	}
	if _, reason := NewRecord(Plan{ID: "p", Type: "large", Mode: Drain}, 100, testFleet(3), HealthRates{}); reason == "" {
		t.Error("a plan of no machines begins")
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
		record, reason := NewRecord(
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
		if reason != "" {
			t.Fatal(reason)
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
	if reason := record.ApplyCommand(Resume, 90_000, HealthCounts{Errors: taskErrors}); reason != "" ||
		record.State != Running ||
		record.failedGate(90_500, HealthCounts{Errors: taskErrors}) != "" {
		t.Errorf("resumed: %q, %+v", reason, record)
	}
	covered := slices.IndexFunc(machines, func(m Machine) bool { return record.Covers(&m) })
	if reason := record.ApplyCommand(Abort, 91_000, HealthCounts{}); reason != "" ||
		covered >= 0 && record.Covers(&machines[covered]) {
		t.Errorf("aborted: %q, %+v", reason, record)
	}
	if record.ApplyCommand(Resume, 92_000, HealthCounts{}) == "" {
		t.Error("an aborted plan is resumed")
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
