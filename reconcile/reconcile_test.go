package reconcile

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed gives the same inputs and the same result in every run.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "400")); err != nil {
		panic(err)
	}
}

// Tests that the verdict table in the package comment equals the one in the code.
func TestVerdictsMatchPackageTable(t *testing.T) {
	source, err := os.ReadFile("reconcile.go")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for _, line := range strings.Split(string(source), "\n") {
		fields := strings.Fields(strings.TrimPrefix(line, "//"))
		if len(fields) < 1+ObservationCount || !strings.HasPrefix(line, "//\t") {
			continue
		}
		for state := range TaskState(TaskStateCount) {
			if fields[0] != state.String() {
				continue
			}
			rows++
			for observation := range Observation(ObservationCount) {
				got, want := verdicts[state][observation].String(), fields[1+observation]
				if got != want {
					t.Errorf("%v, %v: got verdict %s, want %s as in the package comment", state, observation, got, want)
				}
			}
		}
	}
	if rows != TaskStateCount {
		t.Errorf("got %d verdict rows in the package comment, want %d", rows, TaskStateCount)
	}
}

// Tests that no task runs twice, no limit is exceeded and no result is lost under faults of workers,
// the store and the owner, and that the histories reach every cell of the verdict table.
func TestNoDuplicateRunLimitBreachOrLostResultUnderAnyFaults(t *testing.T) {
	var seenVerdicts VerdictCounts
	rapid.Check(t, func(t *rapid.T) {
		if violation := runModel(t, &seenVerdicts); violation != "" {
			t.Fatal(violation)
		}
	})
	for state := range TaskState(TaskStateCount) {
		for observation := range Observation(ObservationCount) {
			if seenVerdicts[state][observation] == 0 {
				t.Errorf("%v, %v was never reached", state, observation)
			}
		}
	}
}

// Tests that the model detects a wrong verdict or a missing bound.
func TestModelDetectsInjectedFaults(t *testing.T) {
	detectsViolation := func() bool {
		var seenVerdicts VerdictCounts
		model := rapid.Custom(func(t *rapid.T) string { return runModel(t, &seenVerdicts) })
		for seed := range 3000 {
			if model.Example(seed) != "" {
				return true
			}
		}
		return false
	}
	if detectsViolation() {
		t.Fatal("violation detected without an injected fault")
	}
	for _, tc := range []struct {
		name   string
		inject func()
	}{
		{"second attempt is adopted", func() { verdicts[Assigned][Active] = Adopt }},
		{"unstored result is cleared", func() { verdicts[Completed][Succeeded] = Clear }},
		{"running task is ignored", func() { verdicts[Unassigned][Active] = Keep }},
		{"result is not recorded", func() { verdicts[Unassigned][Succeeded] = Clear }},
		{"finished or obsolete task is adopted", func() {
			verdicts[ResultStored][Active], verdicts[Obsolete][Active] = Adopt, Adopt
		}},
		{"ledger entry is dropped before the store confirms", func() { dropsEntryBeforeStore = true }},
		{"unreported usage is not counted", func() { ignoresTaskLimit = true }},
		{"possibly running task is started", func() { startsPossiblyRunningTasks = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			original := verdicts
			t.Cleanup(func() {
				verdicts = original
				dropsEntryBeforeStore, ignoresTaskLimit, startsPossiblyRunningTasks = false, false, false
			})
			if tc.inject(); !detectsViolation() {
				t.Error("injected fault not detected")
			}
		})
	}
}

const (
	olderToken = 3
	testToken  = 7 // the token of the claim under test
)

func newTestMachine(now int64) (*Claim, *Machine) {
	claim := NewClaim(modelSettings, testToken, now)
	return claim, claim.AddMachine("w", true, now)
}

// expireLease expires the lease of a machine and returns a time after that.
func expireLease(t *testing.T, claim *Claim, machine *Machine) (now int64) {
	t.Helper()
	now = claim.LeaseExpiresAt(machine) + 1
	if !claim.ExpireLease(machine, now) {
		t.Fatalf("lease not expired at %d, state %v", now, machine.State())
	}
	return now
}

// checkEnded checks that a heartbeat of an ended incarnation was ignored.
func checkEnded(t *testing.T, machine *Machine, got Disposition) {
	t.Helper()
	if got != Stale || machine.State() != LeaseExpired {
		t.Errorf("ended incarnation: got %v, state %v, want %v, %v", got, machine.State(), Stale, LeaseExpired)
	}
}

// Tests that a heartbeat which the network delayed until its incarnation had ended is ignored.
func TestLateHeartbeatOfEndedIncarnationIsStale(t *testing.T) {
	claim, machine := newTestMachine(0)
	if got := claim.ReceiveHeartbeat(machine, 10, 1, 1, olderToken); got != QueryTasks {
		t.Fatalf("heartbeat with an older token: got %v, want %v", got, QueryTasks)
	}
	if got := claim.ReceiveHeartbeat(machine, 20, 1, 2, testToken); got != Accept {
		t.Fatalf("heartbeat with the claim's token: got %v, want %v", got, Accept)
	}
	expiredAt := expireLease(t, claim, machine)
	checkEnded(t, machine, claim.ReceiveHeartbeat(machine, expiredAt+5, 1, 3, testToken))
	got := claim.ReceiveHeartbeat(machine, expiredAt+9, 2, 4, testToken)
	if got != AcceptNewIncarnation || !machine.IsReconciled() {
		t.Errorf("next incarnation: got %v, state %v, want %v, %v",
			got, machine.State(), AcceptNewIncarnation, Reconciled)
	}
}

