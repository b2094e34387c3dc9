package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
	"github.com/grebedock/grebedock/strict"
)

func rolloutCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "rollout", Short: "Drain or replace machines in steps, within a budget for each team",
		Long: "A plan drains machines in steps, and replaces them if its mode is replace. No team has more\n" +
			"tasks down at once than its budget (the setting disruption). The plan continues whichever\n" +
			"member stops.",
		Example: "  grebedock rollout apply --addr 10.0.0.1:8081 plan.toml\n" +
			"  grebedock rollout status --addr 10.0.0.1:8081\n" +
			"  grebedock rollout pause --addr 10.0.0.1:8081",
	}
	cmd.AddCommand(applyRolloutCommand())
	for _, c := range []struct{ name, short, method, path string }{
		{"status", "Show the state of the plan", "GET", "/v1/rollout"},
		{"pause", "Drain, stop and provision nothing more until the plan is resumed", "POST", "/v1/rollout/pause"},
		{"resume", "Resume a plan that a gate or an operator paused", "POST", "/v1/rollout/resume"},
		{"abort", "Abort the plan: its machines accept tasks again", "POST", "/v1/rollout/abort"},
	} {
		var o operatorOptions
		cmd.AddCommand(o.addFlags(&cobra.Command{Use: c.name, Short: c.short, Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				return showRollout(&o, cmd, wire.Request{Method: c.method, Path: c.path})
			}}))
	}
	return cmd
}

// showRollout sends a request to the administration API, and prints the state of the plan.
func showRollout(o *operatorOptions, cmd *cobra.Command, r wire.Request) error {
	var st scheduler.RolloutStatus
	if err := o.request(r, &st); err != nil {
		return err
	}
	if o.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(&st)
	}
	return printRollout(cmd.OutOrStdout(), &st)
}

// readPlan reads and validates a file with a rollout plan.
func readPlan(name string) (*rollout.Plan, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, &codedError{err, exitInvalid}
	}
	var p rollout.Plan
	if err := strict.Decode(b, &p); err != nil {
		return nil, &codedError{fmt.Errorf("%s: %w", name, err), exitInvalid}
	}
	if err := p.Validate(); err != nil {
		return nil, &codedError{fmt.Errorf("%s: %w", name, err), exitInvalid}
	}
	return &p, nil
}

func applyRolloutCommand() *cobra.Command {
	var o operatorOptions
	var preview bool
	cmd := o.addFlags(&cobra.Command{
		Use: "apply FILE.toml", Short: "Start a plan; the previous one must be done or aborted",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := readPlan(args[0])
			if err != nil {
				return err
			}
			body, err := json.Marshal(p)
			if err != nil {
				return err
			}
			if !preview {
				return showRollout(&o, cmd, wire.Request{Method: "PUT", Path: "/v1/rollout", Body: body})
			}
			var result scheduler.RolloutPreview
			if err := o.request(wire.Request{
				Method: "PUT",
				Path:   "/v1/rollout?preview=true",
				Body:   body,
			}, &result); err != nil {
				return err
			}
			if o.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(&result)
			}
			return printPreview(cmd.OutOrStdout(), p, &result)
		},
	})
	cmd.Flags().BoolVar(&preview, "preview", false, "print what the plan would do without applying it")
	return cmd
}

func printPreview(out io.Writer, p *rollout.Plan, preview *scheduler.RolloutPreview) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(
		w, "plan\t%s, %s, not applied\nmachines\t%d in %d steps\n", p.ID, p.Mode, preview.Machines,
		preview.Steps,
	)
	if p.Mode == rollout.Replace {
		fmt.Fprintf(
			w,
			"surge\tup to %d machines, %.2f per hour\n",
			min(p.Surge, preview.Machines),
			preview.SurgeCostPerHour,
		)
	}
	for _, k := range slices.Sorted(maps.Keys(preview.Kinds)) {
		fmt.Fprintf(w, "  %s\t%d\n", k, preview.Kinds[k])
	}
	for _, t := range slices.Sorted(maps.Keys(preview.Tasks)) {
		fmt.Fprintf(
			w,
			"team %s\t%d tasks run on this member's machines of the plan, %d may be down at once\n",
			t,
			preview.Tasks[t],
			preview.MaxDisrupted[t],
		)
	}
	return w.Flush()
}

func printRollout(out io.Writer, st *scheduler.RolloutStatus) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "plan\t%s, %s\nstate\t%s\n", st.Plan.ID, st.Plan.Mode, st.State)
	if st.Reason != "" {
		fmt.Fprintf(w, "reason\t%s\n", st.Reason)
	}
	fmt.Fprintf(
		w,
		"machines\t%d, %d gone, %d being drained\n",
		st.TotalMachines,
		st.TotalMachines-st.Remaining,
		st.Draining,
	)
	if st.Plan.Mode == rollout.Replace {
		fmt.Fprintf(w, "replacements\t%d up, %d booting\n", st.LiveReplacements, st.Booting)
	}
	if st.Step > 0 {
		fmt.Fprintf(
			w,
			"step\t%d, %d of %d machines, since %s\n",
			st.Step,
			st.CoveredMachines,
			st.CoverLimit,
			time.UnixMilli(st.StepCoveredAt).UTC().Format(time.RFC3339),
		)
	}
	teams := map[string]bool{}
	for t := range st.Disrupted {
		teams[t] = true
	}
	for t := range st.WaitingForBudget {
		teams[t] = true
	}
	if len(teams) > 0 {
		fmt.Fprintln(w, "\nTEAM\tSTOPPED, NOT RUNNING AGAIN\tWAIT FOR ITS BUDGET")
		for _, t := range slices.Sorted(maps.Keys(teams)) {
			fmt.Fprintf(w, "%s\t%d\t%d\n", t, st.Disrupted[t], st.WaitingForBudget[t])
		}
	}
	return w.Flush()
}
