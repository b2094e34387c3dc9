package quota

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/grebedock/grebedock/access"
	"github.com/grebedock/grebedock/indoubt"
)

// The explorer visits all orders of events within small bounds. Events are task starts and ends,
// grants and requests, writes that are applied late or whose responses are lost, and members that
// fail and whose shards others adopt. All of them may be concurrent. The explorer runs the real
// Ledger; only the state service and the machines are models.

// inFlightWrite is a write whose request or response is in transit.
type inFlightWrite struct {
	member       int // member that sent the write
	incarnation  int // incarnation of that member
	fencingToken int // fencing token of the shard's claim
	write        Write
	arrived      bool // the state service has processed the write; the response is in transit
	applied      bool
}

type clusterState struct {
	revision      uint64
	record        *Record
	owners        []int // owner of each shard, or -1
	fencingTokens []int // fencing token of each shard
	incarnations  []int // incarnation of each member
	ledgers       []*Ledger
	used          []int // usage of each shard on its machines
	inFlight      []inFlightWrite
	failures      int
	writes        int
}

func (l *Ledger) clone() *Ledger {
	c := *l
	if l.pendingWrite != nil {
		w := *l.pendingWrite
		c.pendingWrite = &w
	}
	return &c
}

func (s *clusterState) clone() *clusterState {
	copied := *s
	copied.owners = slices.Clone(s.owners)
	copied.fencingTokens = slices.Clone(s.fencingTokens)
	copied.incarnations = slices.Clone(s.incarnations)
	copied.used = slices.Clone(s.used)
	copied.inFlight = slices.Clone(s.inFlight)
	copied.ledgers = make([]*Ledger, len(s.ledgers))
	for i, ledger := range s.ledgers {
		copied.ledgers[i] = ledger.clone()
	}
	return &copied
}

// digest encodes the properties that distinguish states as numbers.
type digest []byte

func (d *digest) putInts(ns ...int) {
	for _, n := range ns {
		*d = strconv.AppendInt(*d, int64(n), 36)
		*d = append(*d, ' ')
	}
}

func (d *digest) putBools(bs ...bool) {
	for _, b := range bs {
		if b {
			d.putInts(1)
		} else {
			d.putInts(0)
		}
	}
}

func (d *digest) putRecord(r *Record) {
	if r == nil {
		d.putInts(-1)
		return
	}
	// Amounts are whole numbers or fractions with small denominators in this model.
	thousandths := func(v float64) int { return int(math.Round(v * 1000)) }
	for i := range 3 {
		allocation := r.Allocations[shardName(i)]
		request, hasRequest := r.Requests[shardName(i)]
		d.putInts(
			thousandths(allocation.CPUs),
			thousandths(request.CPUs),
			thousandths(request.Startable.CPUs),
			thousandths(request.MinIncrement.CPUs),
		)
		d.putBools(hasRequest)
	}
}

// nextAfterRefusal and nextAfterRead return the next step after a refusal and after a read of the same
// revision. They work on a copy of the write. Together they distinguish all states of a write.
func nextAfterRefusal(w indoubt.ConditionalWrite) indoubt.NextStep {
	return w.CompleteAttempt(access.Refused)
}

func nextAfterRead(w indoubt.ConditionalWrite) indoubt.NextStep {
	return w.CompleteRead(access.OK, w.Revision)
}

func (s *clusterState) hash() uint64 {
	var d digest
	d.putInts(int(s.revision), s.failures, s.writes)
	d.putInts(s.owners...)
	d.putInts(s.used...)
	d.putRecord(s.record)
	for _, ledger := range s.ledgers {
		d.putInts(int(ledger.revision))
		d.putBools(ledger.pendingWrite != nil)
		d.putRecord(ledger.record)
		if ledger.pendingWrite != nil {
			d.putInts(int(ledger.pendingWrite.Shard[0]), int(ledger.pendingWrite.Revision))
			d.putInts(
				int(nextAfterRefusal(ledger.pendingWrite.ConditionalWrite)),
				int(nextAfterRead(ledger.pendingWrite.ConditionalWrite)),
			)
			d.putRecord(&ledger.pendingWrite.Record)
		}
	}
	for _, flight := range s.inFlight {
		// For tokens and incarnations, only whether they are current matters.
		d.putInts(flight.member, int(flight.write.Shard[0]), int(flight.write.Revision))
		d.putBools(
			flight.incarnation == s.incarnations[flight.member],
			flight.fencingToken == s.fencingTokens[flight.write.Shard[0]-'a'],
			flight.arrived,
			flight.applied,
		)
		d.putRecord(&flight.write.Record)
	}
	return xxhash.Sum64(d)
}

