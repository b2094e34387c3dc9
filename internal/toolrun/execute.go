package toolrun

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/grebedock/grebedock/cwl"
)

// bytesPerMiB converts bytes to MiB, the unit of runtime.ram in the CWL specification.
const bytesPerMiB = 1 << 20

// diskMiB is the size of the tool's directories in MiB that expressions read (runtime.outdirSize and tmpdirSize). It is
// the default of the CWL specification, since toolrun neither reserves nor limits disk space.
const diskMiB = int64(1024)

// taskDirs are the directories of an attempt.
type taskDirs struct {
	base string // the task's directory, with its logs
	out  string // the tool's working directory
	tmp  string
}

// newTaskDirs creates a task's directories below a path. It removes the directories of an earlier attempt first.
func newTaskDirs(path string) (taskDirs, error) {
	base, err := filepath.Abs(path)
	if err != nil {
		return taskDirs{}, err
	}
	dirs := taskDirs{base: base, out: filepath.Join(base, "out"), tmp: filepath.Join(base, "tmp")}
	for _, dir := range []string{dirs.out, dirs.tmp} {
		if err := os.RemoveAll(dir); err != nil {
			return taskDirs{}, err
		}
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return taskDirs{}, err
		}
	}
	return dirs, nil
}

// Run runs a tool in a directory of its own and returns its outputs. It adds requested contents and secondary files to
// the inputs in place. The error describes why the tool could not start, how it failed, or which output does not match
// its declaration. If ctx ends first, the error is that the tool was stopped.
func Run(ctx context.Context, p *cwl.Process, inputs map[string]any, dir string) (map[string]any, error) {
	dirs, err := newTaskDirs(dir)
	if err != nil {
		return nil, err
	}
	if err := completeInputs(p, inputs); err != nil {
		return nil, err
	}
	resources, err := p.Resources(inputs)
	if err != nil {
		return nil, err
	}
	runtime := map[string]any{
		"outdir":     dirs.out,
		"tmpdir":     dirs.tmp,
		"cores":      int64(max(1, resources.CPUs)),
		"ram":        int64(resources.MemoryGB * 1e9 / bytesPerMiB),
		"outdirSize": diskMiB,
		"tmpdirSize": diskMiB,
	}
	command, err := p.CommandLine(inputs, runtime)
	if err != nil {
		return nil, err
	}
	if err := stageFiles(command.Files, dirs.out); err != nil {
		return nil, err
	}
	code, err := execute(ctx, command, dirs)
	if err != nil {
		return nil, err
	}
	if !isSuccess(p, code) {
		return nil, fmt.Errorf("%s exits with %d%s", command.Args[0], code, lastLine(dirs.defaultStderr()))
	}
	runtime["exitCode"] = int64(code)
	return collectOutputs(p, inputs, runtime, dirs.out)
}

// isSuccess reports whether a tool declares an exit code as success. The default is 0.
func isSuccess(p *cwl.Process, code int) bool {
	if len(p.SuccessCodes) == 0 {
		return code == 0
	}
	return slices.Contains(p.SuccessCodes, code)
}

// stageFiles writes, copies or links files into the tool's directory before the tool starts.
func stageFiles(files []cwl.Staged, out string) error {
	for _, f := range files {
		target := filepath.Join(out, f.Name)
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		var err error
		switch {
		case f.Path == "":
			err = os.WriteFile(target, []byte(f.Text), 0o644)
		case f.Writable:
			err = copyTree(f.Path, target)
		default:
			err = os.Symlink(f.Path, target)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// copyTree copies a file or directory, so that the tool can modify the copy.
func copyTree(from, to string) error {
	info, err := os.Stat(from)
	if err != nil {
		return err
	}
	if info.IsDir() {
		return os.CopyFS(to, os.DirFS(from))
	}
	b, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, b, info.Mode().Perm()|0o200)
}

// killDelay bounds the time for which Run waits for the standard streams of a tool to close after the tool was killed.
const killDelay = 2 * time.Second

func (dirs taskDirs) defaultStdout() string { return filepath.Join(dirs.base, "stdout.log") }
func (dirs taskDirs) defaultStderr() string { return filepath.Join(dirs.base, "stderr.log") }

// createLog creates the file for a standard stream: the named file in the tool's directory, or the file at defaultPath
// if name is empty.
func (dirs taskDirs) createLog(name, defaultPath string) (*os.File, error) {
	if name == "" {
		return os.Create(defaultPath)
	}
	if !filepath.IsLocal(name) {
		return nil, fmt.Errorf("%q is no name within the tool's directory", name)
	}
	return os.Create(filepath.Join(dirs.out, name))
}

// newCmd returns a command that is killed when ctx ends, together with its process group. The command is also killed
// when this process dies.
func newCmd(ctx context.Context, command *cwl.Command, dirs taskDirs) *exec.Cmd {
	args := command.Args
	if command.Shell {
		args = []string{"/bin/sh", "-c", command.Args[0]}
	}
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Dir = dirs.out
	// The tool has its own process group, so that one signal kills all of its processes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = killDelay
	cmd.Env = []string{"HOME=" + dirs.out, "TMPDIR=" + dirs.tmp, "PATH=" + os.Getenv("PATH")}
	for _, e := range command.Env {
		cmd.Env = append(cmd.Env, e.Name+"="+e.Value)
	}
	return cmd
}

// execute runs a command with its standard streams and returns its exit code.
func execute(ctx context.Context, command *cwl.Command, dirs taskDirs) (code int, err error) {
	if command.TimeLimitS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(command.TimeLimitS*float64(time.Second)))
		defer cancel()
	}
	cmd := newCmd(ctx, command, dirs)
	stdout, err := dirs.createLog(command.Stdout, dirs.defaultStdout())
	if err != nil {
		return 0, err
	}
	defer stdout.Close()
	stderr, err := dirs.createLog(command.Stderr, dirs.defaultStderr())
	if err != nil {
		return 0, err
	}
	defer stderr.Close()
	cmd.Stdout, cmd.Stderr = stdout, stderr
	if command.Stdin != "" {
		stdin, err := os.Open(command.Stdin)
		if err != nil {
			return 0, err
		}
		defer stdin.Close()
		cmd.Stdin = stdin
	}
	err = cmd.Run()
	var exit *exec.ExitError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return 0, fmt.Errorf("%s ran for longer than its %g s", cmd.Args[0], command.TimeLimitS)
	case ctx.Err() != nil:
		return 0, errors.New("stopped")
	case errors.As(err, &exit) && exit.ExitCode() >= 0:
		return exit.ExitCode(), nil
	}
	return 0, err
}

// lastLine returns ": " and the last line of a file, or an empty string if the file is empty or unreadable.
func lastLine(name string) string {
	b, err := os.ReadFile(name)
	lines := bytes.Split(bytes.TrimSpace(b), []byte("\n"))
	if err != nil || len(lines[len(lines)-1]) == 0 {
		return ""
	}
	return ": " + string(lines[len(lines)-1])
}
