package config

import (
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"github.com/grebedock/grebedock/internal/golden"
)

func TestSettingsFileKeepsItsForm(t *testing.T) {
	var f File
	golden.Fill(&f)
	golden.CheckTags(t, "toml", f)
	golden.RoundTrip(t, "settings.toml", f, func(f File) ([]byte, error) { return toml.Marshal(f) },
		func(b []byte) (f File, err error) { return f, toml.Unmarshal(b, &f) })
}

// TestExampleIsReadAsBefore holds what is read of the example of the documentation.
func TestExampleIsReadAsBefore(t *testing.T) {
	b, err := os.ReadFile("../../docs/example.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	golden.RoundTrip(t, "example.toml", f, func(f *File) ([]byte, error) { return toml.Marshal(f) }, Parse)
}