const teamLimit = 2

// exploreDeep raises the bounds beyond those of the usual run. Such a run takes hours and much memory.
var exploreDeep = flag.Bool("deep", false, "explore three writes and two member failures")

func shardName(i int) string { return string(rune('a' + i)) }

// fault is a fault planted in the model, to verify that the explorer finds it.
type fault int

const (
	noFault                  fault = iota
	treatsLostAsUnapplied          // a write without a response counts as not applied
	treatsRefusalAsUnapplied       // a refused write counts as not applied, regardless of earlier attempts
	ignoresPendingGrants           // the writer uses the allocation that it grants until the write is applied
	acceptsStaleClaims             // the state service accepts writes of former claims
	adoptsFromStaleCache           // an adopter starts tasks before its state cache is current
)

type explorer struct {
	fault       fault
	maxWrites   int // bounds
	maxFailures int
	seen        map[uint64]bool
	queue       []*clusterState
	violation   string
	stepsTaken  map[string]bool // kinds of steps that were taken
}

func (x *explorer) allocation(s *clusterState, shard int) float64 {
	ledger := s.ledgers[s.owners[shard]]
	if x.fault == ignoresPendingGrants {
		return ledger.Allocations()[shardName(shard)].CPUs
	}
	return ledger.Allocation(shardName(shard)).CPUs
}

func (x *explorer) visit(s *clusterState, step string) {
	x.stepsTaken[strings.Fields(step)[0]] = true
	used, allocated := 0, 0.0
	for i, n := range s.used {
		used += n
		if s.owners[i] >= 0 {
			allocated += x.allocation(s, i)
		}
	}
	stored := 0.0
	if s.record != nil {
		for _, p := range s.record.Allocations {
			stored += p.CPUs
		}
	}
	storedDiffers := math.Abs(stored-teamLimit) > roundingTolerance
	switch {
	case used > teamLimit:
		x.violation = fmt.Sprintf("usage after %s: got %d, want at most %d", step, used, teamLimit)
	case allocated > teamLimit+roundingTolerance:
		x.violation = fmt.Sprintf("sum of allocations in use after %s: got %g, want at most %d",
			step, allocated, teamLimit)
	case s.record != nil && storedDiffers:
		x.violation = fmt.Sprintf("sum of stored allocations after %s: got %g, want %d", step, stored, teamLimit)
	}
	if k := s.hash(); !x.seen[k] {
		x.seen[k] = true
		x.queue = append(x.queue, s)
	}
}

// resolveWrite performs the next steps of a write, up to and including a resend.
func (x *explorer) resolveWrite(state *clusterState, member int, next indoubt.NextStep, write Write, fencingToken int) {
	for next != indoubt.Settled {
		ledger := state.ledgers[member]
		if next == indoubt.ReadBack {
			read := access.OK
			if state.record == nil {
				read = access.NotFound
			}
			if next = ledger.Resolve(read, state.record, state.revision); next == indoubt.ReadBack {
				panic("Resolve returned ReadBack after a successful read")
			}
			continue
		}
		shard := int(write.Shard[0] - 'a')
		if state.owners[shard] != member || state.fencingTokens[shard] != fencingToken {
			ledger.Abandon()
			return
		}
		// Resend the same write.
		state.inFlight = append(state.inFlight, inFlightWrite{
			member:       member,
			incarnation:  state.incarnations[member],
			fencingToken: fencingToken,
			write:        write,
		})
		return
	}
}

func (x *explorer) expand(state *clusterState) {
	for shard := range state.used {
		if state.owners[shard] < 0 {
			x.adoptShard(state, shard)
			continue
		}
		x.runTasks(state, shard)
		if state.writes < x.maxWrites {
			x.proposeWrites(state, shard)
		}
	}
	for n := range state.inFlight {
		x.deliver(state, n)
		x.failAttempt(state, n)
	}
	mayFail := state.failures < x.maxFailures
	for member, ledger := range state.ledgers {
		if ledger.revision < state.revision { // the watch delivers the current record
			next := state.clone()
			next.ledgers[member].Observe(state.record, state.revision)
			x.visit(next, "observe")
		}
		if mayFail {
			x.failMember(state, member)
		}
	}
	if mayFail {
		x.restartAll(state)
	}
}

