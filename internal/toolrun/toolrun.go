// Package toolrun runs the command line tools of workflows as plain processes, for workers that share a directory with
// the controllers. It isolates nothing: a tool does what its user may do on this machine.
//
// # What it owns
//
// A directory, with what a job's workers need and leave, by the job's id:
//
//	JOB/job.json            the tool and the inputs of its tasks
//	JOB/TASK/outputs.json   the outputs of a task, written last
//	JOB/TASK/error.txt      why its last attempt failed
//	JOB/TASK/out, tmp       the task's directories while it runs
//	JOB/TASK/stdout.log     and stderr.log: its standard streams, where the tool names no files for them
//
// # What it may assume
//
// Controllers write a job's description before a worker starts its tasks, and one worker at a time runs a task.
//
// # What it promises
//
// Description and outputs are there whole or not at all. A task that ends, is stopped or exceeds its time limit leaves
// no process behind. An attempt starts in empty directories.
//
// # Failures
//
// A worker that dies takes its tools with it (Linux: SIGKILL with the death of the parent's thread); the next attempt
// removes what it left. Without outputs, ReadOutputs says so for good; an error of the file system may pass.
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

// Dir is the shared directory.
type Dir string

func (d Dir) jobPath(id string) string         { return filepath.Join(string(d), id) }
func (d Dir) taskPath(id string, n int) string { return filepath.Join(d.jobPath(id), strconv.Itoa(n)) }
func (d Dir) descriptionPath(id string) string { return filepath.Join(d.jobPath(id), descriptionFile) }
func (d Dir) outputsPath(id string, n int) string {
	return filepath.Join(d.taskPath(id, n), outputsFile)
}

// WriteDescription writes what a job's workers need.
func (d Dir) WriteDescription(id string, description []byte) error {
	if err := os.MkdirAll(d.jobPath(id), 0o755); err != nil {
		return err
	}
	return writeAtomically(d.descriptionPath(id), description)
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

// ReadOutputs reads the outputs of a job's tasks. If one is missing or unreadable, reading again does not help; after
// an error it may.
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

// HasDescription reports whether a job's tasks are run here.
func (d Dir) HasDescription(id string) bool {
	_, err := os.Stat(d.descriptionPath(id))
	return err == nil
}

// Execution is a task that runs, or ran.
type Execution struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when err is set
	err    error
}

// Start begins the nth task of a job. The caller polls IsFinished, and may Stop it.
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

// IsFinished reports whether the task has ended, and the error that it ended with.
func (e *Execution) IsFinished() (bool, error) {
	select {
	case <-e.done:
		return true, e.err
	default:
		return false, nil
	}
}

// Stop ends the task with all processes that it started, and waits for it.
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
