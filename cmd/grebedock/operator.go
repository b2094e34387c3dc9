package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/scheduler"
	"github.com/spf13/cobra"
)

// operatorOptions are the flags shared by the operators' commands.
type operatorOptions struct {
	addr string
	json bool
}

func (o *operatorOptions) addFlags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&o.addr, "addr", "", adminAddrUsage)
	cmd.Flags().BoolVar(&o.json, "json", false, "print JSON")
	if err := cmd.MarkFlagRequired("addr"); err != nil {
		panic(err)
	}
	return cmd
}

func (o *operatorOptions) request(r wire.Request, into any) error {
	body, err := adminRequest(o.addr, r)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

// statusCommand returns a command that prints part of a member's status as JSON or as a table.
func (o *operatorOptions) statusCommand(
	use, short string,
	selectJSON func(*scheduler.Status) any,
	table func(*scheduler.Status, io.Writer),
) *cobra.Command {
	return o.addFlags(&cobra.Command{Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var st scheduler.Status
			if err := o.request(wire.Request{Method: "GET", Path: "/v1/status"}, &st); err != nil {
				return err
			}
			if o.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(selectJSON(&st))
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			table(&st, w)
			return w.Flush()
		}})
}

func statusCommand() *cobra.Command {
	var o operatorOptions
	return o.statusCommand(
		"status",
		"Show the status of a member",
		func(st *scheduler.Status) any { return st },
		func(st *scheduler.Status, w io.Writer) {
			liveMachines := 0
			for _, m := range st.Machines {
				if m.Up {
					liveMachines++
				}
			}
			fmt.Fprintf(
				w,
				"member\t%s\nauthority\t%v\nstate service\t%s\nleader\t%s\njobs\t%d\nmachines\t%d, %d up\n",
				st.Member,
				st.Authority,
				st.StoreLink,
				st.Leader,
				st.Jobs,
				len(st.Machines),
				liveMachines,
			)
			c := st.Counters
			fmt.Fprintf(
				w,
				"since start\t%d accepted, %d finished, %d starts, %d tasks lost, %d unavailable (503), %d shed, "+
					"%d relayed\n\n",
				c.Accepted,
				c.Finished,
				c.Starts,
				c.LostTasks,
				c.UnavailableResponses,
				c.ShedSubmissions,
				c.Relayed,
			)
			fmt.Fprintln(w, "SHARD\tHOLDER\tREADY\tQUEUED\tNEEDS\tNOT HEARD\tPACED")
			for _, s := range st.Shards {
				if s.Owned {
					fmt.Fprintf(
						w,
						"%s\t%s\t%v\t%d\t%d\t%d\t%v\n",
						s.Shard,
						s.Owner,
						s.Ready,
						s.QueuedTasks,
						s.Demands,
						s.Unreported,
						s.Paced,
					)
				} else {
					fmt.Fprintf(w, "%s\t%s\t\t\t\t\t\n", s.Shard, s.Owner)
				}
			}
		},
	)
}

