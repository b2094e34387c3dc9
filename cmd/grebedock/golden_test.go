package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/spf13/cobra"

	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/rollout"
)

// TestCommandsKeepTheirForm holds commands and flags: names, shorthands, types
// and defaults, but not the texts that explain them.
func TestCommandsKeepTheirForm(t *testing.T) {
	golden.Compare(t, "commands.txt", commandTree(nil, rootCommand()))
}

// commandTree appends a command with its flags and all commands below it.
func commandTree(out []byte, cmd *cobra.Command) []byte {
	out = fmt.Appendf(out, "%s; use %q, aliases %q\n", cmd.CommandPath(), cmd.Use, cmd.Aliases)
	for _, f := range visited(cmd.LocalNonPersistentFlags().VisitAll) {
		value := f.DefValue
		if cmd.CommandPath() == "grebedock lab run" && f.Name == "jobs" {
			value = "the number of processors"
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
		out = commandTree(out, c)
	}
	return out
}

// visited is all that a function visits.
func visited[T any](visit func(func(T))) (all []T) {
	visit(func(v T) { all = append(all, v) })
	return all
}

// TestPrintedRecordsKeepTheirForm holds what commands print as JSON.
func TestPrintedRecordsKeepTheirForm(t *testing.T) {
	golden.JSON[*loadResult](t, "load.json")
	golden.JSON[previewRow](t, "preview.json")
}

// TestExamplesAreReadAsBefore holds what is read of the documentation's
// examples of schedules and plans.
func TestExamplesAreReadAsBefore(t *testing.T) {
	names, err := filepath.Glob("../../docs/examples/schedules/*.toml")
	if err != nil || len(names) == 0 {
		t.Fatalf("there are no examples: %v", err)
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
