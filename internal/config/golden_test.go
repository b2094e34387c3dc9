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
	encode := func(f File) ([]byte, error) { return toml.Marshal(f) }
	decode := func(b []byte) (f File, err error) { return f, toml.Unmarshal(b, &f) }
	golden.RoundTrip(t, "settings.toml", f, encode, decode)
}

// TestExampleIsReadAsBefore compares the parsed example of the docs with a golden
// file.
func TestExampleIsReadAsBefore(t *testing.T) {
	b, err := os.ReadFile("../../docs/example.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	encode := func(f *File) ([]byte, error) { return toml.Marshal(f) }
	golden.RoundTrip(t, "example.toml", f, encode, Parse)
}
