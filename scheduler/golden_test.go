package scheduler

import (
	"encoding/json"
	"testing"

	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/rollout"
)

// record holds the form of a record as the scheduler writes it to the state
// service, and as it reads it back.
func record[T any](t *testing.T, path string) {
	t.Helper()
	var v T
	golden.Fill(&v)
	golden.CheckTags(t, "json", v)
	golden.RoundTrip(t, path, v, func(v T) ([]byte, error) { return encode(v), nil },
		func(b []byte) (v T, err error) { return v, json.Unmarshal(b, &v) })
}

func TestStoredRecordsKeepTheirForm(t *testing.T) {
	record[jobRecord](t, "job.json")
	record[finalRecord](t, "final.json")
	record[progressRecord](t, "progress.json")
	record[memoryRecord](t, "memory.json")
	record[shardRecord](t, "shard.json") // the lead's too
	record[rosterRecord](t, "roster.json")
	record[upRecord](t, "up.json")
	record[catalogRecord](t, "catalog.json")
	record[Settings](t, "settings.json")
	record[quota.Record](t, "team.json")
	record[noteRecord](t, "note.json")
	record[rollout.Record](t, "rollout.json")
	record[disruption.Record](t, "disruption.json")
}

// TestStoredRecordsLeaveOutWhatIsEmpty holds which fields of an empty record
// are written.
func TestStoredRecordsLeaveOutWhatIsEmpty(t *testing.T) {
	var all []byte
	for _, v := range []any{jobRecord{Ranges: []Range{{}}}, finalRecord{}, progressRecord{}, memoryRecord{}, shardRecord{}, rosterRecord{}, upRecord{},
		catalogRecord{Types: []MachineType{{}}}, Settings{}, quota.Record{Wants: map[string]quota.Want{"team": {}}},
		noteRecord{Shards: []noteShard{{Needs: []Need{{}}}}}, rollout.Record{}, disruption.Record{}} {
		all = append(append(all, encode(v)...), '\n')
	}
	golden.Compare(t, "empty.jsonl", all)
}

func TestStoreKeysKeepTheirForm(t *testing.T) {
	m := &Member{p: Params{ValueBytes: 1024}}
	small := &work{job: &job{rec: jobRecord{Job: Job{ID: "job-7"}}}, shard: "m0", rng: Range{Lo: 3, Hi: 5}, done: newBits(2)}
	large := &work{job: small.job, shard: "m0", rng: Range{Lo: 3, Hi: 1003}, done: newBits(1000)}
	for _, k := range []struct{ got, want string }{
		{livePrefix, "l/"},
		{jobKey("job-7"), "l/j/job-7"},
		{machinePrefix, "l/m/"},
		{upPrefix, "l/u/"},
		{shardKey("m0"), "l/s/m0"},
		{ShardKey("m0"), "l/s/m0"},
		{teamKey("ops"), "l/t/ops"},
		{leadKey, "l/lead"},
		{catalogKey, "l/catalog"},
		{settingsKey, "l/settings"},
		{notePrefix, "l/n/"},
		{rolloutKey, "l/r/plan"},
		{disruptionPrefix, "l/d/"},
		{besidePrefix, "l/x/"},
		{BesidePrefix, "l/x/"},
		{progressPrefix, "p/"},
		{memoryKey("m0"), "p/m0/memory"},
		{m.pageKey(small), "p/m0/2"},
		{m.pageKey(large), "p/m0/job-7/3"},
		{finalKey("job-7"), "f/job-7"},
		{TaskName("job-7", 3), "job-7/3"},
	} {
		if k.got != k.want {
			t.Errorf("the key is %q, not %q", k.got, k.want)
		}
	}
}

// TestStoredWordsKeepTheirForm holds the values of enumerations that records
// and answers carry.
func TestStoredWordsKeepTheirForm(t *testing.T) {
	golden.Compare(t, "words.json", encode([]any{
		Pending, Running, Done, Cancelled, Low, Normal, High, Production, Array, Service, Gang, Start, Stop, Forget, Submit, Query, Cancel,
		rollout.Pause, rollout.Resume, rollout.Abort,
	}))
}
