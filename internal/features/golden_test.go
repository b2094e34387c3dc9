package features

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"github.com/grebedock/grebedock/internal/golden"
)

func encode(s Set) ([]byte, error) { return toml.Marshal(s) }

func TestFeaturesFileKeepsItsForm(t *testing.T) {
	var s Set
	golden.Fill(&s)
	golden.CheckTags(t, "toml", s)
	s.Workflows.DataDir = "/data"
	golden.RoundTrip(t, "all.toml", s, encode, Parse)
	golden.Compare(t, "on.txt", fmt.Appendln(nil, s.EnabledNames()))
}

// TestDeployedFeaturesAreReadAsBefore compares the parsed features files in
// deploy with golden files.
func TestDeployedFeaturesAreReadAsBefore(t *testing.T) {
	for _, name := range []string{"rollout.toml", "run.toml", "schedules.toml", "workflows.toml"} {
		s, err := Load(filepath.Join("../../deploy", name))
		if err != nil {
			t.Fatal(err)
		}
		golden.RoundTrip(t, name, s, encode, Parse)
	}
}