// adoptShard lets each member adopt a shard without an owner, together with its running tasks.
func (x *explorer) adoptShard(state *clusterState, shard int) {
	for member := range state.ledgers {
		if state.ledgers[member].revision < state.revision && x.fault != adoptsFromStaleCache {
			continue
		}
		next := state.clone()
		next.owners[shard] = member
		next.fencingTokens[shard]++
		x.visit(next, "adopt")
	}
}

func (x *explorer) runTasks(state *clusterState, shard int) {
	if x.allocation(state, shard)-float64(state.used[shard]) >= 1 {
		next := state.clone()
		next.used[shard]++
		x.visit(next, "start")
	}
	if state.used[shard] > 0 {
		next := state.clone()
		next.used[shard]--
		x.visit(next, "end")
	}
}

func (x *explorer) proposeWrites(state *clusterState, shard int) {
	owner := state.owners[shard]
	for _, pending := range []float64{0, 2} {
		next := state.clone()
		write := next.ledgers[owner].Propose(0, shardName(shard), Demand{
			Used:           Amounts{CPUs: float64(state.used[shard])},
			Pending:        Amounts{CPUs: pending},
			Startable:      Amounts{CPUs: pending},
			LargestPending: Amounts{CPUs: min(pending, 1)},
		})
		if write == nil {
			continue
		}
		next.writes++
		next.inFlight = append(next.inFlight, inFlightWrite{
			member:       owner,
			incarnation:  next.incarnations[owner],
			fencingToken: next.fencingTokens[shard],
			write:        *write,
		})
		x.visit(next, "write")
	}
}

// awaitsOutcome reports whether the member that sent a write still waits for its outcome.
func (s *clusterState) awaitsOutcome(flight inFlightWrite) bool {
	pending := s.ledgers[flight.member].pendingWrite
	return s.incarnations[flight.member] == flight.incarnation && pending != nil &&
		pending.Shard == flight.write.Shard && pending.Revision == flight.write.Revision
}

// deliver delivers a write to the state service, or the response to the member.
func (x *explorer) deliver(state *clusterState, n int) {
	flight := state.inFlight[n]
	next := state.clone()
	if !flight.arrived {
		shard := int(flight.write.Shard[0] - 'a')
		claimHeld := flight.fencingToken == state.fencingTokens[shard] && state.owners[shard] >= 0
		arriving := &next.inFlight[n]
		arriving.arrived = true
		if (claimHeld || x.fault == acceptsStaleClaims) && flight.write.Revision == state.revision {
			arriving.applied = true
			next.revision++
			record := flight.write.Record
			next.record = &record
		}
		x.visit(next, "process")
		return
	}
	next.inFlight = slices.Delete(next.inFlight, n, n+1)
	ledger, awaited := next.ledgers[flight.member], state.awaitsOutcome(flight)
	switch {
	case awaited && flight.applied:
		record := flight.write.Record
		ledger.Observe(&record, flight.write.Revision+1)
		ledger.RecordOutcome(access.OK)
	case awaited:
		x.resolveWrite(next, flight.member, ledger.RecordOutcome(access.Conflict), flight.write, flight.fencingToken)
	}
	x.visit(next, "respond")
}

// failAttempt fails an attempt that, to the writer's knowledge, did not apply the write.
func (x *explorer) failAttempt(state *clusterState, n int) {
	flight, awaited := state.inFlight[n], state.awaitsOutcome(state.inFlight[n])
	recordFailure := func(step string, outcome access.Outcome, removed bool, ignoredBy fault) {
		next := state.clone()
		if removed {
			next.inFlight = slices.Delete(next.inFlight, n, n+1)
		}
		if ledger := next.ledgers[flight.member]; x.fault == ignoredBy {
			ledger.pendingWrite = nil
		} else {
			x.resolveWrite(next, flight.member, ledger.RecordOutcome(outcome), flight.write, flight.fencingToken)
		}
		x.visit(next, step)
	}
	if awaited && len(state.inFlight) < 3 { // no response; the write may still be in transit
		recordFailure("lost", access.Unknown, flight.arrived, treatsLostAsUnapplied)
	}
	if awaited && !flight.arrived { // the state service refuses this attempt
		recordFailure("refused", access.Refused, true, treatsRefusalAsUnapplied)
	}
	if !flight.arrived && !awaited { // the network loses the write
		next := state.clone()
		next.inFlight = slices.Delete(next.inFlight, n, n+1)
		x.visit(next, "dropped")
	}
}

