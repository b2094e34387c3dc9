package disruption

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes the result the same in every run.
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000")); err != nil {
		panic(err)
	}
}

// The API returns the texts to operators unchanged.
func TestInvalidBudgetsAreRejectedNamingTheField(t *testing.T) {
	for _, valid := range []Budget{{}, {MaxTasks: 3, MaxShare: 0.1, MinReplicaShare: 0.5}} {
		if err := valid.Validate(); err != nil {
			t.Errorf("Validate of %+v: got error %v, want none", valid, err)
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

// model simulates a leader that issues tokens and shards that reserve, stop and settle. Writes to the state
// service are applied late, never, or without a response; leaders and owners are replaced at any time. The
// model counts the stops that were sent, not the ledger's tokens.
type model struct {
	budget   Budget
	issued   map[string]map[string]uint64 // stored, by shard and team
	records  map[string]Record            // stored, by shard
	ledger   *Ledger
	accounts map[string]*Account
	down     map[string]map[string]bool // stopped and not running again, by shard and task
	now      int64
	// skipsReservation injects a fault: shards stop tasks without reserving them.
	skipsReservation bool
}

const (
	modelTeam       = "ops"
	modelRunning    = 20 // tasks of each shard
	modelMaxReserve = 6
)

var modelShards = []string{"a", "b", "c"}

// runModel returns the first violation in a random sequence of steps, empty if there is none.
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
	case 8: // a new owner, which reads the stored record
		m.accounts[shard] = OpenAccount(m.records[shard], modelMaxReserve)
	}
}

// issue makes the leader issue tokens for random demands and the stored settled counters.
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

// reserve makes a shard reserve tasks, all of them or none, after it records a loss or a recovery.
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

// stop makes a shard stop the tasks whose reservations are stored.
func (m *model) stop(shard string) {
	account := m.accounts[shard]
	account.EachReserved(func(task string, stopped StoppedTask) {
		if account.CanStop(task, stopped.Attempt) {
			m.down[shard][task] = true
		}
	})
}

// settle makes stopped tasks run again, and the shard releases their reservations.
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

// store makes a shard write its account. The write may be applied without a response.
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

// violation describes the invariant that is violated, empty if none is.
func (m *model) violation() string {
	down := 0
	for _, shard := range modelShards {
		down += len(m.down[shard])
		record, issued := m.records[shard], m.issued[shard][modelTeam]
		spent, settled := record.Spent[modelTeam], record.Settled[modelTeam]
		if settled > spent || spent > issued {
			return fmt.Sprintf(
				"%s: got issued %d, spent %d, settled %d, want settled <= spent <= issued",
				shard, issued, spent, settled,
			)
		}
		if len(record.Reserved) > modelMaxReserve {
			return fmt.Sprintf("%s: got %d reservations, want at most %d", shard, len(record.Reserved), modelMaxReserve)
		}
	}
	if maxDown := m.budget.MaxDown(len(modelShards) * modelRunning); down > maxDown {
		return fmt.Sprintf("got %d tasks down, want at most %d", down, maxDown)
	}
	return ""
}

// Tasks that are down never exceed the budget, despite lost or late writes and new leaders and owners. If
// shards stop tasks without reservations, the model detects a violation.
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
	t.Error("got no violation although shards stop tasks without reservations, want one")
}

// The number of tokens issued within a window is limited even if tokens are returned quickly.
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
		t.Errorf("tokens issued within one window: got %d, want 4", issued)
	}
	ledger.Issue(61_000, "ops", budget, demands, settled)
	if issued := ledger.Issued()["a"]["ops"]; issued != 8 {
		t.Errorf("tokens issued after two windows: got %d, want 8", issued)
	}
	demandsAfterLosses := map[string]Demand{"a": {Requested: 10, Running: 50, Lost: 25}}
	if ledger.Issue(62_000, "ops", Budget{MaxTasks: 20}, demandsAfterLosses, settled) {
		t.Error("got tokens issued while the team's losses exceed its budget, want none")
	}
}
