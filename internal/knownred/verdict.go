// Package knownred reads the list of known failures (KNOWN-RED.txt at the root) and compares a test run with
// it. It starts no processes and reads no files. Its input is the text of the list and the events of
// `go test -json`; its output is a verdict and the text to print.
//
// The verdict on the run:
//
//	a listed test fails                                ignored; the failure is printed
//	a test fails only because listed subtests fail     ignored
//	a test fails that is not listed                    fail
//	failed build or vet, panic, data race or time-out  fail, even if tests of the package are listed
//	a package fails without a failing test             fail
//	a listed test passes                               pass; a request to remove its line is printed
//	a listed test is skipped or does not exist         fail
//	a script is listed                                 ignored; printed as listed and not run
//	more than NoteworthyEntries entries                pass; a note is printed
//	the list is malformed or a script does not exist   fail, before the run
package knownred

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// event is an event of `go test -json`.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	ImportPath  string
	FailedBuild string
}

type testID struct{ pkg, test string }

type result struct {
	action string   // pass, fail or skip; empty if the test started and did not end
	output []string // output of the test itself, without its subtests
}

// Run is a test run.
type Run struct {
	entries        []Entry
	module         string
	results        map[testID]*result
	order          []testID // tests in the order in which they started
	failedPackages []string
	fatalOutputs   map[string][]string // key: package; output that fails the run, whatever is listed
	failedBuilds   []string
}

// NewRun returns a run of a module's tests, to be compared with a list.
func NewRun(module string, list []Entry) *Run {
	return &Run{entries: list, module: module, results: map[testID]*result{}, fatalOutputs: map[string][]string{}}
}

// ownFailure matches a failure that a test reports itself. fatalOutput matches the abnormal end of a
// test process or a data race, which fail the run whatever is listed.
var (
	ownFailure  = regexp.MustCompile(`^\s+\S+\.go:\d+: `)
	fatalOutput = regexp.MustCompile(
		`^(panic: |fatal error: |WARNING: DATA RACE|signal: |exit status [^1])|race detected during execution of ` +
			`test|test timed out after`,
	)
)

// Read reads the events of a run and prints the output of failed tests, of builds and of packages,
// as go test does.
func (r *Run) Read(in io.Reader, out io.Writer) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(nil, 16<<20)
	for sc.Scan() {
		var e event
		if json.Unmarshal(sc.Bytes(), &e) != nil || e.Action == "" {
			// The line is not an event but a message of go test, for example that a package cannot be loaded.
			fmt.Fprintln(out, sc.Text())
			continue
		}
		r.apply(e, out)
	}
	return sc.Err()
}

func (r *Run) apply(e event, out io.Writer) {
	id := testID{e.Package, e.Test}
	switch e.Action {
	case "build-output":
		fmt.Fprint(out, e.Output)
	case "build-fail":
		r.failedBuilds = append(r.failedBuilds, e.ImportPath)
	case "run":
		if r.results[id] == nil {
			r.results[id] = &result{}
			r.order = append(r.order, id)
		}
	case "output":
		if fatalOutput.MatchString(strings.TrimLeft(e.Output, " ")) {
			r.fatalOutputs[e.Package] = append(r.fatalOutputs[e.Package], strings.TrimSpace(e.Output))
		}
		if res := r.results[id]; res != nil {
			res.output = append(res.output, e.Output)
		} else if e.Test == "" && e.Output != "PASS\n" {
			fmt.Fprint(out, e.Output)
		}
	case "pass", "fail", "skip":
		if e.Test == "" {
			if e.Action == "fail" {
				r.failedPackages = append(r.failedPackages, e.Package)
			}
			return
		}
		res := r.results[id]
		if res == nil {
			return
		}
		if res.action = e.Action; e.Action == "fail" {
			for _, l := range res.output {
				fmt.Fprint(out, l)
			}
		}
	}
}

func (r *Run) findEntry(id testID) *Entry {
	for i := range r.entries {
		if e := &r.entries[i]; !e.IsScript() && id.pkg == r.module+"/"+e.Package && id.test == e.Test {
			return e
		}
	}
	return nil
}

// isExcused reports whether a failed test is listed, or fails only because listed subtests fail.
func (r *Run) isExcused(id testID) bool {
	if r.findEntry(id) != nil {
		return true
	}
	res := r.results[id]
	if slices.ContainsFunc(res.output, ownFailure.MatchString) {
		return false
	}
	cases := 0
	for _, c := range r.order {
		if c.pkg == id.pkg && strings.HasPrefix(c.test, id.test+"/") && r.results[c].action == "fail" {
			if !r.isExcused(c) {
				return false
			}
			cases++
		}
	}
	return cases > 0
}

// reportEntries prints the result of each listed test. It calls fail for a test that did not run.
func (r *Run) reportEntries(out io.Writer, fail func(format string, a ...any)) {
	if len(r.entries) > NoteworthyEntries {
		fmt.Fprintf(out, "known red: the list has %d entries, more than %d\n", len(r.entries), NoteworthyEntries)
	}
	for _, e := range r.entries {
		res := r.results[testID{r.module + "/" + e.Package, e.Test}]
		switch {
		case e.IsScript():
			fmt.Fprintf(out, "known red, listed and not run: %s\n", e)
		case res == nil:
			fail("KNOWN-RED.txt: %s does not exist", e.Name())
		case res.action == "fail":
			fmt.Fprintf(out, "known red, passed over: %s\n", e)
		case res.action == "pass":
			fmt.Fprintf(out, "known red, but passes: %s: its line is to go\n", e.Name())
		default:
			fail("KNOWN-RED.txt: %s was skipped", e.Name())
		}
	}
}

// Verdict prints the results of the listed tests and of the run, and reports whether the run passes.
// A run without a passing test does not pass. exitedOK is whether go test exited with status 0.
func (r *Run) Verdict(out io.Writer, exitedOK bool) bool {
	passes := true
	fail := func(format string, a ...any) {
		passes = false
		fmt.Fprintf(out, "FAIL: "+format+"\n", a...)
	}
	for _, b := range r.failedBuilds {
		fail("%s does not build", b)
	}
	passed, knownFailures, failures := 0, 0, 0
	packagesWithFailures := map[string]bool{} // packages with a failed test
	for _, id := range r.order {
		name := strings.TrimPrefix(id.pkg, r.module+"/") + "." + id.test
		switch res := r.results[id]; {
		case res.action == "pass":
			passed++
		case res.action == "":
			failures++
			fail("%s never ended", name)
		case res.action == "fail":
			packagesWithFailures[id.pkg] = true
			if r.isExcused(id) {
				knownFailures++
			} else {
				failures++
				fail("%s", name)
			}
		}
	}
	for _, p := range r.failedPackages {
		if !packagesWithFailures[p] && len(r.failedBuilds) == 0 {
			fail("%s failed without a failing test", p)
		}
		for _, b := range r.fatalOutputs[p] {
			fail("%s: %s", p, b)
		}
	}
	r.reportEntries(out, fail)
	if !exitedOK && len(r.failedPackages) == 0 && len(r.failedBuilds) == 0 {
		fail("go test failed and did not say why")
	}
	if knownFailures > 0 {
		fmt.Fprintf(out, "known red: %d\n", knownFailures)
	}
	fmt.Fprintf(out, "tests: %d passed, %d failed\n", passed, failures)
	return passes && passed > 0
}
