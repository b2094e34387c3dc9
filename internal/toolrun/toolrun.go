// Package toolrun runs the command line tools of workflows as plain processes,
// for workers that share a directory with the controllers. It isolates nothing:
// a tool does what its user may do on this machine.
//
// The directory holds what a job's workers need and give, by the job's id:
//
//	JOB/job.json            the tool and the inputs of its tasks
//	JOB/TASK/outputs.json   what a task gave, written last
//	JOB/TASK/error.txt      why its last try failed
//	JOB/TASK/out, tmp       the task's directories while it runs
package toolrun

import (
	"bytes"
	"context"
	"crypto/sha1" //nolint:gosec // the specification's checksum
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/workflow"
)

// Dir is the shared directory.
type Dir string

func (d Dir) jobPath(id string) string         { return filepath.Join(string(d), id) }
func (d Dir) taskPath(id string, n int) string { return filepath.Join(string(d), id, strconv.Itoa(n)) }
func (d Dir) outputsPath(id string, n int) string {
	return filepath.Join(d.taskPath(id, n), "outputs.json")
}

// WriteDescription writes what a job's workers need.
func (d Dir) WriteDescription(id string, description []byte) error {
	if err := os.MkdirAll(d.jobPath(id), 0o755); err != nil {
		return err
	}
	return writeAtomically(filepath.Join(d.jobPath(id), "job.json"), description)
}

// writeAtomically writes a file whole or not at all.
func writeAtomically(name string, b []byte) error {
	f, err := os.CreateTemp(filepath.Dir(name), ".new-*")
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(f.Name(), name)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// ReadOutputs reads what a job's tasks gave.
func (d Dir) ReadOutputs(id string, tasks int) workflow.DataResult {
	var r workflow.DataResult
	for n := range tasks {
		b, err := os.ReadFile(d.outputsPath(id, n))
		if errors.Is(err, os.ErrNotExist) {
			return workflow.DataResult{Missing: fmt.Sprintf("task %d of %s left no outputs", n, id)}
		}
		if err != nil {
			return workflow.DataResult{Err: err}
		}
		v, err := cwl.DecodeJSON(b)
		m, ok := v.(map[string]any)
		if err != nil || !ok {
			return workflow.DataResult{Missing: fmt.Sprintf("the outputs of task %d of %s are unreadable", n, id)}
		}
		r.Outputs = append(r.Outputs, m)
	}
	return r
}

// HasDescription tells whether a job's tasks are run here.
func (d Dir) HasDescription(id string) bool {
	_, err := os.Stat(filepath.Join(d.jobPath(id), "job.json"))
	return err == nil
}

// Execution is a task that runs.
type Execution struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// Start begins a task.
func (d Dir) Start(id string, n int) *Execution {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Execution{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(e.done)
		e.err = d.run(ctx, id, n)
		if e.err != nil && os.MkdirAll(d.taskPath(id, n), 0o755) == nil {
			_ = os.WriteFile(filepath.Join(d.taskPath(id, n), "error.txt"), []byte(e.err.Error()+"\n"), 0o644)
		}
	}()
	return e
}

// IsFinished tells whether the task has ended, and how.
func (e *Execution) IsFinished() (bool, error) {
	select {
	case <-e.done:
		return true, e.err
	default:
		return false, nil
	}
}

// Stop ends the task with all that it started, and waits for it.
func (e *Execution) Stop() {
	e.cancel()
	<-e.done
}

func (d Dir) run(ctx context.Context, id string, n int) error {
	b, err := os.ReadFile(filepath.Join(d.jobPath(id), "job.json"))
	if err != nil {
		return err
	}
	p, ins, err := workflow.DecodeDescription(b)
	if err != nil {
		return err
	}
	if n >= len(ins) {
		return fmt.Errorf("the job has %d tasks, not %d", len(ins), n+1)
	}
	outs, err := Run(ctx, p, ins[n], d.taskPath(id, n))
	if err != nil {
		return err
	}
	text, err := json.Marshal(outs)
	if err != nil {
		return err
	}
	return writeAtomically(d.outputsPath(id, n), text)
}

// Run runs a tool in a directory of its own and returns its outputs. Files of
// an earlier try are removed first.
func Run(ctx context.Context, p *cwl.Process, inputs map[string]any, dir string) (map[string]any, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	out, tmp := filepath.Join(dir, "out"), filepath.Join(dir, "tmp")
	for _, x := range []string{out, tmp} {
		if err := os.RemoveAll(x); err != nil {
			return nil, err
		}
		if err := os.MkdirAll(x, 0o755); err != nil {
			return nil, err
		}
	}
	for i, x := range p.Inputs {
		if x.LoadContents {
			if err := loadContents(inputs[x.ID]); err != nil {
				return nil, fmt.Errorf("inputs.%s: %w", p.Inputs[i].ID, err)
			}
		}
		if err := addSecondaryFiles(p, inputs[x.ID], x.Secondary, inputs); err != nil {
			return nil, fmt.Errorf("inputs.%s: %w", x.ID, err)
		}
	}
	resources, err := p.Resources(inputs)
	if err != nil {
		return nil, err
	}
	runtime := map[string]any{
		"outdir":     out,
		"tmpdir":     tmp,
		"cores":      int64(max(1, resources.CPUs)),
		"ram":        int64(resources.MemoryGB * 1e9 / (1 << 20)),
		"outdirSize": int64(1024),
		"tmpdirSize": int64(1024),
	}
	c, err := p.CommandLine(inputs, runtime)
	if err != nil {
		return nil, err
	}
	if err := stageFiles(c.Files, out); err != nil {
		return nil, err
	}
	code, err := execute(ctx, c, dir, out, tmp)
	if err != nil {
		return nil, err
	}
	if ok := p.SuccessCodes; !(code == 0 && len(ok) == 0 || slices.Contains(ok, code)) {
		return nil, fmt.Errorf("%s exits with %d%s", c.Args[0], code, lastLine(filepath.Join(dir, "stderr.log")))
	}
	runtime["exitCode"] = int64(code)
	return collectOutputs(p, inputs, runtime, out)
}

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

func copyTree(from, to string) error {
	st, err := os.Stat(from)
	if err != nil {
		return err
	}
	if st.IsDir() {
		return os.CopyFS(to, os.DirFS(from))
	}
	b, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, b, st.Mode().Perm()|0o200)
}

