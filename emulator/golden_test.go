package emulator

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/strict"
)

// TestExperimentFilesKeepTheirForm compares the TOML form of an experiment with its golden file.
func TestExperimentFilesKeepTheirForm(t *testing.T) {
	var e Experiment
	golden.Fill(&e)
	golden.CheckTags(t, "toml", e)
	golden.RoundTrip(t, "experiment.toml", e, func(e Experiment) ([]byte, error) { return toml.Marshal(e) },
		func(b []byte) (e Experiment, err error) { return e, strict.Decode(b, &e) })
}

// TestExperimentsAreReadAsBefore compares the parsed form of each documented experiment with its
// golden file.
func TestExperimentsAreReadAsBefore(t *testing.T) {
	names, err := filepath.Glob("../docs/experiments/*.toml")
	if err != nil || len(names) == 0 {
		t.Fatalf("got %d experiment files (error: %v), want at least one", len(names), err)
	}
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		e, err := ParseExperiment(b)
		if err != nil {
			t.Fatal(err)
		}
		golden.RoundTrip(
			t,
			"experiments/"+filepath.Base(name),
			e,
			func(e *Experiment) ([]byte, error) { return toml.Marshal(e) },
			ParseExperiment,
		)
	}
}

// TestResultLinesKeepTheirForm compares the JSON form of a result line with its golden file.
func TestResultLinesKeepTheirForm(t *testing.T) {
	golden.JSON[Result](t, "result.json")
}
