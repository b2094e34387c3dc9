package workflow

import (
	"encoding/json"
	"testing"

	"github.com/grebedock/grebedock/extension"
	"github.com/grebedock/grebedock/internal/golden"
)

// checkRecordForm compares the JSON form of a record type with a golden file, in both directions.
func checkRecordForm[T any](t *testing.T, path string) {
	t.Helper()
	var v T
	golden.Fill(&v)
	golden.CheckTags(t, "json", v)
	golden.RoundTrip(t, path, v, func(v T) ([]byte, error) { return extension.Encode(v), nil },
		func(b []byte) (v T, err error) { return v, json.Unmarshal(b, &v) })
}

// TestStoredRecordsKeepTheirForm compares the records of runs with golden files.
func TestStoredRecordsKeepTheirForm(t *testing.T) {
	checkRecordForm[liveRecord](t, "live.json")
	checkRecordForm[finalRecord](t, "final.json")
	golden.Compare(
		t,
		"empty.jsonl",
		append(append(append(extension.Encode(liveRecord{}), '\n'), extension.Encode(finalRecord{})...), '\n'),
	)
}

func TestResponsesKeepTheirForm(t *testing.T) {
	checkRecordForm[Response](t, "answer.json")
}

func TestSubmissionsKeepTheirForm(t *testing.T) {
	var s Submission
	golden.Fill(&s)
	golden.CheckTags(t, "json", s)
	golden.RoundTrip(t, "submission.json", s, func(s Submission) ([]byte, error) { return extension.Encode(s), nil },
		func(b []byte) (s Submission, err error) { return s, decodeSubmission(b, &s) })
}

// TestStoredSubmissionsKeepTheirForm compares the pages of a stored submission with a golden file.
// The compressed form may change only with the compressor's version.
func TestStoredSubmissionsKeepTheirForm(t *testing.T) {
	var s Submission
	golden.Fill(&s)
	var stored []json.RawMessage
	encode := func(s Submission) ([]byte, error) {
		values, err := encodePages(&s, 64)
		if err != nil {
			return nil, err
		}
		return json.Marshal(values)
	}
	golden.RoundTrip(t, "pages.json", s, encode, func(b []byte) (Submission, error) {
		if err := json.Unmarshal(b, &stored); err != nil {
			return Submission{}, err
		}
		read, err := decodePages(stored)
		if err != nil {
			return Submission{}, err
		}
		return *read, nil
	})
	if len(stored) < 2 {
		t.Errorf("got %d pages, want at least 2", len(stored))
	}
}

// TestDescriptionsKeepTheirForm compares the description of a call, which workers read, with a
// golden file.
func TestDescriptionsKeepTheirForm(t *testing.T) {
	golden.JSON[description](t, "description.json")
}

func TestStoreKeysKeepTheirForm(t *testing.T) {
	for _, k := range []struct{ key, expected string }{
		{LivePrefix, "l/x/w/"},
		{liveKey("run"), "l/x/w/run"},
		{pageKey("run", "d", 0), "w/run/d0"},
		{pageKey("run", "s", 12), "w/run/s12"},
		{finalKey("run"), "wf/run"},
		{jobIDOf("run", "step/tool", 0, nil), "job-3199551016688555"},
		{jobIDOf("run", "step/tool", 100, map[string]int{"step/tool": 2}), "job-102"},
	} {
		if k.key != k.expected {
			t.Errorf("got key %q, want %q", k.key, k.expected)
		}
	}
}

func TestStateNamesKeepTheirForm(t *testing.T) {
	golden.Compare(t, "states.json", extension.Encode([]State{Running, Failing, Cancelling, Done, Failed, Cancelled}))
}
