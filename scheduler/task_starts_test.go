package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/planner"
)

// The attempt of a direct start without a response stays on its machine until the worker has seen a
// higher fencing token. Raising the token is retried until it succeeds.
func TestUnacknowledgedStartIsFencedByHigherToken(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	putTestJob(ctrl, 13, Range{Lo: 0, Hi: 1, Shard: "m0"})
	ctrl.cache.jobs["job-000001"].rec.Job.EstimateS = 1
	ctrl.placer.planShard(s)
	ctrl.agents.sendUrgentStarts(s)
	outputs := ctrl.TakeOutputs()
	if len(outputs.DirectCommands) != 1 {
		t.Fatalf("%d direct commands, want 1", len(outputs.DirectCommands))
	}
	ctrl.HandleDirectCommandResult(ctrl.now, outputs.DirectCommands[0].ID, DirectCommandResult{Outcome: Unknown})
	tokenRaise := ctrl.TakeOutputs().StoreOps
	if len(tokenRaise) != 1 || tokenRaise[0].Changes[0].Key != claimKey("m0") {
		t.Fatalf("store operations %+v, want a write that raises the token", tokenRaise)
	}
	ctrl.HandleStoreResult(ctrl.now, tokenRaise[0].ID, StoreResult{Outcome: Refused})
	ctrl.now.MonotonicMS += 1000
	ctrl.TakeOutputs()
	ctrl.shards.tickShard(s)
	tokenRaise = ctrl.TakeOutputs().StoreOps
	if len(tokenRaise) == 0 {
		t.Fatal("a refused raise of the token is not retried")
	}
	heartbeat := func(seq, token uint64) {
		ctrl.HandleHeartbeat(ctrl.now, seq, testHeartbeat("i-1", seq, token))
	}
	heartbeat(20, 11)
	if mc.liveAttemptCount != 1 {
		t.Error("an unacknowledged attempt is removed while it may still run")
	}
	ctrl.HandleStoreResult(ctrl.now, tokenRaise[0].ID, StoreResult{Rev: 30})
	heartbeat(21, 11)
	if mc.liveAttemptCount != 1 {
		t.Error("an unacknowledged attempt is removed before its worker saw the higher token")
	}
	attemptsBefore := len(mc.attempts)
	heartbeat(22, 30)
	for _, attempt := range mc.attempts {
		if attempt.directCommandToken == 11 {
			t.Errorf("an attempt that can no longer run is kept: %d attempts before, %+v", attemptsBefore, attempt)
		}
	}
}

// A gang starts only if all its tasks can start.
func TestGangStartsAllTasksOrNone(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t) // 8 CPUs
	for _, c := range []struct {
		tasks, expected int
	}{{9, 0}, {8, 8}} {
		rec := newTestJobRecord(Range{Lo: 0, Hi: c.tasks, Shard: "m0"})
		rec.Job.Kind, rec.Job.EstimateS = Gang, 1
		key := jobKey("job-000001")
		ctrl.cache.applyChange(KeyValue{Key: key, Rev: ctrl.cache.keyRevisions[key] + 1})
		clear(ctrl.cache.tombstones)
		putRecord(ctrl, key, rec, uint64(100+c.tasks*c.expected))
		ctrl.placer.planShard(s)
		n := 0
		for _, planned := range mc.plannedStarts {
			n += planned.count
		}
		if n != c.expected {
			t.Errorf("%d tasks of a gang of %d start on 8 CPUs, want all or none", n, c.tasks)
		}
		if n == 0 {
			continue
		}
		// Workers match the tasks of a gang by their attempt number. All tasks of one start have the
		// same number, the next start has another, and no task occurs twice in one start.
		attemptNumbers := map[uint64]int{}
		for try := range 2 {
			mc.commands = nil
			ctrl.agents.dispatchPlannedStarts(s, mc, &Heartbeat{Incarnation: 1, Seq: uint64(4 + try)})
			for _, cmd := range mc.commands {
				attemptNumbers[cmd.Attempt]++
			}
			for _, att := range mc.attempts {
				ctrl.agents.removeAttempt(mc, att)
				break
			}
			mc.plannedStarts = []plannedStart{{taskRange: ctrl.cache.jobs["job-000001"].taskRanges[0], count: 1}}
			mc.commands = nil
			if ctrl.agents.dispatchPlannedStarts(s, mc, &Heartbeat{Incarnation: 1, Seq: 9}); len(mc.commands) > 0 {
				t.Errorf("commands for a task of a failed gang start: %+v, want none", mc.commands)
			}
			for _, att := range mc.attempts {
				ctrl.agents.removeAttempt(mc, att)
			}
			mc.fullUntil = 0
			ctrl.placer.planShard(s)
		}
		if len(attemptNumbers) != 2 || slices.Max(slices.Collect(maps.Values(attemptNumbers))) != 8 {
			t.Errorf("starts by attempt number, for a gang of 8 started twice: %v, want two numbers, one with 8",
				attemptNumbers)
		}
	}
}