func machinesCommand() *cobra.Command {
	var o operatorOptions
	return o.statusCommand(
		"machines",
		"List the machines known to a member",
		func(st *scheduler.Status) any { return st.Machines },
		func(st *scheduler.Status, w io.Writer) {
			fmt.Fprintln(w, "MACHINE\tTYPE\tZONE\tSHARD\tSTATE\tTASKS")
			for _, m := range st.Machines {
				typ := m.Type
				if m.Spot {
					typ += " (spot)"
				}
				state := []string{"booting", "up"}[boolToInt(m.Up)]
				if m.Unreachable {
					state = "silent"
				}
				if m.Releasing {
					state += ", draining"
				} else if m.Cordoned {
					state += ", cordoned"
				}
				tasks := ""
				if slices.ContainsFunc(st.Shards, func(s scheduler.ShardStatus) bool {
					return s.Shard == m.Shard &&
						s.Owned
				}) {
					tasks = fmt.Sprint(m.Tasks) // only the owner of a shard knows its tasks
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.ID, typ, m.Zone, m.Shard, state, tasks)
			}
		},
	)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func teamsCommand() *cobra.Command {
	var o operatorOptions
	return o.statusCommand(
		"teams",
		"List the teams with guarantee and limit, and their usage, waiting demand and shortfall over all members",
		func(st *scheduler.Status) any { return st.Teams },
		func(st *scheduler.Status, w io.Writer) {
			fmt.Fprintln(w, "TEAM\tGUARANTEE\tLIMIT\tUSED\tWAITING\tBELOW\tUSED HERE\tPARTS\tWANTED BY\tAGE")
			for _, t := range st.Teams {
				allocations, requests := []string{}, []string{}
				for _, s := range slices.Sorted(maps.Keys(t.Allocations)) {
					allocations = append(allocations, s+" "+amounts(t.Allocations[s]))
					if n, isRequested := t.Requests[s]; isRequested {
						requests = append(requests, s+" "+amounts(n.Amounts))
					}
				}
				fmt.Fprintf(
					w,
					"%s\t%s\t%s\t%s\t%s\t%s\t%g\t%s\t%s\t%.1f s\n",
					t.Team,
					amounts(t.Guarantee),
					amounts(t.Limit),
					amounts(t.TotalUsage),
					amounts(t.TotalWaiting),
					amounts(t.GuaranteeShortfall),
					t.UsedCPUs,
					cmp.Or(strings.Join(allocations, ", "), "none"),
					cmp.Or(strings.Join(requests, ", "), "none"),
					t.OldestUsageAgeS,
				)
			}
		},
	)
}

// amounts formats an amount of CPUs, and of GPUs if there are any.
func amounts(a quota.Amounts) string {
	switch {
	case a.GPUs == 0 && a.CPUs == 0:
		return "none"
	case a.GPUs == 0:
		return fmt.Sprintf("%.4g", a.CPUs)
	}
	return fmt.Sprintf("%.4g+%.4g GPUs", a.CPUs, a.GPUs)
}

// warnIfTooLateToUndo prints a warning for each machine whose drain can no longer be undone: it has left
// the fleet or is being released.
func (o *operatorOptions) warnIfTooLateToUndo(cmd *cobra.Command, ids []string) error {
	var st scheduler.Status
	if err := o.request(wire.Request{Method: "GET", Path: "/v1/status"}, &st); err != nil {
		return err
	}
	for _, id := range ids {
		index := slices.IndexFunc(st.Machines, func(m scheduler.MachineStatus) bool { return m.ID == id })
		switch {
		case index < 0:
			fmt.Fprintf(cmd.ErrOrStderr(), "%s is no longer in the fleet\n", id)
		case st.Machines[index].Releasing:
			fmt.Fprintf(cmd.ErrOrStderr(), "%s is empty and being released: too late to undo its drain\n", id)
		}
	}
	return nil
}

func drainCommand() *cobra.Command {
	var o operatorOptions
	var undo bool
	cmd := o.addFlags(&cobra.Command{
		Use: "drain MACHINE...", Short: "Release machines once no tasks run on them", Args: cobra.MinimumNArgs(1),
		Long: "Adds machines to the setting drain: they start no new tasks and are released once they are\n" +
			"empty. --undo removes them from the setting: they accept tasks again, unless they are\n" +
			"empty and being released already. Prints the resulting list.",
		Example: "  grebedock drain --addr 10.0.0.1:8081 i-000231",
		RunE: func(cmd *cobra.Command, args []string) error {
			var s scheduler.Settings
			if err := o.request(wire.Request{Method: "GET", Path: "/v1/settings"}, &s); err != nil {
				return err
			}
			list := slices.DeleteFunc(slices.Clone(s.Drain), func(m string) bool { return slices.Contains(args, m) })
			if !undo {
				list = append(list, args...)
			} else if err := o.warnIfTooLateToUndo(cmd, args); err != nil {
				return err
			}
			body, err := json.Marshal(map[string]any{"drain": list})
			if err != nil {
				return err
			}
			s = scheduler.Settings{} // an empty list is omitted from the response
			if err := o.request(wire.Request{Method: "PATCH", Path: "/v1/settings", Body: body}, &s); err != nil {
				return err
			}
			if o.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(s.Drain)
			}
			remaining := strings.Join(s.Drain, ", ")
			if remaining == "" {
				remaining = "none"
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "draining:", remaining)
			return err
		},
	})
	cmd.Flags().BoolVar(&undo, "undo", false, "remove the machines from the list")
	return cmd
}
