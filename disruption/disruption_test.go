package disruption

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed, so that the verdict is the same in every run.
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
		t.Run(tc.text, func(t *testing.T) {
			err := tc.budget.Validate()
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != tc.field || err.Error() != tc.text {
				t.Errorf("got %v, want field %s: %s", err, tc.field, tc.text)
			}
		})
	}
}

// model has a leader that issues, shards that reserve, stop and settle, a store that applies
// writes late, never or without an answer, and leaders and owners that end at any moment. It counts
// the stops that were sent, not the ledger's tokens.
type model struct {
	budget   Budget
	issued   map[string]map[string]uint64 // in the store
	records  map[string]Record            // in the store, by shard
	ledger   *Ledger
	accounts map[string]*Account
	down     map[string]map[string]bool // by shard and task
	now      int64
	// skipsReservation is planted: shards stop tasks that they have not reserved.
	skipsReservation bool
}

const (
	modelTeam       = "ops"
	modelRunning    = 20 // tasks of each shard
	modelMaxReserve = 6
)

var modelShards = []string{"a", "b", "c"}

// runModel returns the first violation in a random history, if there is one.
func runModel(t *rapid.T, skipsReservation bool) (violation string) {
	m := &model{
		budget: Budget{
			MaxTasks: rapid.IntRange(0, 4).Draw(t, "tasks"),
			MaxShare: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "share"),
		},
		issued:           map[string]map[string]uint64{},
		records:          map[string]Record{},
		ledger:           NewLedger(nil),
		accounts:         map[string]*Account{},
		down:             map[string]map[string]bool{},
		skipsReservation: skipsReservation,
	}
	for _, shard := range modelShards {
		m.accounts[shard] = OpenAccount(Record{}, modelMaxReserve)
		m.down[shard] = map[string]bool{}
	}
	for range 120 {
		m.now += rapid.Int64Range(0, 500).Draw(t, "ms")
		m.step(t, modelShards[rapid.IntRange(0, 2).Draw(t, "shard")])
		if violation := m.violation(); violation != "" {
			return violation
		}
	}
	return ""
}

func (m *model) step(t *rapid.T, shard string) {
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0, 1:
		m.issue(t)
	case 2: // a new leader
		m.ledger = NewLedger(m.issued)
	case 3, 4:
		m.reserve(t, shard)
	case 5:
		m.stop(shard)
	case 6:
		m.settle(t, shard)
	case 7:
		m.store(t, shard)
	case 8: // a new owner, which has what the store has
		m.accounts[shard] = OpenAccount(m.records[shard], modelMaxReserve)
	}
}

// issue has the leader issue by random demands and what the store has.
func (m *model) issue(t *rapid.T) {
	demands, settled := map[string]Demand{}, map[string]uint64{}
	for _, shard := range modelShards {
		demands[shard] = Demand{
			Requested: rapid.IntRange(0, 5).Draw(t, "requested"),
			Running:   modelRunning - len(m.down[shard]),
		}
		settled[shard] = m.records[shard].Settled[modelTeam]
	}
	issued := m.ledger.Issue(m.now, modelTeam, m.budget, demands, settled)
	if issued && rapid.IntRange(0, 3).Draw(t, "stored") > 0 {
		m.issued = m.ledger.Issued()
	}
}

// reserve has a shard reserve tasks, all of them or none, or lose one.
func (m *model) reserve(t *rapid.T, shard string) {
	tasks := map[string]uint64{}
	for range rapid.IntRange(1, 3).Draw(t, "n") {
		tasks[fmt.Sprintf("%s%d", shard, rapid.IntRange(0, 9).Draw(t, "task"))] = uint64(m.now)
	}
	for task := range tasks {
		if m.down[shard][task] {
			delete(tasks, task)
		}
	}
	if m.skipsReservation && len(tasks) > 0 {
		for task := range tasks {
			m.down[shard][task] = true
		}
		return
	}
	account, lost := m.accounts[shard], shard+"-lost"
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		account.RecordLoss(lost, modelTeam)
	} else {
		account.RecordRecovery(lost)
	}
	account.Reserve(modelTeam, m.issued[shard][modelTeam], tasks)
}

