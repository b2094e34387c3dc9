package knownred

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"
)

// NoteworthyEntries is the number of entries up to which a list is printed without a note on its length.
const NoteworthyEntries = 3

// entryForm is the form of an entry, as printed for a malformed one.
const entryForm = "test; command and seed; observation; #issue"

// Entry is an entry (line) of the list. A line contains a Go test of the default run or a script by its path,
// the command and seed that show the failure, the observation, and the issue:
//
//	scheduler.TestName/case; go test ./scheduler -run Name -seeds 500, seed 312; a job waits for 251 s; #32
//	review/2/run.sh; bash review/2/run.sh, no seed; tasks of one job start in two zones; #49
type Entry struct {
	Package     string // import path of a Go test relative to the module path; empty for a script
	Test        string // name of a Go test, or path of a script
	Command     string // command and seed
	Observation string // the observation
	Issue       string
}

// IsScript reports whether the entry is a script, which the test run does not contain.
func (e Entry) IsScript() bool { return e.Package == "" }

// Name returns the entry's test as it is written in the list.
func (e Entry) Name() string {
	if e.IsScript() {
		return e.Test
	}
	return e.Package + "." + e.Test
}

func (e Entry) String() string {
	return fmt.Sprintf("%s: %s (%s; %s)", e.Name(), e.Observation, e.Command, e.Issue)
}

var (
	testPattern   = regexp.MustCompile(`^([a-z0-9_/]+)\.((?:Test|Fuzz|Example)[^\s;]*)$`)
	scriptPattern = regexp.MustCompile(`^[A-Za-z0-9_./-]+\.sh$`)
	issuePattern  = regexp.MustCompile(`^#[1-9][0-9]*$`)
)

// Parse parses a list, which may be empty. exists reports whether a file exists, given its path relative to the
// module's root directory. Parse returns an error that names the line for a malformed entry, a test that is
// listed twice, or a script that does not exist.
func Parse(text string, exists func(path string) bool) ([]Entry, error) {
	if text == "" {
		return nil, nil
	}
	var entries []Entry
	for i, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		entry, err := parseEntry(line, exists)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		if slices.ContainsFunc(entries, func(other Entry) bool { return other.Name() == entry.Name() }) {
			return nil, fmt.Errorf("line %d: %s is listed twice", i+1, entry.Name())
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// parseEntry parses a line of the list.
func parseEntry(line string, exists func(path string) bool) (Entry, error) {
	fields := strings.Split(line, ";")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	if len(fields) != 4 {
		return Entry{}, fmt.Errorf("%d fields, want %q", len(fields), entryForm)
	}
	entry := Entry{Command: fields[1], Observation: fields[2], Issue: fields[3]}
	switch {
	case entry.Command == "":
		return Entry{}, fmt.Errorf("command and seed are missing")
	case entry.Observation == "":
		return Entry{}, fmt.Errorf("observation is missing")
	case !issuePattern.MatchString(entry.Issue):
		return Entry{}, fmt.Errorf("issue %q does not have the form #number", entry.Issue)
	}
	if name := testPattern.FindStringSubmatch(fields[0]); name != nil {
		entry.Package, entry.Test = name[1], name[2]
		return entry, nil
	}
	script := fields[0]
	isLocal := path.Clean(script) == script && !path.IsAbs(script) && !strings.HasPrefix(script, "../")
	if !scriptPattern.MatchString(script) || !isLocal {
		return Entry{}, fmt.Errorf("test %q is neither package.Test nor the path of a script (.sh)", script)
	}
	if !exists(script) {
		return Entry{}, fmt.Errorf("script %s does not exist", script)
	}
	entry.Test = script
	return entry, nil
}
