// Command grebedock runs a controller of the cluster scheduler. Its subcommands are for users and
// operators of a cluster, and for experiments.
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
		Short: "A decentralized cluster scheduler for tasks with deadlines",
		Long: "grebedock runs one controller of a cluster scheduler. All controllers run the\n" +
			"same program; state that must survive a controller is kept in the state service.\n" +
			"LOG_LEVEL (error, info, debug) sets the level of the log on standard error.",
		Example:       "  grebedock check member.toml\n  grebedock --config member.toml",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if configPath == "" {
				return fmt.Errorf("required flag --config is not set; see grebedock --help")
			}
			return run(cmd.Context(), configPath, featuresPath)
		},
	}
	cmd.Flags().StringVar(&configPath, "config", "", "settings file provided by the platform (TOML)")
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
	c.Flags().StringVar(path, "features", "", "features file (TOML); without it, all optional features are disabled")
}

func checkCommand() *cobra.Command {
	var featuresPath string
	cmd := &cobra.Command{
		Use:     "check [FILE]",
		Short:   "Validate a settings file, a features file or both, and report errors",
		Example: "  grebedock check member.toml\n  grebedock check --features deploy/run.toml member.toml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 && featuresPath == "" {
				return fmt.Errorf("nothing to check: specify a settings file, --features or both")
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
	fmt.Fprintf(out, "%s: member %s, %d peers, %d teams: valid\n", path, f.Member, len(f.Peers), len(f.Cluster.Teams))
	return nil
}

func checkFeatures(out io.Writer, path string) error {
	enabled, err := features.Load(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: enabled features %v: valid\n", path, enabled.EnabledNames())
	return nil
}

// memoryLimitShare is the soft memory limit of the Go runtime (GOMEMLIMIT) as a share of the bytes
// that it may hold. Above the soft limit the garbage collector runs more often.
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
	// Below the soft limit, a GC percentage of 400 makes the collector run less often: a member has
	// only a share of one core, and its live heap is a few megabytes.
	debug.SetMemoryLimit(int64(settings.Cluster.Limits.HeapBytes() * memoryLimitShare))
	debug.SetGCPercent(400)
	if settings.Cluster.Limits.CPUShare <= 1 {
		// With at most one core, additional threads would only compete for it.
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
	return 0, fmt.Errorf("invalid LOG_LEVEL %q: must be error, info or debug", s)
}
