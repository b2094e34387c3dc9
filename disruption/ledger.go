package disruption

import (
	"maps"
	"slices"
)

// Demand is what a shard requests and reports of a team.
type Demand struct {
	Requested int `msgpack:"Want"` // tasks that it would stop now
	Running   int `msgpack:"Running"`
	Lost      int `msgpack:"Lost"` // tasks lost against the team's will that do not run again yet
}

// Ledger is the leader's side: the tokens issued, by shard and team. The zero value is not
// ready; use NewLedger.
type Ledger struct {
	issued map[string]map[string]uint64
	recent map[string][]issuance // by team: what was issued within its window
}

type issuance struct {
	atMS  int64
	count int
}

// NewLedger continues from what an earlier leader issued. When that was is unknown, so windows
// begin empty; all that is not settled is outstanding.
func NewLedger(issued map[string]map[string]uint64) *Ledger {
	return &Ledger{issued: cloneCounters(issued), recent: map[string][]issuance{}}
}

// Issued returns a copy of the counters by shard and team, for the store.
func (l *Ledger) Issued() map[string]map[string]uint64 { return cloneCounters(l.issued) }

func cloneCounters(counters map[string]map[string]uint64) map[string]map[string]uint64 {
	cloned := make(map[string]map[string]uint64, len(counters))
	for shard, byTeam := range counters {
		cloned[shard] = maps.Clone(byTeam)
	}
	return cloned
}

// Issue issues tokens of a team to the shards that request them, within its budget, and reports
// whether any were. now is monotonic time in milliseconds. demands and settled are by shard;
// settled comes from the store, and a shard without an entry has settled nothing. The shard with
// the least outstanding comes first, one token at a time, so that none takes all.
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

// outstanding returns the tokens of a team that were issued and not settled, by shard.
func (l *Ledger) outstanding(team string, settled map[string]uint64) map[string]int {
	byShard := map[string]int{}
	for shard, byTeam := range l.issued {
		if n := int(byTeam[team] - min(byTeam[team], settled[shard])); n > 0 {
			byShard[shard] = n
		}
	}
	return byShard
}

// issuedInWindow returns how many tokens of a team were issued within its window, and forgets
// earlier ones.
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

// nextRecipient returns the shard with the least outstanding of those that request more, the first
// of several.
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