// failMember restarts a member, or lets its lease expire.
func (x *explorer) failMember(state *clusterState, member int) {
	next := state.clone()
	next.restart(member)
	x.visit(next, "restart")
	next = state.clone()
	next.loseShards(member)
	x.visit(next, "lease-expiry")
}

func (x *explorer) restartAll(state *clusterState) {
	next := state.clone()
	for member := range state.ledgers {
		next.restart(member)
	}
	next.failures = x.maxFailures
	x.visit(next, "restart-all")
}

// loseShards removes a running member's shards after its lease expires.
func (s *clusterState) loseShards(member int) {
	s.failures++
	for i, owner := range s.owners {
		if owner == member {
			s.owners[i] = -1
		}
	}
}

// restart restarts a member with the record in the state service. Its shards have no owner until a
// member claims them.
func (s *clusterState) restart(member int) {
	s.loseShards(member)
	s.incarnations[member]++
	s.ledgers[member] = NewLedger(Amounts{CPUs: teamLimit}, "a")
	s.ledgers[member].Observe(s.record, s.revision)
}

// explore visits all states within the bounds, up to maxStates.
func explore(shards, maxWrites, maxFailures int, planted fault, maxStates int) *explorer {
	x := &explorer{
		fault:       planted,
		maxWrites:   maxWrites,
		maxFailures: maxFailures,
		seen:        map[uint64]bool{},
		stepsTaken:  map[string]bool{},
	}
	s := &clusterState{}
	for i := range shards {
		s.owners = append(s.owners, i)
		s.fencingTokens = append(s.fencingTokens, 1)
		s.incarnations = append(s.incarnations, 0)
		s.used = append(s.used, 0)
		s.ledgers = append(s.ledgers, NewLedger(Amounts{CPUs: teamLimit}, "a"))
	}
	x.visit(s, "begin")
	for len(x.queue) > 0 && x.violation == "" && len(x.seen) < maxStates {
		s := x.queue[0]
		x.queue = x.queue[1:]
		x.expand(s)
	}
	return x
}

// In any order of events, neither the usage nor the members' allocations exceed the limit, and the stored
// allocations add up to the limit. The test explores two members with two shards, two writes, and a restart
// of one or both members. With three members it explores only the first states, up to a bound.
func TestEveryEventOrderKeepsTeamLimit(t *testing.T) {
	writes, failures, maxStates := 2, 1, 20_000
	if *exploreDeep {
		writes, failures, maxStates = 3, 2, 3_000_000
	}
	x := explore(2, writes, failures, noFault, 1<<40)
	if x.violation != "" {
		t.Fatal(x.violation)
	}
	for _, step := range []string{
		"adopt", "start", "end", "write", "process", "respond", "lost", "refused", "dropped",
		"observe", "restart", "lease-expiry", "restart-all",
	} {
		if !x.stepsTaken[step] {
			t.Errorf("step %q was never taken", step)
		}
	}
	t.Logf("two members: explored all %d states", len(x.seen))
	if x = explore(3, writes, failures, noFault, maxStates); x.violation != "" {
		t.Fatal(x.violation)
	}
	t.Logf("three members: explored the first %d states", len(x.seen))
}

// The explorer finds a violation for each planted fault.
func TestExplorerFindsPlantedFaults(t *testing.T) {
	for planted, name := range map[fault]string{
		treatsLostAsUnapplied:    "lost response counts as not applied",
		treatsRefusalAsUnapplied: "refusal counts for earlier attempts",
		ignoresPendingGrants:     "grants stay in use until applied",
		acceptsStaleClaims:       "state service accepts writes of former claims",
		adoptsFromStaleCache:     "adopter has a stale state cache",
	} {
		t.Run(name, func(t *testing.T) {
			x := explore(2, 2, 1, planted, 1<<40)
			if x.violation == "" {
				t.Fatalf("no violation in %d states, want one", len(x.seen))
			}
			t.Logf("found after %d states: %s", len(x.seen), x.violation)
		})
	}
}
