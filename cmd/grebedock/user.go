package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"github.com/grebedock/grebedock/client"
)

// jobPollInterval is the interval between queries of a job, as the user API expects of its clients.
const jobPollInterval = 5 * time.Second

// userAddrUsage is the usage text of the flag --addr of users' commands.
const userAddrUsage = "addresses of the members' user API (front in their settings files), host:port; tried in turn"

// userOptions are the flags shared by the users' commands.
type userOptions struct {
	addrs []string
	json  bool
}

func (u *userOptions) addFlags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringSliceVar(
		&u.addrs,
		"addr",
		[]string{fmt.Sprintf("127.0.0.1:%d", defaultUserPort)},
		userAddrUsage,
	)
	cmd.Flags().BoolVar(&u.json, "json", false, "print JSON")
	return cmd
}

// newClient returns a client of the members, and a context that an interrupt (SIGINT or SIGTERM)
// cancels.
func (u *userOptions) newClient(cmd *cobra.Command) (*client.Client, context.Context, context.CancelFunc, error) {
	c, err := client.New(u.addrs...)
	if err != nil {
		return nil, nil, nil, &codedError{err, exitInvalid}
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	return c, ctx, stop, nil
}

// withExitCode gives a client's error its exit code: 1 for no final response, 2 for a rejected request
// or an unknown job.
func withExitCode(err error) error {
	var rejected *client.RejectedError
	if errors.Is(err, client.ErrNotFound) || errors.As(err, &rejected) {
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

// cancelledError returns an error with an exit code if a job was cancelled, and nil otherwise.
func cancelledError(s client.Status) error {
	if s.State == client.Cancelled {
		return &codedError{fmt.Errorf("%s was cancelled", s.ID), exitCancelled}
	}
	return nil
}

// waitForJob waits until a job's state is final, and prints its progress to standard error: on a
// terminal as one line that is overwritten, elsewhere as one line for each change.
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
		Long: "Submit a job and print its ID. A request without a final response is retried after the\n" +
			"delay that the members request (Retry-After), for up to a minute; the same --id may be\n" +
			"submitted again.\n" +
			"Exit codes: 0 accepted (with --wait: done), 1 no final response, 2 rejected, 4 cancelled\n" +
			"(with --wait).",
		Example: "  grebedock submit --team ops --tasks 8 --cpus 2 --estimate 30 --wait",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, ctx, stop, err := options.newClient(cmd)
			if err != nil {
				return err
			}
			defer stop()
			if j.ID == "" {
				j.ID = client.NewID() // here, so that an error names the ID even without a response
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
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the job is done or cancelled")
	_ = cmd.MarkFlagRequired("team")
	return cmd
}

// addJobFlags adds the flags that describe a job.
func addJobFlags(cmd *cobra.Command, j *client.Job) {
	f := cmd.Flags()
	f.StringVar(&j.ID, "id", "", "ID of the job: \"job-\" and digits; default: a new one")
	f.StringVar(&j.Team, "team", "", "team whose guarantee and limit apply")
	f.StringVar(&j.Class, "class", "", "class of the job")
	f.StringVar(&j.Kind, "kind", client.Array, "array, service or gang")
	f.StringVar(&j.Priority, "priority", "standard", "low, standard, high or production")
	f.IntVar(&j.Tasks, "tasks", 1, "number of tasks")
	f.Float64Var(&j.CPUs, "cpus", 1, "CPUs of a task")
	f.Float64Var(&j.GPUs, "gpus", 0, "GPUs of a task")
	f.Float64Var(&j.MemoryGB, "memory", 1, "memory of a task, GB")
	f.StringVar(&j.Image, "image", "", "image that a task needs")
	f.Float64Var(&j.ImageGB, "image-size", 0, "size of the image, GB")
	f.StringSliceVar(&j.Types, "types", nil, "allowed machine types; default: any")
	f.StringVar(&j.Zone, "zone", "", "the only allowed zone; default: any")
	f.BoolVar(&j.OneZone, "one-zone", false, "all tasks in the same zone")
	f.BoolVar(&j.Spread, "spread", false, "at most half of the tasks in one zone")
	f.BoolVar(&j.Spot, "spot", false, "allow spot machines, which the cloud may reclaim")
	f.Float64Var(&j.EstimateS, "estimate", 0, "estimated run time of a task, s")
	f.Float64Var(&j.CheckpointS, "checkpoint", 0, "interval between two checkpoints of a task, s; 0: tasks save none")
	f.Float64Var(&j.CheckpointDurationS, "save", 0, "time that a stopped task needs to save a checkpoint, s")
	f.Float64Var(&j.DeadlineS, "deadline", 0, "time until the job's deadline, s from now; 0: no deadline")
}

func jobCommand() *cobra.Command {
	var options userOptions
	var wait bool
	cmd := options.addFlags(&cobra.Command{
		Use: "job ID", Short: "Show the status of a job", Args: cobra.ExactArgs(1),
		Long: "Show the status of a job. Exit codes: 0 status printed (with --wait: done), 1 no final response,\n" +
			"2 no such job or rejected, 4 cancelled (with --wait).",
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
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the job is done or cancelled")
	return cmd
}

func cancelCommand() *cobra.Command {
	var options userOptions
	return options.addFlags(&cobra.Command{
		Use: "cancel ID...", Short: "Cancel jobs", Args: cobra.MinimumNArgs(1),
		Long: "Cancel jobs. A job that is done stays done. Exit codes: 0 all jobs are cancelled or done,\n" +
			"1 no final response for a job, 2 no such job or rejected.",
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