// On-demand machines are not provisioned for an objective that has passed by the time they are booted.
func TestOnDemandMachineIsNotProvisionedTooLate(t *testing.T) {
	ctrl, _, _ := newControllerWithShard(t)
	small := smallMachineType()
	small.Price, small.SpotPrice = 1, 0.25
	ctrl.cache.setMachineTypes([]MachineType{small})
	ctrl.scaler.unavailableUntil[offering{"small", "a", true}] = ctrl.now.MonotonicMS + 100_000
	for dueInMS, expected := range map[int64]bool{15_000: false, 25_000: true} {
		j := &Job{Spot: true, Request: availability.Resources{CPUs: 1}}
		g := &taskGroup{
			job: j,
			Group: planner.Group{
				Request:    j.resourceRequest(),
				Remaining:  8,
				LengthMS:   10_000,
				DeadlineMS: ctrl.now.WallMS + dueInMS,
			},
		}
		if offering, ok := ctrl.scaler.cheapestOffering(g, false, map[offering]offering{}); ok != expected {
			t.Errorf("with %d ms left: offering %v, found %v, want %v", dueInMS, offering, ok, expected)
		}
	}
}

// A machine with capacity starts a task with a cached image before one whose image it must fetch. It
// does not do so if the delay would make the latter miss its start objective.
func TestImageLocalityYieldsToStartObjectives(t *testing.T) {
	for _, c := range []struct {
		slackMS  int64 // time until the objective deadline of the first job
		expected string
	}{{40_000, "job-000002/0"}, {13_000, "job-000001/0"}} {
		ctrl, s, mc := newControllerWithShard(t)
		small := smallMachineType()
		small.ImageFetchGBps = 1
		ctrl.cache.setMachineTypes([]MachineType{small})
		mc.imageCache.RecordUse("here", planner.Image{LastUsedMS: 1, SizeGB: 2}, 0)
		s.spareCPUs = 8
		for i, image := range []string{"away", "here"} {
			rec := newTestJobRecord(Range{Lo: 0, Hi: 1, Shard: "m0"})
			rec.Job.ID = []string{"job-000001", "job-000002"}[i]
			rec.Job.Image, rec.Job.Request = image, availability.Resources{CPUs: 8, DiskGB: 2}
			putRecord(ctrl, jobKey(rec.Job.ID), rec, uint64(20+i))
			tr := ctrl.cache.jobs[rec.Job.ID].taskRanges[0]
			s.queue = append(s.queue, &taskGroup{
				taskRange: tr,
				job:       &tr.job.rec.Job,
				Group: planner.Group{
					Request:             tr.job.rec.Job.resourceRequest(),
					LengthMS:            10_000,
					ObjectiveDeadlineMS: ctrl.now.WallMS + c.slackMS,
					DeadlineMS:          ctrl.now.WallMS + 100_000,
				},
			})
		}
		mc.commands = nil
		ctrl.agents.startFromQueue(s, mc, &Heartbeat{Incarnation: 1, Seq: 4})
		if len(mc.commands) != 1 || mc.commands[0].Task != c.expected {
			t.Errorf("with %d ms to the objective deadline: commands %+v, want a start of %s",
				c.slackMS, mc.commands, c.expected)
		}
	}
}

