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

// The explorer goes through all orders of events within small bounds: starts, ends,
// loans and wants, writes that are applied late or whose answers are lost, members
// that end and whose shards others adopt, all of them at once. It runs the real Book;
// only the state service and the machines are models.

// inFlightWrite is a write on its way, its answer, or both.
type inFlightWrite struct {
	member       int // who waits for the answer
	incarnation  int // and as which process
	fencingToken int // of the shard's claim
	write        Write
	arrived      bool // at the store, which answered
	applied      bool
}

type clusterState struct {
	revision      uint64
	record        *Record
	owners        []int // by shard: a member, or -1
	fencingTokens []int // by shard
	incarnations  []int // by member
	ledgers       []*Ledger
	used          []int // by shard: of the machines
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
	copied.owners, copied.fencingTokens, copied.incarnations, copied.used, copied.inFlight = slices.Clone(
		s.owners,
	), slices.Clone(
		s.fencingTokens,
	), slices.Clone(
		s.incarnations,
	), slices.Clone(
		s.used,
	), slices.Clone(
		s.inFlight,
	)
	copied.ledgers = make([]*Ledger, len(s.ledgers))
	for i, ledger := range s.ledgers {
		copied.ledgers[i] = ledger.clone()
	}
	return &copied
}

// digest writes what tells states apart as numbers.
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
	// Parts and wants are whole here, or fractions of small numbers.
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

// nextAfterRefusal and probe tell what a refusal and a read of the same revision would ask for:
// together all that a write's state is.
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
		// Of claims and processes it matters only whether they still stand.
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

// exploreDeep has the explorer go on where the usual run stops: hours, and much memory.
var exploreDeep = flag.Bool("deep", false, "explore three writes and two ends")

func shardName(i int) string { return string(rune('a' + i)) }

// fault is a mistake that is planted, to see that it is found.
type fault int

const (
	noFault                  fault = iota
	treatsLostAsUnapplied          // a write that nobody answered counts as not applied
	treatsRefusalAsUnapplied       // a write that was refused counts as not applied, whatever became of an earlier try
	ignoresPendingGrants           // what a write gives away counts until it is applied
	acceptsStaleClaims             // the store takes writes of claims that are over
	adoptsFromStaleMirror          // who adopts a shard starts there before it heard what was written until then
)

type explorer struct {
	fault       fault
	maxWrites   int // bounds
	maxFailures int
	seen        map[uint64]bool
	queue       []*clusterState
	violation   string
	stepsTaken  map[string]bool // kinds of steps that happened
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
	switch {
	case used > teamLimit:
		x.violation = fmt.Sprintf("%d in use after %s", used, step)
	case allocated > teamLimit+roundingTolerance:
		x.violation = fmt.Sprintf("members count on %g after %s", allocated, step)
	case s.record != nil && (stored > teamLimit+roundingTolerance || stored < teamLimit-roundingTolerance):
		x.violation = fmt.Sprintf("the parts are %g after %s", stored, step)
	}
	if k := s.hash(); !x.seen[k] {
		x.seen[k] = true
		x.queue = append(x.queue, s)
	}
}

// resolveWrite carries out what a book wants done about a write.
func (x *explorer) resolveWrite(state *clusterState, member int, next indoubt.NextStep, write Write, fencingToken int) {
	for next != indoubt.Settled {
		ledger := state.ledgers[member]
		if next == indoubt.ReadBack {
			read := access.OK
			if state.record == nil {
				read = access.NotFound
			}
			if next = ledger.Resolve(read, state.record, state.revision); next == indoubt.ReadBack {
				panic("read back again")
			}
			continue
		}
		if shard := int(write.Shard[0] - 'a'); state.owners[shard] != member || state.fencingTokens[shard] != fencingToken {
			ledger.Abandon()
			return
		}
		// SendAgain: the same write once more.
		state.inFlight = append(
			state.inFlight,
			inFlightWrite{member: member, incarnation: state.incarnations[member], fencingToken: fencingToken, write: write},
		)
		return
	}
}

