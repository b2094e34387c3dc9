package schedules

import (
	"encoding/json"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/recurrence"
	"github.com/grebedock/grebedock/strict"
)

func checkRecord[T any](t *testing.T, path string) {
	t.Helper()
	var v T
	golden.Fill(&v)
	golden.CheckTags(t, "json", v)
	encode := func(v T) ([]byte, error) { return extension.Encode(v), nil }
	decode := func(b []byte) (v T, err error) { return v, json.Unmarshal(b, &v) }
	golden.RoundTrip(t, path, v, encode, decode)
}

func TestStoredRecordsKeepTheirForm(t *testing.T) {
	checkRecord[changeIndexRecord](t, "mark.json")
	checkRecord[definitionRecord](t, "definition.json")
	checkRecord[progressRecord](t, "progress.json")
	checkRecord[[]Decision](t, "page.json")
	var all []byte
	for _, v := range []any{changeIndexRecord{}, definitionRecord{}, progressRecord{}, Decision{}} {
		all = append(append(all, extension.Encode(v)...), '\n')
	}
	golden.Compare(t, "empty.jsonl", all)
}

func TestResponsesKeepTheirForm(t *testing.T) {
	checkRecord[Response](t, "answer.json")
}

// Operators keep calendar and schedule files, so files in the current format must remain valid.
func TestFilesKeepTheirForm(t *testing.T) {
	var f File
	golden.Fill(&f)
	golden.CheckTags(t, "toml", f)
	encode := func(f File) ([]byte, error) { return toml.Marshal(f) }
	decode := func(b []byte) (f File, err error) { return f, strict.Decode(b, &f) }
	golden.RoundTrip(t, "file.toml", f, encode, decode)
}

func TestWorkflowSubmissionKeepsItsForm(t *testing.T) {
	spec := Spec{
		Job: Job{Team: "ops", Class: "nightly", Priority: "high"},
		Workflow: &Workflow{
			Document: `{"class": "Workflow", "steps": []}`,
			Inputs:   WorkflowInputs{"samples": []any{"a", "b"}, "depth": 3},
		},
	}
	const expected = `{"document":{"class":"Workflow","steps":[]},"id":"run-1",` +
		`"inputs":{"depth":3,"samples":["a","b"]},"job":{"class":"nightly","priority":"high","team":"ops"}}`
	if got := string(spec.encodeSubmission("run-1")); got != expected {
		t.Errorf("got %s, want %s", got, expected)
	}
}

func TestStoreKeysKeepTheirForm(t *testing.T) {
	for _, k := range []struct{ got, expected string }{
		{ChangeIndexPrefix, "l/x/s/"},
		{changeIndexKey("m0"), "l/x/s/m0"},
		{definitionKey("m0", "nightly"), "s/m0/nightly"},
		{progressKey("m0", "nightly"), "sp/m0/nightly"},
		{historyKey("m0", "nightly", 7), "sh/m0/nightly/000007"},
	} {
		if k.got != k.expected {
			t.Errorf("got key %q, want %q", k.got, k.expected)
		}
	}
}

func TestPolicyValuesKeepTheirForm(t *testing.T) {
	golden.Compare(t, "policies.json", extension.Encode([]any{
		recurrence.Run, recurrence.Skip, recurrence.Next, recurrence.Previous, recurrence.GapAfter, recurrence.GapSkip,
		recurrence.OverlapFirst, recurrence.OverlapSecond, recurrence.OverlapBoth,
	}))
}