// After a termination notice, the shard forecasts demand for the tasks that the machine will not
// finish, less the capacity of other machines.
func TestTerminationNoticeForecastsDemand(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	for i, length := range []float64{5, 60} {
		rec := newTestJobRecord(Range{Lo: 0, Hi: 2, Shard: "m0"})
		rec.Job.ID, rec.Job.EstimateS, rec.Job.Spot = fmt.Sprintf("job-%06d", i+1), length, true
		rec.Job.Request.CPUs = 2
		putRecord(ctrl, jobKey(rec.Job.ID), rec, uint64(21+i))
	}
	ctrl.placer.planShard(s)
	ctrl.agents.dispatchPlannedStarts(s, mc, &Heartbeat{Incarnation: 1, Seq: 3})
	if mc.liveAttemptCount != 4 {
		t.Fatalf("%d tasks run, want 4", mc.liveAttemptCount)
	}
	ctrl.placer.planShard(s)
	if len(s.forecastDemand) != 0 {
		t.Fatalf("without a notice: %+v, want no demand", s.forecastDemand)
	}
	mc.terminatesAt = ctrl.now.MonotonicMS + 20_000
	ctrl.placer.planShard(s)
	if len(s.forecastDemand) != 1 {
		t.Fatalf("with a notice of 20 s: %+v, want one demand", s.forecastDemand)
	}
	if got := s.forecastDemand[0]; got.Tasks != 2 || got.TaskRuntimeMS != 60_000 || !got.SpotOnly {
		t.Fatalf("with a notice of 20 s: %+v, want spot machines for 2 tasks of 60 s", got)
	}
	page := offering{"small", "a", true}.registryPage("m0", ctrl.now.WallMS)
	page.MachineIDs = []string{"i-2"}
	putRecord(ctrl, registryPrefix+"1-2", page, 30)
	if ctrl.placer.planShard(s); len(s.forecastDemand) != 0 {
		t.Errorf("with a booting machine: %+v, want no demand", s.forecastDemand)
	}
}

// A machine on the drain list starts no tasks. Once it is removed from the list, it starts tasks again.
func TestUndrainedMachineStartsTasksAgain(t *testing.T) {
	ctrl, s, mc := newControllerWithShard(t)
	putTestJob(ctrl, 13, Range{Lo: 0, Hi: 2, Shard: "m0"})
	running := TaskStatus{Task: "job-000001/0", Attempt: 7 << 28, State: "running"}
	seq := uint64(3)
	heartbeatAndTick := func(drainList ...string) {
		ctrl.now.MonotonicMS += 1000
		ctrl.store.storeAccess.SetState(1, ctrl.now.MonotonicMS, ctrl.now.MonotonicMS)
		ctrl.cache.settings.Drain = drainList
		seq++
		ctrl.HandleHeartbeat(ctrl.now, seq, testHeartbeat("i-1", seq, 11, running))
		ctrl.shards.tickShard(s)
	}
	heartbeatAndTick("i-1")
	startsBefore := ctrl.Counters.Starts // the first heartbeat preceded the cordon
	heartbeatAndTick("i-1")
	if !mc.cordoned || ctrl.Counters.Starts != startsBefore || mc.releasing {
		t.Errorf("on the drain list: %+v, %d starts; want cordoned, not releasing, 0 starts",
			mc, ctrl.Counters.Starts-startsBefore)
	}
	heartbeatAndTick()
	heartbeatAndTick()
	if mc.cordoned || ctrl.Counters.Starts == startsBefore || mc.releasing {
		t.Errorf("off the drain list: cordoned %v, releasing %v, %d starts; want false, false and some",
			mc.cordoned, mc.releasing, ctrl.Counters.Starts-startsBefore)
	}
}

// After a claim, a few unreported machines are released after half a lease. If most machines are
// unreported, the network is the probable cause, and the shard keeps them.
func TestFewUnreportedMachinesAreReleasedAfterHalfALease(t *testing.T) {
	for _, unreported := range []int{1, 3} {
		ctrl, s, _ := newControllerWithShard(t)
		ids := []string{"i-2", "i-3", "i-4"}
		page := registryRecord{Shard: "m0", Type: "small", Zone: "a", MachineIDs: ids}
		putRecord(ctrl, registryPrefix+"1-2", page, 30)
		putRecord(ctrl, liveMachinesPrefix+"m0/1", liveMachinesRecord{ids}, 31)
		for _, id := range ids[unreported:] {
			ctrl.HandleHeartbeat(ctrl.now, 7, testHeartbeat(id, 3, 11))
		}
		for _, halfLeasePassed := range []bool{false, true} {
			if halfLeasePassed {
				ctrl.now.MonotonicMS += secondsToMS(ctrl.params.LeaseS)/2 + 1
			}
			ctrl.agents.tickReconcile(s)
			released := 0
			for _, mc := range s.machines {
				if mc.releasing {
					released++
				}
			}
			want := 0
			if halfLeasePassed && unreported == 1 {
				want = 1
			}
			if released != want {
				t.Errorf("%d of 4 machines unreported, half a lease passed %v: %d released, want %d",
					unreported, halfLeasePassed, released, want)
			}
		}
	}
}