func (x *explorer) expand(state *clusterState) {
	for shard := range state.used {
		owner := state.owners[shard]
		if owner < 0 {
			for member := range state.ledgers { // somebody adopts it, with what runs there
				if state.ledgers[member].revision < state.revision && x.fault != adoptsFromStaleMirror {
					continue
				}
				next := state.clone()
				next.owners[shard] = member
				next.fencingTokens[shard]++
				x.visit(next, "adopt")
			}
			continue
		}
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
		if state.writes < x.maxWrites {
			for _, pending := range []float64{0, 2} {
				next := state.clone()
				demand := Demand{
					Used:           Amounts{CPUs: float64(state.used[shard])},
					Pending:        Amounts{CPUs: pending},
					Startable:      Amounts{CPUs: pending},
					LargestPending: Amounts{CPUs: min(pending, 1)},
				}
				if write := next.ledgers[owner].Propose(0, shardName(shard), demand); write != nil {
					next.writes++
					next.inFlight = append(
						next.inFlight,
						inFlightWrite{
							member:       owner,
							incarnation:  next.incarnations[owner],
							fencingToken: next.fencingTokens[shard],
							write:        *write,
						},
					)
					x.visit(next, "write")
				}
			}
		}
	}
	for n, flight := range state.inFlight {
		shard := int(flight.write.Shard[0] - 'a')
		if !flight.arrived {
			next := state.clone()
			arriving := &next.inFlight[n]
			arriving.arrived = true
			if (flight.fencingToken == state.fencingTokens[shard] && state.owners[shard] >= 0 || x.fault == acceptsStaleClaims) &&
				flight.write.Revision == state.revision {
				arriving.applied = true
				next.revision++
				record := flight.write.Record
				next.record = &record
			}
			x.visit(next, "arrives")
		}
		awaitsOutcome := state.incarnations[flight.member] == flight.incarnation &&
			state.ledgers[flight.member].pendingWrite != nil &&
			state.ledgers[flight.member].pendingWrite.Shard == flight.write.Shard &&
			state.ledgers[flight.member].pendingWrite.Revision == flight.write.Revision
		if flight.arrived {
			next := state.clone()
			next.inFlight = slices.Delete(next.inFlight, n, n+1)
			if awaitsOutcome {
				if ledger := next.ledgers[flight.member]; flight.applied {
					record := flight.write.Record
					ledger.Observe(&record, flight.write.Revision+1)
					ledger.RecordOutcome(access.OK)
				} else {
					x.resolveWrite(next, flight.member, ledger.RecordOutcome(access.Conflict), flight.write, flight.fencingToken)
				}
			}
			x.visit(next, "answered")
		}
		// A try that did not bring the write through, as far as the writer knows.
		recordFailure := func(step string, outcome access.Outcome, removed bool, ignoredBy fault) {
			next := state.clone()
			if removed {
				next.inFlight = slices.Delete(next.inFlight, n, n+1)
			}
			if x.fault == ignoredBy {
				next.ledgers[flight.member].pendingWrite = nil
			} else {
				x.resolveWrite(next, flight.member, next.ledgers[flight.member].RecordOutcome(outcome), flight.write, flight.fencingToken)
			}
			x.visit(next, step)
		}
		if awaitsOutcome && len(state.inFlight) < 3 { // nobody answers; the write may still be on its way
			recordFailure("lost", access.Unknown, flight.arrived, treatsLostAsUnapplied)
		}
		if awaitsOutcome && !flight.arrived { // the state service refuses it, for now
			recordFailure("refused", access.Refused, true, treatsRefusalAsUnapplied)
		}
		if !flight.arrived && !awaitsOutcome { // the network loses it
			next := state.clone()
			next.inFlight = slices.Delete(next.inFlight, n, n+1)
			x.visit(next, "dropped")
		}
	}
	for member, ledger := range state.ledgers {
		if ledger.revision < state.revision { // the watch
			next := state.clone()
			next.ledgers[member].Observe(state.record, state.revision)
			x.visit(next, "heard")
		}
		if state.failures < x.maxFailures {
			next := state.clone()
			next.restart(member)
			x.visit(next, "ends")
			next = state.clone()
			next.loseShards(member)
			x.visit(next, "loses")
		}
	}
	if state.failures < x.maxFailures {
		next := state.clone()
		for member := range state.ledgers {
			next.restart(member)
		}
		next.failures = x.maxFailures
		x.visit(next, "all end")
	}
}

// loseShards has a member lose its shards and live on: its hold ended.
func (s *clusterState) loseShards(member int) {
	s.failures++
	for i, owner := range s.owners {
		if owner == member {
			s.owners[i] = -1
		}
	}
}

// restart ends a member. It starts again with what the store has; its shards are nobody's
// until somebody claims them.
func (s *clusterState) restart(member int) {
	s.loseShards(member)
	s.incarnations[member]++
	s.ledgers[member] = NewLedger(Amounts{CPUs: teamLimit}, "a")
	s.ledgers[member].Observe(s.record, s.revision)
}

// explore visits every state within the bounds, or as many as most.
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
		s.owners, s.fencingTokens, s.incarnations, s.used = append(
			s.owners,
			i,
		), append(
			s.fencingTokens,
			1,
		), append(
			s.incarnations,
			0,
		), append(
			s.used,
			0,
		)
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

// Two members with two shards, two writes, an end of one or of both: in no order of
// events is more in use than the limit, nor do members count on more, nor do the parts
// in the store add up to anything else. Three members, as far as there is time.
func TestEveryEventOrderKeepsTeamLimit(t *testing.T) {
	writes, failures, maxStates := 2, 1, 20_000
	if *exploreDeep {
		writes, failures, maxStates = 3, 2, 3_000_000
	}
	x := explore(2, writes, failures, noFault, 1<<40)
	if x.violation != "" {
		t.Fatal(x.violation)
	}
	for _, step := range []string{"adopt", "start", "end", "write", "arrives", "answered", "lost", "refused", "dropped", "heard", "ends", "loses", "all"} {
		if !x.stepsTaken[step] {
			t.Errorf("no step %q", step)
		}
	}
	t.Logf("two members: all %d states", len(x.seen))
	if x = explore(3, writes, failures, noFault, maxStates); x.violation != "" {
		t.Fatal(x.violation)
	}
	t.Logf("three members: the first %d states", len(x.seen))
}

// What is planted is found.
func TestExplorerFindsPlantedFaults(t *testing.T) {
	for planted, name := range map[fault]string{treatsLostAsUnapplied: "a lost answer counts as not applied", treatsRefusalAsUnapplied: "a refusal counts for the earlier try", ignoresPendingGrants: "gifts count until they are applied", acceptsStaleClaims: "writes of claims that are over are taken", adoptsFromStaleMirror: "an adopter with an old mirror"} {
		if x := explore(2, 2, 1, planted, 1<<40); x.violation == "" {
			t.Errorf("%s: not found in %d states", name, len(x.seen))
		} else {
			t.Logf("%s: %s, after %d states", name, x.violation, len(x.seen))
		}
	}
}
