package scheduler

import (
	"encoding/json"
	"testing"

	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/rollout"
)

// checkRecord compares the encoding of a record in the state service with a golden file, and checks
// that the record is decoded from it unchanged.
func checkRecord[T any](t *testing.T, path string) {
	t.Helper()
	var v T
	golden.Fill(&v)
	golden.CheckTags(t, "json", v)
	golden.RoundTrip(t, path, v, func(v T) ([]byte, error) { return mustEncode(v), nil },
		func(b []byte) (v T, err error) { return v, json.Unmarshal(b, &v) })
}

func TestStoredRecordsKeepTheirForm(t *testing.T) {
	checkRecord[jobRecord](t, "job.json")
	checkRecord[terminalRecord](t, "final.json")
	checkRecord[progressRecord](t, "progress.json")
	checkRecord[recoveryRecord](t, "memory.json")
	checkRecord[claimRecord](t, "shard.json") // also used by the leader's claim
	checkRecord[registryRecord](t, "roster.json")
	checkRecord[liveMachinesRecord](t, "up.json")
	checkRecord[catalogRecord](t, "catalog.json")
	checkRecord[Settings](t, "settings.json")
	checkRecord[quota.Record](t, "team.json")
	checkRecord[statusRecord](t, "note.json")
	checkRecord[rollout.Record](t, "rollout.json")
	checkRecord[disruption.Record](t, "disruption.json")
}

// TestStoredRecordsOmitEmptyFields checks which fields of an empty record are encoded.
func TestStoredRecordsOmitEmptyFields(t *testing.T) {
	var all []byte
	for _, v := range []any{
		jobRecord{Ranges: []Range{{}}},
		terminalRecord{},
		progressRecord{},
		recoveryRecord{},
		claimRecord{},
		registryRecord{},
		liveMachinesRecord{},
		catalogRecord{Types: []MachineType{{}}},
		Settings{},
		quota.Record{Requests: map[string]quota.Request{"team": {}}},
		statusRecord{Shards: []statusRecordShard{{Demands: []CapacityDemand{{}}}}},
		rollout.Record{},
		disruption.Record{},
	} {
		all = append(append(all, mustEncode(v)...), '\n')
	}
	golden.Compare(t, "empty.jsonl", all)
}

func TestStoreKeysKeepTheirForm(t *testing.T) {
	shards := newShardManager(&environment{params: Params{MaxValueBytes: 1024}})
	small := &taskRange{
		job:       &job{rec: jobRecord{Job: Job{ID: "job-7"}}},
		shardName: "m0",
		bounds:    Range{Lo: 3, Hi: 5},
	}
	small.done = newBitset(2)
	large := &taskRange{job: small.job, shardName: "m0", bounds: Range{Lo: 3, Hi: 1003}}
	large.done = newBitset(1000)
	for _, k := range []struct{ key, expected string }{
		{livePrefix, "l/"},
		{jobKey("job-7"), "l/j/job-7"},
		{registryPrefix, "l/m/"},
		{liveMachinesPrefix, "l/u/"},
		{claimKey("m0"), "l/s/m0"},
		{ClaimKey("m0"), "l/s/m0"},
		{teamKey("ops"), "l/t/ops"},
		{leaderKey, "l/lead"},
		{catalogKey, "l/catalog"},
		{settingsKey, "l/settings"},
		{statusPrefix, "l/n/"},
		{rolloutKey, "l/r/plan"},
		{disruptionPrefix, "l/d/"},
		{extensionPrefix, "l/x/"},
		{ExtensionPrefix, "l/x/"},
		{progressPrefix, "p/"},
		{recoveryKey("m0"), "p/m0/memory"},
		{shards.progressKey(small), "p/m0/2"},
		{shards.progressKey(large), "p/m0/job-7/3"},
		{terminalKey("job-7"), "f/job-7"},
		{TaskName("job-7", 3), "job-7/3"},
	} {
		if k.key != k.expected {
			t.Errorf("got key %q, want %q", k.key, k.expected)
		}
	}
}

// TestStoredEnumValuesKeepTheirForm checks the values of enumerations in records and responses.
func TestStoredEnumValuesKeepTheirForm(t *testing.T) {
	golden.Compare(t, "words.json", mustEncode([]any{
		Pending, Running, Done, Cancelled,
		Low, Normal, High, Production,
		Array, Service, Gang,
		CommandStart, CommandStop, CommandClear,
		SubmitJob, QueryJob, CancelJob,
		rollout.Pause, rollout.Resume, rollout.Abort,
	}))
}
