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

func record[T any](t *testing.T, path string) {
	t.Helper()
	var v T
	golden.Fill(&v)
	golden.CheckTags(t, "json", v)
	golden.RoundTrip(t, path, v, func(v T) ([]byte, error) { return extension.Encode(v), nil },
		func(b []byte) (v T, err error) { return v, json.Unmarshal(b, &v) })
}

func TestStoredRecordsKeepTheirForm(t *testing.T) {
	record[changeIndexRecord](t, "mark.json")
	record[definitionRecord](t, "definition.json")
	record[progressRecord](t, "progress.json")
	record[[]Decision](t, "page.json")
	var all []byte
	for _, v := range []any{changeIndexRecord{}, definitionRecord{}, progressRecord{}, Decision{}} {
		all = append(append(all, extension.Encode(v)...), '\n')
	}
	golden.Compare(t, "empty.jsonl", all)
}

func TestAnswersKeepTheirForm(t *testing.T) {
	record[Response](t, "answer.json")
}

// TestFilesKeepTheirForm holds the operators' file of calendars and schedules.
func TestFilesKeepTheirForm(t *testing.T) {
	var f File
	golden.Fill(&f)
	golden.CheckTags(t, "toml", f)
	golden.RoundTrip(t, "file.toml", f, func(f File) ([]byte, error) { return toml.Marshal(f) },
		func(b []byte) (f File, err error) { return f, strict.Decode(b, &f) })
}

func TestStoreKeysKeepTheirForm(t *testing.T) {
	for _, k := range []struct{ got, want string }{
		{ChangeIndexPrefix, "l/x/s/"},
		{changeIndexKey("m0"), "l/x/s/m0"},
		{definitionKey("m0", "nightly"), "s/m0/nightly"},
		{progressKey("m0", "nightly"), "sp/m0/nightly"},
		{historyKey("m0", "nightly", 7), "sh/m0/nightly/000007"},
	} {
		if k.got != k.want {
			t.Errorf("the key is %q, not %q", k.got, k.want)
		}
	}
}

func TestPoliciesKeepTheirWords(t *testing.T) {
	golden.Compare(t, "policies.json", extension.Encode([]any{
		recurrence.Run, recurrence.Skip, recurrence.Next, recurrence.Previous, recurrence.GapAfter, recurrence.GapSkip,
		recurrence.OverlapFirst, recurrence.OverlapSecond, recurrence.OverlapBoth,
	}))
}