// Tests that a copy of a heartbeat never renews the lease and gets no response. A heartbeat that a
// query response superseded gets one, since the worker waits for it.
func TestDuplicateHeartbeatsRenewNoLease(t *testing.T) {
	claim, machine := newTestMachine(0)
	claim.ReceiveHeartbeat(machine, 10, 1, 1, olderToken)
	claim.ReceiveHeartbeat(machine, 20, 1, 2, testToken)
	claim.ReceiveQueryResponse(machine, 30, 1, 4, testToken)
	got := claim.ReceiveHeartbeat(machine, 40, 1, 3, testToken)
	if got != RenewOnly || machine.LastHeartbeatAt != 40 {
		t.Errorf("superseded heartbeat: got %v, last heartbeat at %d, want %v, 40",
			got, machine.LastHeartbeatAt, RenewOnly)
	}
	for _, seq := range []uint64{1, 2, 3} {
		got := claim.ReceiveHeartbeat(machine, 50, 1, seq, testToken)
		if got != Stale || machine.LastHeartbeatAt != 40 {
			t.Errorf("copy of heartbeat %d: got %v, last heartbeat at %d, want %v, 40",
				seq, got, machine.LastHeartbeatAt, Stale)
		}
	}
	expireLease(t, claim, machine)
}

// Tests that a heartbeat of the incarnation that received the claim's token is stale once the lease has
// expired, even if a copy from an earlier incarnation arrived in between.
func TestEarlierIncarnationDoesNotReviveAnEndedOne(t *testing.T) {
	claim, machine := newTestMachine(0)
	if got := claim.ReceiveHeartbeat(machine, 10, 5, 20, olderToken); got != QueryTasks {
		t.Fatalf("incarnation 5: got %v, want %v", got, QueryTasks)
	}
	if got := claim.ReceiveHeartbeat(machine, 12, 3, 11, olderToken); got != Stale {
		t.Fatalf("incarnation 3: got %v, want %v", got, Stale)
	}
	if got := machine.NotifiedIncarnation(); got != 5 {
		t.Fatalf("notified incarnation: got %d, want 5", got)
	}
	expiredAt := expireLease(t, claim, machine)
	checkEnded(t, machine, claim.ReceiveHeartbeat(machine, expiredAt+5, 5, 21, testToken))
}

// Tests that a machine which sends heartbeats but receives no responses is accounted for only when every
// incarnation that an earlier owner knew must have ended. Just before the claim, a response of the
// earlier owner may have renewed the lease of one.
func TestInboundPartitionedMachineIsAccountedForAfterLease(t *testing.T) {
	const claimedAt = 100
	claim, machine := newTestMachine(claimedAt)
	leaseEnd := claimedAt + claim.maxLeaseMS() + ResponseTTLMS
	for seq, now := uint64(1), int64(200); now <= leaseEnd; seq, now = seq+1, now+300 {
		expected := QueryTasks
		if now > claimedAt+claim.maxLeaseMS() {
			expected = NotifyToken
		}
		got := claim.ReceiveHeartbeat(machine, now, 1+seq/40, seq, olderToken)
		if got != expected || machine.IsAccountedFor() || len(claim.Unreported()) != 1 {
			t.Fatalf("at %d: got %v, state %v, accounted for %v, %d unreported, want %v, false, 1 unreported",
				now, got, machine.State(), machine.IsAccountedFor(), len(claim.Unreported()), expected)
		}
	}
	if got := claim.ReceiveHeartbeat(machine, leaseEnd+1, 2, 900, olderToken); got != NotifyToken {
		t.Errorf("after the lease: got %v, want %v", got, NotifyToken)
	}
	if !machine.IsAccountedFor() || !machine.IsInboundPartitioned() || len(claim.Unreported()) != 0 {
		t.Errorf("after the lease: got accounted for %v, inbound partitioned %v, %d unreported, want true, true, 0",
			machine.IsAccountedFor(), machine.IsInboundPartitioned(), len(claim.Unreported()))
	}
	if machine.IsReconciled() {
		t.Error("machine is reconciled without the claim's token")
	}
	if got := claim.ReceiveHeartbeat(machine, leaseEnd+9, 2, 901, testToken); got != Accept {
		t.Errorf("after the partition: got %v, want %v", got, Accept)
	}
	if !machine.IsReconciled() || machine.IsInboundPartitioned() {
		t.Errorf("after the partition: got state %v, inbound partitioned %v, want %v, false",
			machine.State(), machine.IsInboundPartitioned(), Reconciled)
	}
}

// Guards against ran_cancelled: a response with the claim's token renews the lease of a worker on which a delayed
// command of an earlier claim may still start a task. Only workers that no such command can reach get one at once.
func TestWorkerWithEarlierTokenIsQueriedBeforeItsLeaseIsRenewed(t *testing.T) {
	const claimedAt = 100
	leaseEnd := claimedAt + NewClaim(modelSettings, testToken, claimedAt).maxLeaseMS()
	for _, c := range []struct {
		name     string
		token    uint64
		at       int64
		expected Disposition
	}{
		{"at the claim", olderToken, claimedAt, QueryTasks},
		{"within a lease of the claim", olderToken, leaseEnd, QueryTasks},
		{"every earlier incarnation has ended", olderToken, leaseEnd + 1, NotifyToken},
		{"the worker has no token", 0, claimedAt, NotifyToken},
		{"the worker has the claim's token", testToken, claimedAt, Accept},
	} {
		t.Run(c.name, func(t *testing.T) {
			claim, machine := newTestMachine(claimedAt)
			if got := claim.ReceiveHeartbeat(machine, c.at, 1, 1, c.token); got != c.expected {
				t.Errorf("got %v, want %v", got, c.expected)
			}
		})
	}
}
