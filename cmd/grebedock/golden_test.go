package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/recurrence"
	"github.com/grebedock/grebedock/rollout"
)

// TestCommandsKeepTheirForm compares commands and flags with a golden file: names, shorthands,
// types and defaults, but not the help texts.
func TestCommandsKeepTheirForm(t *testing.T) {
	before := recurrence.DateOf(time.Now()).String()
	root := rootCommand()
	after := recurrence.DateOf(time.Now()).String()
	golden.Compare(t, "commands.txt", commandTree(nil, root, []string{before, after}))
}

// commandTree appends a command with its flags, and all its subcommands. Defaults that depend on the
// machine are replaced by a description. So is the default of schedule preview --from if it is one of
// dates, the dates on which the command may have been created; any other value is compared as it is.
func commandTree(out []byte, cmd *cobra.Command, dates []string) []byte {
	out = fmt.Appendf(out, "%s; use %q, aliases %q\n", cmd.CommandPath(), cmd.Use, cmd.Aliases)
	for _, f := range visited(cmd.LocalNonPersistentFlags().VisitAll) {
		value := f.DefValue
		if cmd.CommandPath() == "grebedock lab run" && f.Name == "jobs" {
			value = "the number of processors"
		}
		if cmd.CommandPath() == "grebedock schedule preview" && f.Name == "from" && slices.Contains(dates, value) {
			value = "the current date"
		}
		out = fmt.Appendf(out, "\t--%s -%s %s, default %q\n", f.Name, f.Shorthand, f.Value.Type(), value)
	}
	for _, f := range visited(cmd.PersistentFlags().VisitAll) {
		out = fmt.Appendf(
			out, "\tpersistent --%s -%s %s, default %q\n", f.Name, f.Shorthand, f.Value.Type(),
			f.DefValue,
		)
	}
	for _, c := range cmd.Commands() {
		out = commandTree(out, c, dates)
	}
	return out
}

// visited collects all values that visit passes to its callback.
func visited[T any](visit func(func(T))) (all []T) {
	visit(func(v T) { all = append(all, v) })
	return all
}

// TestPrintedRecordsKeepTheirForm compares the JSON output of commands with golden files.
func TestPrintedRecordsKeepTheirForm(t *testing.T) {
	golden.JSON[*loadResult](t, "load.json")
	golden.JSON[previewRow](t, "preview.json")
}

// TestExamplesAreReadAsBefore compares the parsed form of the documented schedules and rollout
// plans with golden files.
func TestExamplesAreReadAsBefore(t *testing.T) {
	names, err := filepath.Glob("../../docs/examples/schedules/*.toml")
	if err != nil || len(names) == 0 {
		t.Fatalf("no example schedules found: %v", err)
	}
	for _, name := range names {
		f, err := readSchedules(name)
		if err != nil {
			t.Fatal(err)
		}
		b, err := packSchedules(f, filepath.Dir(name))
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "schedules/"+filepath.Base(name), b)
	}
	p, err := readPlan("../../docs/examples/rollouts/replace.toml")
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckTags(t, "toml", p)
	golden.RoundTrip(t, "plan.json", p, func(p *rollout.Plan) ([]byte, error) { return json.Marshal(p) },
		func(b []byte) (p *rollout.Plan, err error) { return p, json.Unmarshal(b, &p) })
}
