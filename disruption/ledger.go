package disruption

import (
	"maps"
	"slices"
)

// Demand is a shard's request for a team's tokens, with the counts of the team's tasks in the shard.
type Demand struct {
	Requested int `msgpack:"Want"` // tasks that the shard would stop now
	Running   int `msgpack:"Running"`
	Lost      int `msgpack:"Lost"` // tasks lost involuntarily that do not run again yet
}

// Ledger holds the tokens that the leader has issued, by shard and team. The zero value is not ready for use;
// use NewLedger.
type Ledger struct {
	issued map[string]map[string]uint64
	recent map[string][]issuance // tokens issued within the team's window, keyed by team
}

type issuance struct {
	atMS  int64
	count int
}

// NewLedger restores a ledger from the counters that an earlier leader stored. The times of issue are not
// stored, so windows begin empty. All tokens that are not settled are outstanding.
func NewLedger(issued map[string]map[string]uint64) *Ledger {
	return &Ledger{issued: cloneCounters(issued), recent: map[string][]issuance{}}
}

// Issued returns a copy of the counters by shard and team, for the plan's record.
func (l *Ledger) Issued() map[string]map[string]uint64 { return cloneCounters(l.issued) }

func cloneCounters(counters map[string]map[string]uint64) map[string]map[string]uint64 {
	cloned := make(map[string]map[string]uint64, len(counters))
	for shard, byTeam := range counters {
		cloned[shard] = maps.Clone(byTeam)
	}
	return cloned
}

// Issue issues a team's tokens to the shards that request them, within the team's budget, and reports
// whether it issued any. now is monotonic time in milliseconds. demands and settled are keyed by shard;
// settled holds stored counters, and a shard without an entry has settled nothing. Each token goes to the
// shard with the fewest outstanding tokens, so that no shard takes all of them.
func (l *Ledger) Issue(
	now int64,
	team string,
	budget Budget,
	demands map[string]Demand,
	settled map[string]uint64,
) bool {
	outstanding := l.outstanding(team, settled)
	running, lost, total := 0, 0, 0
	for _, demand := range demands {
		running += demand.Running
		lost += demand.Lost
	}
	for _, n := range outstanding {
		total += n
	}
	available := budget.MaxDown(running+total) - total - lost
	if budget.MaxInWindow > 0 {
		available = min(available, budget.MaxInWindow-l.issuedInWindow(now, team, budget.WindowS))
	}
	shards := slices.Sorted(maps.Keys(demands))
	issuedNow := 0
	for issuedNow < available {
		shard, found := nextRecipient(shards, demands, outstanding)
		if !found {
			break
		}
		if l.issued[shard] == nil {
			l.issued[shard] = map[string]uint64{}
		}
		l.issued[shard][team]++
		outstanding[shard]++
		issuedNow++
	}
	if issuedNow == 0 {
		return false
	}
	l.recent[team] = append(l.recent[team], issuance{now, issuedNow})
	return true
}

// outstanding returns the number of a team's tokens that were issued and not settled, by shard.
func (l *Ledger) outstanding(team string, settled map[string]uint64) map[string]int {
	byShard := map[string]int{}
	for shard, byTeam := range l.issued {
		if n := int(byTeam[team] - min(byTeam[team], settled[shard])); n > 0 {
			byShard[shard] = n
		}
	}
	return byShard
}

// issuedInWindow returns how many of a team's tokens were issued within its window, and discards the entries
// of earlier ones.
func (l *Ledger) issuedInWindow(now int64, team string, windowS float64) int {
	l.recent[team] = slices.DeleteFunc(l.recent[team], func(issued issuance) bool {
		return now-issued.atMS >= int64(windowS*1000)
	})
	n := 0
	for _, issued := range l.recent[team] {
		n += issued.count
	}
	return n
}

// nextRecipient returns the shard with the fewest outstanding tokens among the shards that request more. On
// a tie it returns the first of them.
func nextRecipient(
	shards []string,
	demands map[string]Demand,
	outstanding map[string]int,
) (next string, found bool) {
	for _, shard := range shards {
		if outstanding[shard] >= demands[shard].Requested {
			continue
		}
		if !found || outstanding[shard] < outstanding[next] {
			next, found = shard, true
		}
	}
	return next, found
}
