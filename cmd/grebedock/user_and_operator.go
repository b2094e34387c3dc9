package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"github.com/grebedock/grebedock/client"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/scheduler"
)

// jobPollInterval is the interval between queries for a job, as expected of users.
const jobPollInterval = 5 * time.Second

// userOptions are the options that the commands of users share.
type userOptions struct {
	addrs []string
	json  bool
}

func (u *userOptions) addFlags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringSliceVar(
		&u.addrs,
		"addr",
		[]string{fmt.Sprintf("127.0.0.1:%d", defaultUserPort)},
		"members' front addresses, host:port; several are tried in turn",
	)
	cmd.Flags().BoolVar(&u.json, "json", false, "print JSON")
	return cmd
}

// newClient returns a client of the members, and a context that an interrupt cancels.
func (u *userOptions) newClient(cmd *cobra.Command) (*client.Client, context.Context, context.CancelFunc, error) {
	c, err := client.New(u.addrs...)
	if err != nil {
		return nil, nil, nil, &codedError{err, exitInvalid}
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	return c, ctx, stop, nil
}

// withExitCode adds an exit code to an error of a client: 1 for no response, 2 for refused or
// unknown.
func withExitCode(err error) error {
	var refused *client.RejectedError
	if errors.Is(err, client.ErrNotFound) || errors.As(err, &refused) {
		return &codedError{err, exitInvalid}
	}
	return err
}

func (u *userOptions) printStatus(w io.Writer, s client.Status) error {
	if u.json {
		return json.NewEncoder(w).Encode(map[string]any{
			"id":      s.ID,
			"state":   s.State,
			"done":    s.Done,
			"running": s.Running,
		})
	}
	_, err := fmt.Fprintf(w, "%s  %s  %d done, %d running\n", s.ID, s.State, s.Done, s.Running)
	return err
}

// cancelledError returns an error with exit code 4 for a cancelled job, and nil otherwise.
func cancelledError(s client.Status) error {
	if s.State == client.Cancelled {
		return &codedError{fmt.Errorf("%s was cancelled", s.ID), exitCancelled}
	}
	return nil
}

// waitForJob waits for a job, with a progress line that is overwritten on a terminal.
func (u *userOptions) waitForJob(
	ctx context.Context,
	cmd *cobra.Command,
	c *client.Client,
	id string,
	tasks int,
) (client.Status, error) {
	terminal := isatty.IsTerminal(os.Stderr.Fd())
	var last client.Status
	s, err := c.Wait(ctx, id, jobPollInterval, func(s client.Status) {
		of := ""
		if tasks > 0 {
			of = fmt.Sprintf(" of %d", tasks)
		}
		switch {
		case terminal:
			fmt.Fprintf(
				cmd.ErrOrStderr(), "\r\x1b[K%s  %s  %d%s done, %d running", s.ID, s.State, s.Done, of,
				s.Running,
			)
		case s != last && !s.State.IsFinal():
			fmt.Fprintf(cmd.ErrOrStderr(), "%s  %s  %d%s done, %d running\n", s.ID, s.State, s.Done, of, s.Running)
		}
		last = s
	})
	if terminal {
		fmt.Fprint(cmd.ErrOrStderr(), "\r\x1b[K")
	}
	return s, err
}

func submitCommand() *cobra.Command {
	var options userOptions
	var j client.Job
	var wait bool
	cmd := options.addFlags(&cobra.Command{
		Use:   "submit",
		Short: "Submit a job",
		Long: "Submit a job and print its id. Retries are made as the members ask for them, for up\n" +
			"to a minute; the same --id may be submitted again.\n" +
			"Exit codes: 0 accepted (with --wait: done), 1 no answer, 2 refused, 4 cancelled.",
		Example: "  grebedock submit --team ops --tasks 8 --cpus 2 --estimate 30 --wait",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, ctx, stop, err := options.newClient(cmd)
			if err != nil {
				return err
			}
			defer stop()
			if j.ID == "" {
				j.ID = client.NewID() // printed even if no member responds
			}
			s, err := c.Submit(ctx, j)
			if err != nil {
				return withExitCode(fmt.Errorf("%s: %w", j.ID, err))
			}
			if wait && !s.State.IsFinal() {
				if s, err = options.waitForJob(ctx, cmd, c, s.ID, j.Tasks); err != nil {
					return withExitCode(fmt.Errorf("%s: %w", j.ID, err))
				}
			}
			if err := options.printStatus(cmd.OutOrStdout(), s); err != nil {
				return err
			}
			if wait {
				return cancelledError(s)
			}
			return nil
		},
	})
	addJobFlags(cmd, &j)
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until it is over")
	_ = cmd.MarkFlagRequired("team")
	return cmd
}

