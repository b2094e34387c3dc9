package emulator

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// troubledDay is a day with one trouble that begins after 20 s, beside members that end.
func troubledDay(seed uint64, begins func(*World)) *World {
	w := New(Options{Seed: seed, Members: 3, Capacity: 6, Loss: 0.002,
		Types: []scheduler.MachineType{{Name: "small", Room: availability.Room{CPUs: 16, MemoryGB: 64, DiskGB: 30}, FetchGBps: 1, Price: 0.8, SpotPrice: 0.2, BootS: 4, Zones: []string{"a", "b"}}},
		Params: scheduler.Params{Teams: map[string]scheduler.Team{"ops": {}}, Relays: 16, AcceptRate: 20, Recovery: true, Quota: true, ReportS: 0.8, LeaseS: 6, CancelS: 20,
			ValueBytes: 8192, TxnOps: 16, ListLagS: 2, Objectives: map[string][]scheduler.Objective{"quick": {{Kind: "wait", WithinS: 3}}}}})
	for n := range 60 {
		w.After(500+w.Rand.Int64N(50_000), func() {
			w.Submit(NewJob(scheduler.Job{ID: fmt.Sprintf("job-%06d", n), Class: "quick", Team: "ops", Kind: scheduler.Array, Priority: scheduler.High, Tasks: 1 + w.Rand.IntN(6),
				Request: availability.Room{CPUs: 4, MemoryGB: 8}, Spot: true, EstimateS: 5}))
		})
	}
	for i, m := range w.Members {
		w.After(25_000+int64(i)*9000, func() { m.Crash(1000) })
	}
	w.After(20_000, func() { begins(w) })
	w.Run(90_000, func() bool { return false })
	return w
}

const troubledMS = 40_000

// Each trouble of a day comes about, and no rule breaks by it alone.
func TestTroublesShow(t *testing.T) {
	for name, c := range map[string]struct {
		begins func(*World)
		shows  func(*World) int
		least  int
	}{
		"answers are lost": {
			func(w *World) { w.LostAnswers(0.3, troubledMS) },
			func(w *World) int { return w.LostAnswerCount }, 20,
		},
		"transactions are carried out late": {
			func(w *World) { w.LateWrites(0.3, troubledMS) },
			func(w *World) int { return w.Late["l/j/"] + w.Late["p/"] }, 5,
		},
		"reports come again": {
			func(w *World) { w.LateReports(0.3, troubledMS) },
			func(w *World) int { return w.Copies["all"] }, 20,
		},
		"copies of reports arrive at the next claim": {
			func(w *World) { w.ReportsForNextClaim(0.5, troubledMS) },
			func(w *World) int { return w.Copies["at a claim"] }, 50,
		},
		"reports arrive after a new holder acted": {
			func(w *World) { w.HoldReports(0.2, troubledMS) },
			func(w *World) int { return w.Copies["after a new holder acted"] }, 20,
		},
		"commands arrive late": {
			func(w *World) { w.LateCommands(0.5, troubledMS) },
			func(w *World) int { return w.Copies["late commands"] }, 3,
		},
		"machines open no connection": {
			func(w *World) { w.SomeUp(0.9, func(h *Host) { w.Mute(h, troubledMS) }) },
			func(w *World) int { return w.NotConnected }, 10,
		},
		"jobs are cancelled together, machines hang": {
			func(w *World) { w.CancelNow(4, 5000) },
			func(w *World) int { return min(w.cancelledJobs(), w.hungHosts()) }, 1,
		},
		"jobs are cancelled as they end": {
			func(w *World) { w.CancelAtEnd(1, troubledMS) },
			(*World).cancelledJobs, 10,
		},
		"users send what makes no sense": {
			func(w *World) { w.OddRequests(troubledMS) },
			func(w *World) int { return w.oddJobs }, 20,
		},
		"users ask everywhere at once": {
			func(w *World) { w.CloseLooks(troubledMS) },
			func(w *World) int { return w.Looks }, 20,
		},
		"a zone is cut off with a member": {
			func(w *World) { w.CutZoneWith("a", w.Members[1], 12_000, true) },
			func(w *World) int { return len(w.Cuts) }, 5,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := troubledDay(3, c.begins)
			for rule, what := range w.Broken {
				t.Errorf("%s: %s", rule, what)
			}
			if n := c.shows(w); n < c.least {
				t.Errorf("it came about %d times", n)
			}
		})
	}
}

func (w *World) cancelledJobs() int {
	n := 0
	for _, j := range w.Jobs {
		if j.Cancel {
			n++
		}
	}
	return n
}

func (w *World) hungHosts() int {
	n := 0
	for _, h := range w.Hosts {
		if h.HungTill > 0 {
			n++
		}
	}
	return n
}

// A mute machine's reports reach nobody, while commands that are sent to it do.
func TestAMuteMachineTakesCommands(t *testing.T) {
	const token = 1 << 60
	var mute *Host
	w := troubledDay(4, func(w *World) {
		w.SomeUp(1, func(h *Host) {
			if mute != nil {
				return
			}
			mute = h
			w.Mute(h, troubledMS)
			w.After(1000, func() {
				heard, m := h.HeardAt, w.Members[0]
				w.runDo(m, m.epoch, h, scheduler.Do{Machine: h.Rental.ID, Session: h.Worker.Session, Token: token})
				if got := h.Worker.Report().Token; got != token {
					t.Errorf("the command did not arrive: token %d", got)
				}
				w.After(10_000, func() {
					if h.HeardAt != heard || h.Worker.Session == 1 {
						t.Errorf("it was heard at %d, in session %d", h.HeardAt, h.Worker.Session)
					}
				})
			})
		})
	})
	if mute == nil || w.NotConnected == 0 {
		t.Errorf("%d connections failed", w.NotConnected)
	}
}
