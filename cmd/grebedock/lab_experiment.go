package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"

	"github.com/grebedock/grebedock/emulator"
)

func experimentCommand() *cobra.Command {
	var out string
	var jobs int
	cmd := &cobra.Command{
		Use:   "run EXPERIMENT.toml",
		Short: "Simulate all variants and seeds of an experiment concurrently",
		Long: "Runs each variant of an experiment with each seed in simulated time, on all cores, and\n" +
			"appends one line of JSON per run to the results. Runs that already have a result are\n" +
			"skipped, so that an interrupted experiment resumes.\n" +
			"Exit codes: 0 all runs completed, 1 interrupted, 2 invalid experiment, 3 a rule was violated.",
		Example: "  grebedock lab run docs/experiments/holds.toml\n  grebedock lab report holds.jsonl",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			b, err := os.ReadFile(args[0])
			if err != nil {
				return &codedError{err, exitInvalid}
			}
			e, err := emulator.ParseExperiment(b)
			if err != nil {
				return &codedError{fmt.Errorf("%s: %w", args[0], err), exitInvalid}
			}
			if out == "" {
				out = strings.TrimSuffix(filepath.Base(args[0]), filepath.Ext(args[0])) + ".jsonl"
			}
			return runExperiment(cmd, e, out, jobs)
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "results file; default: the name of the experiment's file with .jsonl")
	cmd.Flags().IntVar(&jobs, "jobs", runtime.GOMAXPROCS(0), "maximum number of concurrent runs")
	return cmd
}

type experimentRun struct {
	variant emulator.Variant
	seed    uint64
}

func runExperiment(cmd *cobra.Command, e *emulator.Experiment, out string, jobs int) error {
	finished, _, err := readResults(out)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	pending := pendingRuns(e, finished)
	f, err := os.OpenFile(out, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := terminateLastLine(f); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	b := experimentBatch{experiment: e, out: f, total: len(pending), startedAt: time.Now()}
	if isatty.IsTerminal(os.Stderr.Fd()) {
		b.terminal = cmd.ErrOrStderr()
	}
	b.runAll(ctx, pending, jobs)
	fmt.Fprintf(
		cmd.OutOrStdout(),
		"%s: %d of %d runs completed, %d already present; %.1f s\n",
		out,
		b.completed,
		b.total,
		len(e.Seeds)*len(e.Variants)-b.total,
		time.Since(b.startedAt).Seconds(),
	)
	switch {
	case b.writeErr != nil:
		return b.writeErr
	case b.runsWithViolations > 0:
		return &codedError{
			fmt.Errorf("%d runs violated rules; see the fields broken and disorder in %s", b.runsWithViolations, out),
			exitFailed,
		}
	case b.completed < b.total:
		return fmt.Errorf("interrupted after %d of %d runs; repeat the command to resume", b.completed, b.total)
	}
	return nil
}

// pendingRuns returns the runs of an experiment that have no result yet.
func pendingRuns(e *emulator.Experiment, finished []emulator.Result) (pending []experimentRun) {
	for _, seed := range e.Seeds {
		for _, v := range e.Variants {
			if !slices.ContainsFunc(finished, func(r emulator.Result) bool {
				return r.Experiment == e.Name && r.Variant == v.Name && r.Seed == seed
			}) {
				pending = append(pending, experimentRun{v, seed})
			}
		}
	}
	return pending
}

// experimentBatch simulates runs of an experiment concurrently, and writes each result as soon as its
// run is complete.
type experimentBatch struct {
	experiment *emulator.Experiment
	out        io.Writer
	terminal   io.Writer // shows the progress; nil: standard error is not a terminal
	total      int
	startedAt  time.Time

	mu                            sync.Mutex
	completed, runsWithViolations int
	writeErr                      error // the first write that failed
}

// runAll simulates the pending runs, up to jobs at a time, until all are done or ctx is cancelled.
func (b *experimentBatch) runAll(ctx context.Context, pending []experimentRun, jobs int) {
	runs := make(chan experimentRun)
	var wait sync.WaitGroup
	for range max(1, min(jobs, b.total)) {
		wait.Go(func() {
			for p := range runs {
				b.record(b.experiment.Run(p.variant, p.seed))
			}
		})
	}
feed:
	for _, p := range pending {
		select {
		case runs <- p:
		case <-ctx.Done():
			break feed
		}
	}
	close(runs)
	wait.Wait()
	if b.terminal != nil {
		fmt.Fprint(b.terminal, "\r\x1b[K")
	}
}

// record writes a run's result and counts it.
func (b *experimentBatch) record(r emulator.Result) {
	line, err := json.Marshal(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		_, err = b.out.Write(append(line, '\n'))
	}
	b.writeErr = cmp.Or(b.writeErr, err)
	b.completed++
	if len(r.RuleViolations)+len(r.OrderViolations) > 0 {
		b.runsWithViolations++
	}
	if b.terminal != nil {
		fmt.Fprintf(
			b.terminal, "\r\x1b[K%d of %d runs, %.0f s", b.completed, b.total,
			time.Since(b.startedAt).Seconds(),
		)
	}
}

// terminateLastLine seeks to the end of a file of lines. If a kill truncated the last line, it writes
// a newline, so that the next result does not become part of that line.
func terminateLastLine(f *os.File) error {
	end, err := f.Seek(0, io.SeekEnd)
	if err != nil || end == 0 {
		return err
	}
	last := make([]byte, 1)
	if _, err := f.ReadAt(last, end-1); err != nil {
		return err
	}
	if last[0] != '\n' {
		_, err = f.Write([]byte{'\n'})
	}
	return err
}
