package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"github.com/grebedock/grebedock/internal/httpclient"
	"github.com/grebedock/grebedock/internal/lab"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
)

// defaultUserPort is the first port of a lab's members, and the default port of the users' commands.
const defaultUserPort = 8080

func labCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "lab", Short: "Run a cluster on this machine, and load tests and experiments"}
	var o lab.Options
	up := &cobra.Command{
		Use:   "up",
		Short: "Start members, state service, cloud and workers on loopback; Ctrl-C stops them",
		Long: "Starts members and fakes of the services that they need, on loopback, in one process.\n" +
			"Workers run the tools of workflows as plain processes of this user, without isolation;\n" +
			"tasks of other jobs are simulated and only take time. Ctrl-C stops everything.",
		Example: "  grebedock lab up\n  grebedock workflow run docs/examples/cwl/read-batch.cwl " +
			"docs/examples/cwl/read-batch.json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			level, err := logLevel(os.Getenv("LOG_LEVEL"))
			if err != nil {
				return err
			}
			if os.Getenv("LOG_LEVEL") == "" {
				level = slog.LevelError
			}
			if o.CommandCopies < 0 {
				return fmt.Errorf("--command-copies must not be below 0")
			}
			if o.Members < 1 || o.MachinesPerType < 1 || !(o.MachineCPUs > 0) || !(o.SpeedFactor > 0) {
				return fmt.Errorf("--members, --machines, --cpus and --speed must be above 0")
			}
			o.Logger = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runLab(ctx, cmd, o)
		},
	}
	f := up.Flags()
	f.IntVar(&o.Members, "members", 2, "number of members")
	f.IntVar(&o.FirstPort, "front", defaultUserPort, "first port of the members' user API; 0: any free ports")
	f.IntVar(&o.MachinesPerType, "machines", 4, "number of machines available for each type, zone and kind")
	f.Float64Var(&o.MachineCPUs, "cpus", 4, "CPUs of a machine")
	f.Float64Var(&o.SpeedFactor, "speed", 1, "speed of simulated tasks relative to their estimates")
	f.IntVar(&o.CommandCopies, "command-copies", 0, "late copies of each direct command that reach the workers")
	f.StringVar(&o.DataDir, "dir", "", "directory for workflow data; default: a temporary one, removed at the end")
	cmd.AddCommand(up, loadCommand(), experimentCommand(), reportCommand())
	return cmd
}

func isReady(userAddr string) bool {
	status, _ := httpclient.NewClient(userAddr, 1).Do(wire.Request{Method: "GET", Path: "/up"}, time.Second)
	return status == 200
}

// labStartTimeout bounds the start of a lab.
const labStartTimeout = 20 * time.Second

func runLab(ctx context.Context, cmd *cobra.Command, o lab.Options) (err error) {
	startedAt := time.Now()
	l, err := lab.New(o)
	if err != nil {
		return err
	}
	defer func() {
		if e := l.Close(); err == nil {
			err = e
		}
	}()
	startCtx, cancel := context.WithTimeout(ctx, labStartTimeout)
	defer cancel()
	if err := l.StartAll(startCtx, isReady); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "lab: %d members serve the user API on %s\n", len(l.UserAddrs), strings.Join(l.UserAddrs, ", "))
	fmt.Fprintf(out, "     administration API on %s; workflow data in %s\n", strings.Join(l.PeerAddrs, ", "), l.DataDir)
	fmt.Fprintf(out, "     ready after %.1f s; Ctrl-C stops it\n", time.Since(startedAt).Seconds())
	watchLab(ctx, out, l)
	fmt.Fprintln(out, "lab: stopping")
	return nil
}

// Intervals of watchLab's output: on a terminal it redraws the table, elsewhere it prints a line if
// the summary changed.
const (
	viewInterval = time.Second
	lineInterval = 5 * time.Second
)

// watchLab shows the state of the lab until ctx is cancelled.
func watchLab(ctx context.Context, out io.Writer, l *lab.Lab) {
	f, ok := out.(*os.File)
	terminal := ok && isatty.IsTerminal(f.Fd())
	interval := lineInterval
	if terminal {
		interval = viewInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	drawnLines, lastLine := 0, ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var statuses []scheduler.Status
		for _, addr := range l.PeerAddrs {
			var st scheduler.Status
			o := operatorOptions{addr: addr}
			if o.request(wire.Request{Method: "GET", Path: "/v1/status"}, &st) == nil {
				statuses = append(statuses, st)
			}
		}
		if terminal {
			if drawnLines > 0 {
				fmt.Fprintf(out, "\x1b[%dA\x1b[J", drawnLines)
			}
			text := labTable(statuses)
			drawnLines = strings.Count(text, "\n")
			fmt.Fprint(out, text)
		} else if line := labSummary(statuses); line != lastLine {
			fmt.Fprintln(out, line)
			lastLine = line
		}
	}
}

// labSummary returns the state of a lab in one line.
func labSummary(statuses []scheduler.Status) string {
	if len(statuses) == 0 {
		return "lab: no member responds"
	}
	queued, running, liveMachines := 0, 0, 0
	var accepted, finished uint64
	for _, st := range statuses {
		for _, s := range st.Shards {
			if s.Owned {
				queued += s.QueuedTasks
			}
		}
		accepted, finished = accepted+st.Counters.Accepted, finished+st.Counters.Finished
	}
	for _, m := range statuses[0].Machines {
		if m.Up {
			liveMachines++
		}
	}
	for _, st := range statuses {
		for _, m := range st.Machines {
			running += m.Tasks // each member counts only its own shards' tasks
		}
	}
	return fmt.Sprintf(
		"lab: %d of %d machines up, %d jobs, %d tasks wait, %d on machines; %d accepted, %d finished",
		liveMachines,
		len(statuses[0].Machines),
		statuses[0].Jobs,
		queued,
		running,
		accepted,
		finished,
	)
}

// labTable returns the state of a lab as the summary and a table of members and teams.
func labTable(statuses []scheduler.Status) string {
	var b strings.Builder
	fmt.Fprintln(&b, labSummary(statuses))
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tAUTHORITY\tSTATE SERVICE\tLEADS\tSHARDS\tWAIT\tSTARTS\tLOST")
	for _, st := range statuses {
		var shards []string
		queued := 0
		for _, s := range st.Shards {
			if s.Owned {
				shards = append(shards, s.Shard)
				queued += s.QueuedTasks
			}
		}
		fmt.Fprintf(
			w,
			"%s\t%v\t%s\t%v\t%s\t%d\t%d\t%d\n",
			st.Member,
			st.Authority,
			st.StoreLink,
			st.Leading,
			strings.Join(shards, " "),
			queued,
			st.Counters.Starts,
			st.Counters.LostTasks,
		)
	}
	fmt.Fprintln(w, "TEAM\tGUARANTEE\tLIMIT\tUSED\tWAITING\t\t\t")
	type sum struct{ used, waiting float64 }
	teams := map[string]*sum{}
	var names []string
	for _, st := range statuses {
		for _, t := range st.Teams {
			if teams[t.Team] == nil {
				teams[t.Team] = &sum{}
				names = append(names, t.Team)
			}
			teams[t.Team].used += t.UsedCPUs
			teams[t.Team].waiting += t.WaitingCPUs
		}
	}
	for i, name := range names {
		t := statuses[0].Teams[i]
		fmt.Fprintf(w, "%s\t%g\t%g\t%g\t%g\t\t\t\n", name, t.CPUs, t.MaxCPUs, teams[name].used, teams[name].waiting)
	}
	_ = w.Flush() // writes to memory, which cannot fail
	return b.String()
}
