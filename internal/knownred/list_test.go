package knownred

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// onlyScript is the file that exists in these tests.
func onlyScript(path string) bool { return path == "review/2/run.sh" }

func TestParseReadsTestsAndScripts(t *testing.T) {
	text := "a.TestA; go test ./a; fails; #1\n" +
		"internal/b.TestC/3_of; go test ./internal/b -seeds 9, seed 4: played; cause: of it, mostly; #32\n" +
		"review/2/run.sh; bash review/2/run.sh, no seed; breaks; #49\n"
	want := []Entry{
		{"a", "TestA", "go test ./a", "fails", "#1"},
		{"internal/b", "TestC/3_of", "go test ./internal/b -seeds 9, seed 4: played", "cause: of it, mostly", "#32"},
		{"", "review/2/run.sh", "bash review/2/run.sh, no seed", "breaks", "#49"},
	}
	if list, err := Parse(text, onlyScript); err != nil || !slices.Equal(list, want) {
		t.Errorf("got %v, error %v, want %v", list, err, want)
	}
	if list, err := Parse("", onlyScript); err != nil || len(list) != 0 {
		t.Errorf("empty list: got %v, error %v, want no entries and no error", list, err)
	}
	long := ""
	for i := range 20 {
		long += fmt.Sprintf("a.Test%d; c; s; #1\n", i)
	}
	if list, err := Parse(long, onlyScript); err != nil || len(list) != 20 {
		t.Errorf("list of 20 entries: got %d, error %v, want all", len(list), err)
	}
}

func TestParseRejectsMalformedList(t *testing.T) {
	for text, want := range map[string]string{
		"a.TestA; #1":                               "line 1: 2 fields, want",
		"a.TestA; cause; #1":                        "line 1: 3 fields, want",
		"a.TestA; c; s; #1; more":                   "line 1: 5 fields, want",
		"TestA; c; s; #1":                           "line 1: test \"TestA\" is neither",
		"a.testA; c; s; #1":                         "line 1: test \"a.testA\" is neither",
		"a.TestA; ; s; #1":                          "line 1: command and seed are missing",
		"a.TestA; c; ; #1":                          "line 1: observation is missing",
		"a.TestA; c; s; 1":                          "line 1: issue \"1\"",
		"a.TestA; c; s; #0":                         "line 1: issue \"#0\"",
		"a.TestA; c; s; #1\n\n":                     "",
		"a.TestA; c; s; #1\n\na.TestB; c; s;#1":     "line 2: 1 fields, want",
		"a.TestA; c; s; #1\na.TestA; d; s; #2":      "line 2: a.TestA is listed twice",
		"\n":                                        "line 1: 1 fields, want",
		"review/2/run.sh; c; s; #1":                 "",
		"a.TestA; c; s; #1\nreview/9/run.sh;c;s;#1": "line 2: script review/9/run.sh does not exist",
		"review/2/../2/run.sh; c; s; #1":            "line 1: test \"review/2/../2/run.sh\" is neither",
		"../review/2/run.sh; c; s; #1":              "line 1: test \"../review/2/run.sh\" is neither",
		"/review/2/run.sh; c; s; #1":                "line 1: test \"/review/2/run.sh\" is neither",
		"bash review/2/run.sh; c; s; #1":            "line 1: test \"bash review/2/run.sh\" is neither",
	} {
		_, err := Parse(text, onlyScript)
		if want == "" && err != nil || want != "" && (err == nil || !strings.HasPrefix(err.Error(), want)) {
			t.Errorf("%q: got error %v, want prefix %q", text, err, want)
		}
	}
}
