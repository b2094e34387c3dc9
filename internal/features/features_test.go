package features

import (
	"os"
	"strings"
	"testing"
)

func TestParseReportsEnabledFeaturesAndFaultPosition(t *testing.T) {
	for _, c := range []struct{ text, on, expectedErr string }{
		{"", "", ""},
		{"[connections]\non = true\n", "connections", ""},
		{"[connections]\non = false\n", "", ""},
		{"[connections]\n\nonn = true\n", "", "line 3 column 1: connections.onn is no field"},
		{"[conections]\non = true\n", "", "line 1 column 2: conections"},
		{"[connections]\non = \"yes\"\n", "", "line 2 column 6: connections.on"},
		{"[connections\n", "", "line 1 column"},
	} {
		s, err := Parse([]byte(c.text))
		if c.expectedErr == "" && err != nil ||
			c.expectedErr != "" && (err == nil || !strings.HasPrefix(err.Error(), c.expectedErr)) {
			t.Errorf("%q: %v, not %q", c.text, err, c.expectedErr)
		}
		if got := strings.Join(s.EnabledNames(), " "); got != c.on {
			t.Errorf("%q switches on %q, not %q", c.text, got, c.on)
		}
	}
}

// The files that the project hands out are good.
func TestDeployedFeatureFilesAreValid(t *testing.T) {
	entries, err := os.ReadDir("../../deploy")
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	for _, e := range entries {
		if e.Name() == "service.toml" {
			continue // the platform's
		}
		if _, err := Load("../../deploy/" + e.Name()); err != nil {
			t.Error(err)
		}
		seen++
	}
	if seen == 0 {
		t.Error("no features file is handed out")
	}
}