// killDelay is how long a tool that was told to end may take.
const killDelay = 2 * time.Second

func execute(ctx context.Context, c *cwl.Command, dir, out, tmp string) (code int, err error) {
	if c.TimeLimitS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(c.TimeLimitS*float64(time.Second)))
		defer cancel()
	}
	args := c.Args
	if c.Shell {
		args = []string{"/bin/sh", "-c", c.Args[0]}
	}
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Dir = out
	// A group of its own, so that what a tool started ends with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = killDelay
	cmd.Env = []string{"HOME=" + out, "TMPDIR=" + tmp, "PATH=" + os.Getenv("PATH")}
	for _, e := range c.Env {
		cmd.Env = append(cmd.Env, e.Name+"="+e.Value)
	}
	createLog := func(name, defaultName string) (*os.File, error) {
		path := filepath.Join(dir, defaultName)
		if name != "" {
			if !filepath.IsLocal(name) {
				return nil, fmt.Errorf("%q is no name within the tool's directory", name)
			}
			path = filepath.Join(out, name)
		}
		return os.Create(path)
	}
	stdout, err := createLog(c.Stdout, "stdout.log")
	if err != nil {
		return 0, err
	}
	defer stdout.Close()
	stderr, err := createLog(c.Stderr, "stderr.log")
	if err != nil {
		return 0, err
	}
	defer stderr.Close()
	cmd.Stdout, cmd.Stderr = stdout, stderr
	if c.Stdin != "" {
		in, err := os.Open(c.Stdin)
		if err != nil {
			return 0, err
		}
		defer in.Close()
		cmd.Stdin = in
	}
	err = cmd.Run()
	var exit *exec.ExitError
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		return 0, fmt.Errorf("%s ran for longer than its %g s", args[0], c.TimeLimitS)
	case ctx.Err() != nil:
		return 0, errors.New("stopped")
	case errors.As(err, &exit) && exit.ExitCode() >= 0:
		return exit.ExitCode(), nil
	}
	return 0, err
}

func lastLine(name string) string {
	b, err := os.ReadFile(name)
	lines := bytes.Split(bytes.TrimSpace(b), []byte("\n"))
	if err != nil || len(lines[len(lines)-1]) == 0 {
		return ""
	}
	return ": " + string(lines[len(lines)-1])
}

// collectOutputs reads a tool's outputs from its directory.
func collectOutputs(p *cwl.Process, in, runtime map[string]any, out string) (map[string]any, error) {
	outs := map[string]any{}
	if b, err := os.ReadFile(filepath.Join(out, "cwl.output.json")); err == nil {
		v, err := cwl.DecodeJSON(b)
		m, ok := v.(map[string]any)
		if err != nil || !ok {
			return nil, errors.New("cwl.output.json is no JSON object")
		}
		for k, x := range m {
			outs[k] = cwl.Named(x)
		}
		return outs, p.CheckOutputs(outs)
	}
	sc := cwl.Scope{Inputs: in, Runtime: runtime}
	for _, o := range p.Outputs {
		v, err := collectOutput(p, &o, sc, out)
		if err != nil {
			return nil, fmt.Errorf("outputs.%s: %w", o.ID, err)
		}
		outs[o.ID] = v
	}
	return outs, p.CheckOutputs(outs)
}

