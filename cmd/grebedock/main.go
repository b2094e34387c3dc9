// Command grebedock runs a controller of the cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/features"
	"github.com/grebedock/grebedock/internal/node"
)

// version is set by release builds.
var version = "dev"

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "grebedock:", err)
		code := 1
		if c := (*codedError)(nil); errors.As(err, &c) {
			code = c.code
		}
		os.Exit(code)
	}
}

func rootCommand() *cobra.Command {
	var configPath, featuresPath string
	cmd := &cobra.Command{
		Use:   "grebedock --config FILE",
		Short: "A decentralized scheduler of tasks with deadlines",
		Long: "grebedock runs one controller of a cluster scheduler. All controllers run the\n" +
			"same program; what has to outlive one is kept in the state service.\n" +
			"LOG_LEVEL (error, info, debug) sets what is logged to standard error.",
		Example:       "  grebedock check member.toml\n  grebedock --config member.toml",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if configPath == "" {
				return fmt.Errorf("--config is missing; see grebedock --help")
			}
			return run(cmd.Context(), configPath, featuresPath)
		},
	}
	cmd.Flags().StringVar(&configPath, "config", "", "settings file that the platform hands over (TOML)")
	addFeaturesFlag(cmd, &featuresPath)
	cmd.AddCommand(
		submitCommand(),
		jobCommand(),
		cancelCommand(),
		statusCommand(),
		machinesCommand(),
		teamsCommand(),
		drainCommand(),
		rolloutCommand(),
		settingsCommand(),
		workflowCommand(),
		labCommand(),
		scheduleCommand(),
		calendarCommand(),
		checkCommand(),
		&cobra.Command{
			Use:   "version",
			Short: "Print the version",
			Args:  cobra.NoArgs,
			Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "grebedock", version) },
		},
	)
	return cmd
}

func addFeaturesFlag(c *cobra.Command, path *string) {
	c.Flags().StringVar(path, "features", "", "file that switches on what is new (TOML); without it, nothing is")
}

func checkCommand() *cobra.Command {
	var featuresPath string
	cmd := &cobra.Command{
		Use:     "check [FILE]",
		Short:   "Check a settings file, a features file or both, and say what is wrong",
		Example: "  grebedock check member.toml\n  grebedock check --features deploy/run.toml member.toml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 && featuresPath == "" {
				return fmt.Errorf("nothing to check: name a settings file, --features or both")
			}
			var errs []error
			if len(args) == 1 {
				errs = append(errs, checkSettings(cmd.OutOrStdout(), args[0]))
			}
			if featuresPath != "" {
				errs = append(errs, checkFeatures(cmd.OutOrStdout(), featuresPath))
			}
			return errors.Join(errs...)
		},
	}
	addFeaturesFlag(cmd, &featuresPath)
	return cmd
}

func checkSettings(out io.Writer, path string) error {
	f, err := config.Load(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: member %s, %d others, %d teams: good\n", path, f.Member, len(f.Peers), len(f.Cluster.Teams))
	return nil
}

func checkFeatures(out io.Writer, path string) error {
	enabled, err := features.Load(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: on %v: good\n", path, enabled.EnabledNames())
	return nil
}

// memoryLimitShare is the share of the member's memory limit above which the garbage collector
// works harder.
const memoryLimitShare = 0.9

func run(ctx context.Context, configPath, featuresPath string) error {
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	settings, err := config.Load(configPath)
	if err != nil {
		return err
	}
	enabled, err := features.Load(featuresPath)
	if err != nil {
		return err
	}
	// Below that limit the collector runs less often: a member has only a share of one core, and
	// its live heap is a few megabytes.
	debug.SetMemoryLimit(int64(settings.Cluster.Limits.HeapBytes() * memoryLimitShare))
	debug.SetGCPercent(400)
	if settings.Cluster.Limits.CPUShare <= 1 {
		// With a share of one core, more threads would only take turns.
		runtime.GOMAXPROCS(1)
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	return node.Run(ctx, settings, enabled, logger)
}

func logLevel(s string) (slog.Level, error) {
	switch strings.ToLower(s) {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL %q is none of error, info, debug", s)
}
