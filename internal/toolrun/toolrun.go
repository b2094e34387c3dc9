// Package toolrun runs the command line tools of workflows as plain processes, for workers that share a directory with
// the controllers. Tools are not isolated: a tool has all permissions that its user has on this machine.
//
// # Files
//
// The package owns a directory for the files that a job's workers read and write:
//
//	JOB/job.json            description of the job: the tool and the inputs of its tasks
//	JOB/TASK/outputs.json   outputs of the task, written last
//	JOB/TASK/error.txt      error of the task's last failed attempt
//	JOB/TASK/out, tmp       directories of the task while it runs
//	JOB/TASK/stdout.log     standard output, if the tool names no file for it
//	JOB/TASK/stderr.log     standard error, if the tool names no file for it
//
// JOB is the job's ID and TASK the task's index within the job.
//
// # Assumptions
//
// Controllers write a job's description before a worker starts the job's tasks. At most one worker runs a task at a
// time.
//
// # Guarantees
//
// Description and outputs are written atomically. A task that is stopped or exceeds its time limit is killed with all
// processes of its process group. The processes that a tool leaves in the background when it exits by itself are not
// killed. Each attempt starts in empty directories.
//
// # Failures
//
// When a worker dies, its tools are killed (Linux: SIGKILL at the death of the parent's thread). The next attempt
// removes the files that they left. ReadOutputs reports missing outputs as a permanent failure, and an error of the
// file system as one that may be temporary.
package toolrun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/workflow"
)

// Names of files in a job's or task's directory.
const (
	descriptionFile = "job.json"
	outputsFile     = "outputs.json"
	errorFile       = "error.txt"
)

// Dir is the path of the directory that workers and controllers share.
type Dir string

func (d Dir) jobPath(id string) string         { return filepath.Join(string(d), id) }
func (d Dir) taskPath(id string, n int) string { return filepath.Join(d.jobPath(id), strconv.Itoa(n)) }
func (d Dir) descriptionPath(id string) string { return filepath.Join(d.jobPath(id), descriptionFile) }
func (d Dir) outputsPath(id string, n int) string {
	return filepath.Join(d.taskPath(id, n), outputsFile)
}

// WriteDescription writes the description of a job, which its workers read.
func (d Dir) WriteDescription(id string, description []byte) error {
	if err := os.MkdirAll(d.jobPath(id), 0o755); err != nil {
		return err
	}
	return writeAtomically(d.descriptionPath(id), description)
}

// writeAtomically writes a temporary file and renames it, so that readers never see a partial file.
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

// ReadOutputs reads the outputs of a job's tasks. Missing in the result means that the outputs of a task do not exist
// or are malformed, and that a retry cannot succeed. After Err, a retry may succeed.
func (d Dir) ReadOutputs(id string, tasks int) workflow.DataResult {
	var result workflow.DataResult
	for n := range tasks {
		b, err := os.ReadFile(d.outputsPath(id, n))
		if errors.Is(err, os.ErrNotExist) {
			return workflow.DataResult{Missing: fmt.Sprintf("task %d of %s left no outputs", n, id)}
		}
		if err != nil {
			return workflow.DataResult{Err: err}
		}
		v, err := cwl.DecodeJSON(b)
		outputs, ok := v.(map[string]any)
		if err != nil || !ok {
			return workflow.DataResult{Missing: fmt.Sprintf("the outputs of task %d of %s are unreadable", n, id)}
		}
		result.Outputs = append(result.Outputs, outputs)
	}
	return result
}

// HasDescription reports whether the job has a description, so that its tasks run as tools of this package.
func (d Dir) HasDescription(id string) bool {
	_, err := os.Stat(d.descriptionPath(id))
	return err == nil
}

// Execution is a running or finished task.
type Execution struct {
	cancel context.CancelFunc
	done   chan struct{} // closed after err is set
	err    error
}

// Start starts the nth task of a job in the background. The caller polls IsFinished and can call Stop.
func (d Dir) Start(id string, n int) *Execution {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Execution{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(e.done)
		e.err = d.run(ctx, id, n)
		if e.err != nil && os.MkdirAll(d.taskPath(id, n), 0o755) == nil {
			name := filepath.Join(d.taskPath(id, n), errorFile)
			_ = os.WriteFile(name, []byte(e.err.Error()+"\n"), 0o644)
		}
	}()
	return e
}

// IsFinished reports whether the task has ended, and returns its error.
func (e *Execution) IsFinished() (bool, error) {
	select {
	case <-e.done:
		return true, e.err
	default:
		return false, nil
	}
}

// Stop kills the task with all processes of its process group, and waits until it has ended.
func (e *Execution) Stop() {
	e.cancel()
	<-e.done
}

// run runs a task and writes its outputs.
func (d Dir) run(ctx context.Context, id string, n int) error {
	b, err := os.ReadFile(d.descriptionPath(id))
	if err != nil {
		return err
	}
	tool, inputs, err := workflow.DecodeDescription(b)
	if err != nil {
		return err
	}
	if n >= len(inputs) {
		return fmt.Errorf("the job has %d tasks, not %d", len(inputs), n+1)
	}
	outputs, err := Run(ctx, tool, inputs[n], d.taskPath(id, n))
	if err != nil {
		return err
	}
	text, err := json.Marshal(outputs)
	if err != nil {
		return err
	}
	return writeAtomically(d.outputsPath(id, n), text)
}
