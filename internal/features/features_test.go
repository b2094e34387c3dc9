package features

import (
	"os"
	"strings"
	"testing"
)

func TestParseReportsEnabledFeaturesAndFaultPosition(t *testing.T) {
	for _, c := range []struct{ name, text, enabled, expectedErr string }{
		{"empty", "", "", ""},
		{"on", "[connections]\non = true\n", "connections", ""},
		{"off", "[connections]\non = false\n", "", ""},
		{"unknown field", "[connections]\n\nonn = true\n", "", "line 3 column 1: connections.onn is no field"},
		{"unknown table", "[conections]\non = true\n", "", "line 1 column 2: conections"},
		{"wrong type", "[connections]\non = \"yes\"\n", "", "line 2 column 6: connections.on"},
		{"syntax error", "[connections\n", "", "line 1 column"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := Parse([]byte(c.text))
			switch {
			case c.expectedErr == "" && err != nil:
				t.Errorf("got error %v, want none", err)
			case c.expectedErr != "" && (err == nil || !strings.HasPrefix(err.Error(), c.expectedErr)):
				t.Errorf("got error %v, want one that begins with %q", err, c.expectedErr)
			}
			if got := strings.Join(s.EnabledNames(), " "); got != c.enabled {
				t.Errorf("got %q enabled, want %q", got, c.enabled)
			}
		})
	}
}

// Every features file in deploy is valid.
func TestDeployedFeatureFilesAreValid(t *testing.T) {
	entries, err := os.ReadDir("../../deploy")
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	for _, e := range entries {
		if e.Name() == "service.toml" {
			continue // the platform's settings file
		}
		if _, err := Load("../../deploy/" + e.Name()); err != nil {
			t.Error(err)
		}
		seen++
	}
	if seen == 0 {
		t.Error("got no features file in deploy, want at least one")
	}
}