func collectOutput(p *cwl.Process, o *cwl.Output, sc cwl.Scope, out string) (any, error) {
	files := []any{}
	for _, g := range o.Glob {
		v, err := cwl.Eval(g, sc, p.Req)
		if err != nil {
			return nil, err
		}
		patterns, isList := v.([]any)
		if !isList {
			patterns = []any{v}
		}
		for _, x := range patterns {
			pattern, _ := x.(string)
			if !filepath.IsLocal(pattern) {
				return nil, fmt.Errorf("glob: %v is no name within the tool's directory", x)
			}
			names, err := filepath.Glob(filepath.Join(out, pattern))
			if err != nil {
				return nil, err
			}
			for _, name := range names {
				f, err := describeFile(name, o.LoadContents)
				if err != nil {
					return nil, err
				}
				files = append(files, f)
			}
		}
	}
	for _, f := range files {
		if err := addSecondaryFiles(p, f, o.Secondary, sc.Inputs); err != nil {
			return nil, err
		}
	}
	if o.OutputEval != "" {
		sc.Self = files
		return cwl.Eval(o.OutputEval, sc, p.Req)
	}
	if o.Type.Name == "array" {
		return files, nil
	}
	if len(files) == 0 {
		return nil, nil
	}
	if len(files) > 1 {
		return nil, fmt.Errorf("%d files match, where one is wanted", len(files))
	}
	return files[0], nil
}

// maxContentsBytes is the specification's bound on loadContents.
const maxContentsBytes = 64 << 10

func describeFile(name string, contents bool) (map[string]any, error) {
	st, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	f := map[string]any{"class": "File", "path": name, "location": "file://" + name}
	if st.IsDir() {
		f["class"] = "Directory"
		return cwl.Named(f).(map[string]any), nil
	}
	r, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	sum := sha1.New() //nolint:gosec // the specification's checksum
	if _, err := io.Copy(sum, r); err != nil {
		return nil, err
	}
	f["size"], f["checksum"] = st.Size(), fmt.Sprintf("sha1$%x", sum.Sum(nil))
	f = cwl.Named(f).(map[string]any)
	if contents {
		err = loadContents(f)
	}
	return f, err
}

// loadContents reads files into values.
func loadContents(v any) error {
	switch v := v.(type) {
	case []any:
		for _, x := range v {
			if err := loadContents(x); err != nil {
				return err
			}
		}
	case map[string]any:
		name, _ := v["path"].(string)
		if v["class"] != "File" || name == "" {
			return nil
		}
		st, err := os.Stat(name)
		if err != nil {
			return err
		}
		if st.Size() > maxContentsBytes {
			return fmt.Errorf("%s has %d bytes, more than loadContents takes (%d)", name, st.Size(), maxContentsBytes)
		}
		b, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		v["contents"] = string(b)
	}
	return nil
}

// addSecondaryFiles finds the files that go with others.
func addSecondaryFiles(p *cwl.Process, v any, patterns []cwl.Secondary, in map[string]any) error {
	if len(patterns) == 0 {
		return nil
	}
	if l, ok := v.([]any); ok {
		for _, x := range l {
			if err := addSecondaryFiles(p, x, patterns, in); err != nil {
				return err
			}
		}
		return nil
	}
	f, ok := v.(map[string]any)
	name, _ := f["path"].(string)
	if !ok || f["class"] != "File" || name == "" || f["secondaryFiles"] != nil {
		return nil
	}
	list := []any{}
	for _, s := range patterns {
		pattern, err := cwl.EvalText(s.Pattern, cwl.Scope{Inputs: in, Self: f}, p.Req)
		if err != nil {
			return err
		}
		other := name
		for strings.HasPrefix(pattern, "^") {
			other, pattern = strings.TrimSuffix(other, filepath.Ext(other)), pattern[1:]
		}
		if cwl.HasExpr(s.Pattern) {
			other = filepath.Join(filepath.Dir(name), pattern)
		} else {
			other += pattern
		}
		if _, err := os.Stat(other); err != nil {
			if s.Required == "false" {
				continue
			}
			return fmt.Errorf("the secondary file %s is missing", other)
		}
		d, err := describeFile(other, false)
		if err != nil {
			return err
		}
		list = append(list, d)
	}
	f["secondaryFiles"] = list
	return nil
}