// addJobFlags adds the flags that describe a job.
func addJobFlags(cmd *cobra.Command, j *client.Job) {
	f := cmd.Flags()
	f.StringVar(&j.ID, "id", "", "id, \"job-\" and digits; default: a new one")
	f.StringVar(&j.Team, "team", "", "team whose guarantee and limit apply")
	f.StringVar(&j.Class, "class", "", "class of jobs that it belongs to")
	f.StringVar(&j.Kind, "kind", client.Array, "array, service or gang")
	f.StringVar(&j.Priority, "priority", "standard", "low, standard, high or production")
	f.IntVar(&j.Tasks, "tasks", 1, "how many tasks")
	f.Float64Var(&j.CPUs, "cpus", 1, "processors of a task")
	f.Float64Var(&j.GPUs, "gpus", 0, "accelerators of a task")
	f.Float64Var(&j.MemoryGB, "memory", 1, "memory of a task, GB")
	f.StringVar(&j.Image, "image", "", "image that a task needs")
	f.Float64Var(&j.ImageGB, "image-size", 0, "size of the image, GB")
	f.StringSliceVar(&j.Types, "types", nil, "allowed machine types; default: any")
	f.StringVar(&j.Zone, "zone", "", "the only allowed zone; default: any")
	f.BoolVar(&j.OneZone, "one-zone", false, "all tasks in the same zone")
	f.BoolVar(&j.Spread, "spread", false, "at most half of the tasks in one zone")
	f.BoolVar(&j.Spot, "spot", false, "may use machines that the cloud takes back")
	f.Float64Var(&j.EstimateS, "estimate", 0, "estimate of a task's run time, s")
	f.Float64Var(&j.CheckpointS, "checkpoint", 0, "between two checkpoints of a task, s; 0: it saves nothing")
	f.Float64Var(&j.CheckpointDurationS, "save", 0, "that a stopped task needs to save, s")
	f.Float64Var(&j.DeadlineS, "deadline", 0, "when the job is to be complete, s from now; 0: no deadline")
}

func jobCommand() *cobra.Command {
	var options userOptions
	var wait bool
	cmd := options.addFlags(&cobra.Command{
		Use: "job ID", Short: "Ask how far a job is", Args: cobra.ExactArgs(1),
		Long: "Ask how far a job is. Exit codes: 0 told (with --wait: done), 1 no answer, 2 no such job,\n" +
			"4 cancelled (with --wait).",
		RunE: func(cmd *cobra.Command, args []string) error {
			c, ctx, stop, err := options.newClient(cmd)
			if err != nil {
				return err
			}
			defer stop()
			var s client.Status
			if wait {
				s, err = options.waitForJob(ctx, cmd, c, args[0], 0)
			} else {
				s, err = c.Job(ctx, args[0])
			}
			if err != nil {
				return withExitCode(fmt.Errorf("%s: %w", args[0], err))
			}
			if err := options.printStatus(cmd.OutOrStdout(), s); err != nil {
				return err
			}
			if wait {
				return cancelledError(s)
			}
			return nil
		},
	})
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until it is over")
	return cmd
}

func cancelCommand() *cobra.Command {
	var options userOptions
	return options.addFlags(&cobra.Command{
		Use: "cancel ID...", Short: "Cancel jobs", Args: cobra.MinimumNArgs(1),
		Long: "Cancel jobs. One that is done stays done. Exit codes: 0 all are over, 1 no answer for one,\n" +
			"2 no such job.",
		RunE: func(cmd *cobra.Command, args []string) error {
			c, ctx, stop, err := options.newClient(cmd)
			if err != nil {
				return err
			}
			defer stop()
			var errs []error
			for _, id := range args {
				s, err := c.Cancel(ctx, id)
				if err != nil {
					errs = append(errs, withExitCode(fmt.Errorf("%s: %w", id, err)))
				} else if err := options.printStatus(cmd.OutOrStdout(), s); err != nil {
					return err
				}
			}
			return errors.Join(errs...)
		},
	})
}

// operatorOptions are the options that the commands of operators share.
type operatorOptions struct {
	addr string
	json bool
}

func (o *operatorOptions) addFlags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&o.addr, "addr", "", "a member's mesh address, host:port")
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
		"Show how a member stands",
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
				"member\t%s\nauthority\t%v\nstate service\t%s\nlead\t%s\njobs\t%d\nmachines\t%d, %d up\n",
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
				"since its start\t%d accepted, %d finished, %d starts, %d lost, %d refused, %d shed, %d relayed\n\n",
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
		"List the machines that a member knows",
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
					state += ", set aside"
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
		"List the teams: guarantee and limit, and over all members what they use, wait for and lack",
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

// amounts formats processors, and accelerators if there are any.
func amounts(a quota.Amounts) string {
	switch {
	case a.GPUs == 0 && a.CPUs == 0:
		return "none"
	case a.GPUs == 0:
		return fmt.Sprintf("%.4g", a.CPUs)
	}
	return fmt.Sprintf("%.4g+%.4g GPUs", a.CPUs, a.GPUs)
}

// warnIfTooLateToUndo prints for which machines it is too late to undo a drain.
func (o *operatorOptions) warnIfTooLateToUndo(cmd *cobra.Command, ids []string) error {
	var st scheduler.Status
	if err := o.request(wire.Request{Method: "GET", Path: "/v1/status"}, &st); err != nil {
		return err
	}
	for _, id := range ids {
		index := slices.IndexFunc(st.Machines, func(m scheduler.MachineStatus) bool { return m.ID == id })
		switch {
		case index < 0:
			fmt.Fprintf(cmd.ErrOrStderr(), "%s is no machine of the fleet any more\n", id)
		case st.Machines[index].Releasing:
			fmt.Fprintf(cmd.ErrOrStderr(), "%s is empty and on its way back: too late\n", id)
		}
	}
	return nil
}

func drainCommand() *cobra.Command {
	var o operatorOptions
	var undo bool
	cmd := o.addFlags(&cobra.Command{
		Use: "drain MACHINE...", Short: "Give machines back once nothing runs on them", Args: cobra.MinimumNArgs(1),
		Long: "Adds machines to the setting drain: they start nothing new and are given back when they\n" +
			"are empty. --undo takes them off it: they take work again, unless they are empty and on\n" +
			"their way back already. Prints what is on the list then.",
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
	cmd.Flags().BoolVar(&undo, "undo", false, "take them off the list")
	return cmd
}
