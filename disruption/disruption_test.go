package disruption

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// The same inputs every time, so that the verdict is the same.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000")); err != nil {
		panic(err)
	}
}

// The texts reach operators as they are.
func TestInvalidBudgetsAreRejectedNamingTheField(t *testing.T) {
	for _, valid := range []Budget{{}, {MaxTasks: 3, MaxShare: 0.1, MinReplicaShare: 0.5}} {
		if err := valid.Validate(); err != nil {
			t.Errorf("%+v: %v", valid, err)
		}
	}
	for _, tc := range []struct {
		budget      Budget
		field, text string
	}{
		{Budget{MaxTasks: -1}, "tasks", "tasks must be from 0 to 1000000"},
		{Budget{MaxShare: 1.5}, "share", "share must be from 0 to 1"},
		{Budget{WindowS: -1}, "window_s", "window_s must be from 0 to 86400"},
		{Budget{MaxInWindow: -1}, "in_window", "in_window must be from 0 to 1000000"},
		{Budget{WindowS: 5}, "window_s", "window_s and in_window go together"},
		{Budget{MaxInWindow: 5}, "window_s", "window_s and in_window go together"},
		{Budget{MinReplicaShare: 2}, "keep", "keep must be from 0 to 1"},
	} {
		t.Run(fmt.Sprintf("%+v", tc.budget), func(t *testing.T) {
			err := tc.budget.Validate()
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != tc.field || err.Error() != tc.text {
				t.Errorf("got %v, want field %s: %s", err, tc.field, tc.text)
			}
		})
	}
}

// The model: a leader that issues, shards that charge, stop and settle, a store that
// takes writes late, never or without an answer, and ends of leader and holders at any
// moment. Counted are stops that left, not the ledger.
type model struct {
	issued   map[string]map[string]uint64 // in the store
	records  map[string]Record
	ledger   *Ledger
	accounts map[string]*Account
	down     map[string]map[string]int // by shard, task: since when it is stopped
	now      int64
}

