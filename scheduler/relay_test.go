package scheduler_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/emulator"
	"github.com/grebedock/grebedock/scheduler"
)

// runWithoutStoreAtOneMember runs a small scenario in which loseStore makes the state service
// unavailable. It returns the longest time that a user of m0 waited for a response, and the number of
// requests to m0 that were refused.
func runWithoutStoreAtOneMember(
	t *testing.T,
	relays int,
	loseStore func(sim *testSimulation),
) (longestWaitMS int64, refused, requests int) {
	t.Helper()
	sim := newTestSimulation(77, emulator.InjectedFault{}, smallScale)
	sim.MessageLoss, sim.noRandomFaults = 0, true
	sim.Params.MaxPendingRelays = relays
	m0 := sim.Members[0]
	sim.After(15_000, func() { loseStore(sim) })
	for i := range 60 {
		sim.After(15_100+int64(i)*150, func() {
			id := fmt.Sprintf("job-5%05d", i)
			j := newRelayTestJob(id, 1, 1, 1)
			sim.Jobs[id] = j
			sim.JobIDs = append(sim.JobIDs, id)
			sentAt := sim.Now
			requests++
			submission := scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: id, Job: &j.Spec}
			m0.SendRequestDirect(submission, func(resp scheduler.UserResponse) {
				longestWaitMS = max(longestWaitMS, sim.Now-sentAt)
				if resp.Status == 503 {
					refused++
				}
				sim.ReceiveResponse(j, sentAt, resp)
			})
			sim.Poll(j)
		})
	}
	sim.runScenario(30_000, 120_000, 20)
	for rule, violation := range sim.Violations {
		t.Errorf("%s: %s", rule, violation)
	}
	return longestWaitMS, refused, requests
}

// newRelayTestJob returns an array job of the team without a limit.
func newRelayTestJob(id string, tasks int, cpus, estimateS float64) *emulator.Job {
	return emulator.NewJob(scheduler.Job{
		ID:        id,
		Class:     "batch",
		Team:      "t1",
		Kind:      scheduler.Array,
		Priority:  scheduler.Normal,
		Tasks:     tasks,
		Request:   availability.Resources{CPUs: cpus},
		EstimateS: estimateS,
		Spot:      true,
	})
}

// The state service fails for one member only, either with 503 or without any response. A peer answers
// the users of that member within a second. Without relays at least half of the requests are refused;
// otherwise the scenario would not test relays.
func TestPeersAnswerForMemberWithoutStore(t *testing.T) {
	for name, loseStore := range map[string]func(*testSimulation){
		"refused": func(sim *testSimulation) { sim.StartOutage("m0", 9_000) },
		"no response": func(sim *testSimulation) {
			sim.partition(emulator.Partition{A: "m0", B: "store", Until: sim.Now + 9_000})
		},
	} {
		t.Run(name, func(t *testing.T) {
			longestWaitMS, refused, requests := runWithoutStoreAtOneMember(t, 16, loseStore)
			if requests < 60 || refused > 0 || longestWaitMS > 1000 {
				t.Errorf("of %d requests %d are refused, the longest takes %d ms; want 60 or more, 0, at most 1000 ms",
					requests, refused, longestWaitMS)
			}
			if _, refused, _ := runWithoutStoreAtOneMember(t, 0, loseStore); refused < requests/2 {
				t.Errorf("without relays %d of %d requests are refused, want at least half", refused, requests)
			}
		})
	}
}

// When the state service is unavailable to all members, requests are not relayed in a loop, and users
// are refused immediately.
func TestRequestsAreRefusedImmediatelyInFullOutage(t *testing.T) {
	longestWaitMS, refused, requests := runWithoutStoreAtOneMember(t, 16, func(sim *testSimulation) {
		sim.StartOutage("all", 8_000)
	})
	if refused < requests*2/3 || longestWaitMS > 1000 {
		t.Errorf("of %d requests %d are refused, the longest takes %d ms; want at least 2/3, and at most 1000 ms",
			requests, refused, longestWaitMS)
	}
}

// The members are partitioned from each other, and a member that does not lead receives a job without
// machines for it. The leader reads the demand from a status record and provisions machines, although
// no message of a peer reaches it.
func TestDemandReachesIsolatedLeaderThroughStore(t *testing.T) {
	firstStartWith := func(relays int) (firstStartAt int64) {
		sim := newTestSimulation(78, emulator.InjectedFault{}, smallScale)
		sim.MessageLoss, sim.noRandomFaults, sim.Params.MaxPendingRelays = 0, true, relays
		leader := -1
		var j *emulator.Job
		sim.After(8_000, func() {
			isLeading := func(m *emulator.Member) bool { return m.Core.Status(m.Clock()).Leading }
			leader = slices.IndexFunc(sim.Members, isLeading)
			sim.partition(emulator.Partition{A: "m", B: "m", Until: sim.Now + 60_000})
		})
		sim.After(14_000, func() {
			other := sim.Members[(leader+1)%len(sim.Members)]
			j = newRelayTestJob("job-600000", 4, 4, 5)
			sim.Jobs[j.Spec.ID] = j
			sim.JobIDs = append(sim.JobIDs, j.Spec.ID)
			submission := scheduler.UserRequest{Kind: scheduler.SubmitJob, ID: j.Spec.ID, Job: &j.Spec}
			other.SendRequestDirect(submission, func(scheduler.UserResponse) {})
		})
		var measure func()
		measure = func() {
			if j != nil && len(j.StartCounts) > 0 && firstStartAt == 0 {
				firstStartAt = sim.Now
			}
			sim.After(100, measure)
		}
		measure()
		sim.runScenario(60_000, 100_000, 0)
		for rule, violation := range sim.Violations {
			t.Errorf("%s: %s", rule, violation)
		}
		return firstStartAt
	}
	if startedAt := firstStartWith(16); startedAt == 0 || startedAt > 45_000 {
		t.Errorf("the first task, submitted at 14000 ms, starts at %d ms, want at most 45000", startedAt)
	}
	if startedAt := firstStartWith(0); startedAt != 0 && startedAt < 68_000 {
		t.Errorf("without status records a task starts at %d ms, want none before 68000 ms", startedAt)
	}
}