// stop has a shard stop the tasks whose reservations the store has.
func (m *model) stop(shard string) {
	account := m.accounts[shard]
	account.EachReserved(func(task string, stopped StoppedTask) {
		if account.CanStop(task, stopped.Attempt) {
			m.down[shard][task] = true
		}
	})
}

// settle has stopped tasks run again, which the shard sees.
func (m *model) settle(t *rapid.T, shard string) {
	account := m.accounts[shard]
	account.EachReserved(func(task string, _ StoppedTask) {
		if m.down[shard][task] && rapid.Bool().Draw(t, "runs again") {
			delete(m.down[shard], task)
			account.Release(task)
		}
	})
	if rapid.IntRange(0, 5).Draw(t, "return") == 0 {
		account.ReturnUnspent(modelTeam, m.issued[shard][modelTeam])
	}
}

// store has a shard write its account. The write may be applied without an answer.
func (m *model) store(t *rapid.T, shard string) {
	account := m.accounts[shard]
	if !account.HasUnstoredChanges() {
		return
	}
	record := account.BuildRecord()
	if rapid.IntRange(0, 3).Draw(t, "applied") > 0 {
		m.records[shard] = record
		if rapid.IntRange(0, 3).Draw(t, "answered") > 0 {
			account.ConfirmStored(record)
			return
		}
	}
	account.MarkStoreFailed()
}

// violation returns which invariant is broken, if one is.
func (m *model) violation() string {
	down := 0
	for _, shard := range modelShards {
		down += len(m.down[shard])
		record, issued := m.records[shard], m.issued[shard][modelTeam]
		spent, settled := record.Spent[modelTeam], record.Settled[modelTeam]
		if settled > spent || spent > issued {
			return fmt.Sprintf("%s: issued %d, spent %d, settled %d", shard, issued, spent, settled)
		}
		if len(record.Reserved) > modelMaxReserve {
			return fmt.Sprintf("%s: %d reservations exceed the bound", shard, len(record.Reserved))
		}
	}
	if maxDown := m.budget.MaxDown(len(modelShards) * modelRunning); down > maxDown {
		return fmt.Sprintf("%d tasks are down, %d may be", down, maxDown)
	}
	return ""
}

// Whatever is lost, late or taken over, no more tasks are down than the budget allows. Without
// reservations, more are.
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
	t.Error("stops without reservations are not found")
}

// A window bounds what is issued within it, also if tokens are returned quickly.
func TestIssuesStayWithinWindow(t *testing.T) {
	ledger := NewLedger(nil)
	budget := Budget{MaxTasks: 10, WindowS: 60, MaxInWindow: 4}
	demands := map[string]Demand{"a": {Requested: 10, Running: 50}}
	settled := map[string]uint64{}
	issued := 0
	for now := int64(0); now < 59_000; now += 1000 {
		ledger.Issue(now, "ops", budget, demands, settled)
		issued = int(ledger.Issued()["a"]["ops"])
		settled["a"] = uint64(issued)
	}
	if issued != 4 {
		t.Errorf("within a window: got %d, want 4", issued)
	}
	ledger.Issue(61_000, "ops", budget, demands, settled)
	if issued := ledger.Issued()["a"]["ops"]; issued != 8 {
		t.Errorf("after two windows: got %d, want 8", issued)
	}
	demandsAfterLosses := map[string]Demand{"a": {Requested: 10, Running: 50, Lost: 25}}
	if ledger.Issue(62_000, "ops", Budget{MaxTasks: 20}, demandsAfterLosses, settled) {
		t.Error("issued while the team had lost more than its budget")
	}
}