func runModel(t *rapid.T, skipReservation bool) string {
	budget := Budget{
		MaxTasks: rapid.IntRange(0, 4).Draw(t, "tasks"),
		MaxShare: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "share"),
	}
	shards := []string{"a", "b", "c"}
	m := &model{
		issued:   map[string]map[string]uint64{},
		records:  map[string]Record{},
		ledger:   NewLedger(nil),
		accounts: map[string]*Account{},
		down:     map[string]map[string]int{},
	}
	for _, shard := range shards {
		m.accounts[shard], m.down[shard] = OpenAccount(Record{}, 6), map[string]int{}
	}
	const running = 20 // of each shard
	maxDown := budget.MaxDown(3 * running)
	for range 120 {
		m.now += rapid.Int64Range(0, 500).Draw(t, "ms")
		shard := shards[rapid.IntRange(0, 2).Draw(t, "s")]
		account := m.accounts[shard]
		issued := m.issued[shard]["ops"]
		switch rapid.IntRange(0, 8).Draw(t, "what") {
		case 0, 1: // the leader issues, by what it hears and the store has
			demands, settled := map[string]Demand{}, map[string]uint64{}
			for _, peer := range shards {
				demands[peer] = Demand{Requested: rapid.IntRange(0, 5).Draw(t, "want"), Running: running - len(m.down[peer])}
				settled[peer] = m.records[peer].Settled["ops"]
			}
			if m.ledger.Issue(m.now, "ops", budget, demands, settled) && rapid.IntRange(0, 3).Draw(t, "stored") > 0 {
				m.issued = m.ledger.Issued()
			}
		case 2: // the leader ends
			m.ledger = NewLedger(m.issued)
		case 3, 4: // a shard charges, all at once or none
			tasks := map[string]uint64{}
			for range rapid.IntRange(1, 3).Draw(t, "n") {
				tasks[fmt.Sprintf("%s%d", shard, rapid.IntRange(0, 9).Draw(t, "task"))] = uint64(m.now)
			}
			for task := range tasks {
				if m.down[shard][task] != 0 {
					delete(tasks, task)
				}
			}
			if skipReservation && len(tasks) > 0 { // planted: it stops what it has not charged
				for task := range tasks {
					m.down[shard][task] = 1
				}
				break
			}
			if lost := fmt.Sprintf("%s-lost", shard); rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				account.RecordLoss(lost, "ops")
			} else {
				account.RecordRecovery(lost)
			}
			account.Reserve("ops", issued, tasks)
		case 5: // what the store has charged is stopped
			account.EachReserved(func(task string, stopped StoppedTask) {
				if account.CanStop(task, stopped.Attempt) {
					m.down[shard][task] = 1
				}
			})
		case 6: // a stopped task runs again, and that is seen
			account.EachReserved(func(task string, _ StoppedTask) {
				if m.down[shard][task] != 0 && rapid.Bool().Draw(t, "again") {
					delete(m.down[shard], task)
					account.Release(task)
				}
			})
			if rapid.IntRange(0, 5).Draw(t, "return") == 0 {
				account.ReturnUnspent("ops", issued)
			}
		case 7: // the account is written
			if account.HasUnstoredChanges() {
				record := account.BuildRecord()
				if rapid.IntRange(0, 3).Draw(t, "applied") > 0 {
					m.records[shard] = record
					if rapid.IntRange(0, 3).Draw(t, "told") > 0 {
						account.ConfirmStored(record)
						break
					}
				}
				account.MarkStoreFailed()
			}
		case 8: // the holder ends: the next one has what the store has
			m.accounts[shard] = OpenAccount(m.records[shard], 6)
		}
		down := 0
		for _, peer := range shards {
			down += len(m.down[peer])
			record := m.records[peer]
			if record.Settled["ops"] > record.Spent["ops"] || record.Spent["ops"] > m.issued[peer]["ops"] {
				return fmt.Sprintf(
					"%s: issued %d, spent %d, settled %d",
					peer,
					m.issued[peer]["ops"],
					record.Spent["ops"],
					record.Settled["ops"],
				)
			}
			if len(record.Reserved) > 6 {
				return "a record is larger than its bound"
			}
		}
		if down > maxDown {
			return fmt.Sprintf("%d tasks are down, %d may be", down, maxDown)
		}
	}
	return ""
}

// Whatever is lost, late or taken over, no more are down than the budget says; with a
// charge left out, they are.
func TestTasksDownNeverExceedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := runModel(t, false); violation != "" {
			t.Fatal(violation)
		}
	})
	for seed := range 200 {
		if rapid.Custom(func(t *rapid.T) string { return runModel(t, true) }).Example(seed) != "" {
			return
		}
	}
	t.Error("a charge that is left out is not found")
}

// A window bounds what is issued within it, also across quick returns.
func TestIssuesStayWithinWindow(t *testing.T) {
	ledger := NewLedger(nil)
	budget := Budget{MaxTasks: 10, WindowS: 60, MaxInWindow: 4}
	settled := map[string]uint64{}
	issued := 0
	for now := int64(0); now < 59_000; now += 1000 {
		ledger.Issue(now, "ops", budget, map[string]Demand{"a": {Requested: 10, Running: 50}}, settled)
		issued = int(ledger.Issued()["a"]["ops"])
		settled["a"] = uint64(issued)
	}
	if issued != 4 {
		t.Errorf("%d within a window of 4", issued)
	}
	ledger.Issue(61_000, "ops", budget, map[string]Demand{"a": {Requested: 10, Running: 50}}, settled)
	if issued := ledger.Issued()["a"]["ops"]; issued != 8 {
		t.Errorf("%d after two windows", issued)
	}
	if ledger.Issue(
		62_000,
		"ops",
		Budget{MaxTasks: 20},
		map[string]Demand{"a": {Requested: 10, Running: 50, Lost: 25}},
		settled,
	) {
		t.Error("issued while the team lost more than its budget")
	}
}
