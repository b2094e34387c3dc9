package toolrun

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/grebedock/grebedock/cwl"
	"github.com/grebedock/grebedock/workflow"
)

// loadTool loads a command line tool from the given fields. It adds the version and the class.
func loadTool(t *testing.T, fields string) *cwl.Process {
	t.Helper()
	p, err := cwl.Load("tool.cwl", func(string) ([]byte, error) {
		return []byte("cwlVersion: v1.2\nclass: CommandLineTool\n" + fields), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// writeFile writes a file to a new directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

const shellTool = "requirements: {ShellCommandRequirement: {}}\nbaseCommand: []\n" +
	"arguments: [{valueFrom: '%', shellQuote: false}]\n"

// shell returns the fields of a tool that runs a shell script.
func shell(script string) string { return strings.Replace(shellTool, "%", script, 1) }

func TestStdoutIsCollectedAsFile(t *testing.T) {
	p := loadTool(t, "baseCommand: [echo, hello]\ninputs: {}\noutputs: {o: stdout}\nstdout: greeting.txt\n")
	dir := t.TempDir()
	outputs, err := Run(context.Background(), p, map[string]any{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	file := outputs["o"].(map[string]any)
	for field, want := range map[string]any{
		"class":    "File",
		"path":     filepath.Join(dir, "out", "greeting.txt"),
		"basename": "greeting.txt",
		"nameroot": "greeting",
		"size":     int64(6),
		"checksum": "sha1$f572d396fae9206628714fb2ce00f72e94f2258f",
	} {
		if file[field] != want {
			t.Errorf("%s: got %v, want %v", field, file[field], want)
		}
	}
}

func TestOutputsByGlob(t *testing.T) {
	files := "inputs: {}\noutputs: {o: {type: %, outputBinding: {glob: '*.txt'}}}\n"
	for _, c := range []struct{ name, script, outputType, expectedErr string }{
		{"one file", "echo a > a.txt", "File", ""},
		{"list", "touch a.txt b.txt", "'File[]'", ""},
		{"two files for one", "touch a.txt b.txt", "File", "outputs.o: 2 files match, where one is wanted"},
		{"missing file", "true", "File", "output o: got null, want object"},
		{"missing optional file", "true", "'File?'", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := loadTool(t, shell(c.script)+strings.Replace(files, "%", c.outputType, 1))
			_, err := Run(context.Background(), p, map[string]any{}, t.TempDir())
			if got := errorText(err); got != c.expectedErr {
				t.Errorf("got %q, want %q", got, c.expectedErr)
			}
		})
	}
}

func TestOutputsFromCWLOutputJSON(t *testing.T) {
	p := loadTool(t, shell("echo $TEXT > cwl.output.json")+"inputs: {}\noutputs: {n: int}\n"+
		"hints: {EnvVarRequirement: {envDef: {TEXT: '{\"n\": 7}'}}}\n")
	outputs, err := Run(context.Background(), p, map[string]any{}, t.TempDir())
	if err != nil || outputs["n"] != int64(7) {
		t.Errorf("got outputs %v, error %v, want n = 7", outputs, err)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestFailureReasons(t *testing.T) {
	ports := "inputs: {}\noutputs: {}\n"
	for _, c := range []struct{ name, tool, expectedErr string }{
		{"exit code", shell("echo first >&2; echo boom >&2; exit 3") + ports, " exits with 3: boom"},
		{"exit code without stderr", shell("exit 3") + ports, "exit 3 exits with 3"},
		{"other success codes", shell("exit 0") + "successCodes: [3]\n" + ports, "exit 0 exits with 0"},
		{
			"time limit",
			"baseCommand: [sleep, '60']\nhints: {ToolTimeLimit: {timelimit: 0.1}}\n" + ports,
			"sleep ran for longer than its 0.1 s",
		},
		{"stdout elsewhere", "baseCommand: x\nstdout: ../x\n" + ports, `"../x" is no name within the tool's directory`},
		{
			"glob elsewhere",
			"baseCommand: 'true'\ninputs: {}\noutputs: {o: {type: File, outputBinding: {glob: ../x}}}\n",
			"outputs.o: glob: ../x is no name within the tool's directory",
		},
		{
			"wrong cwl.output.json",
			shell("echo [] > cwl.output.json") + ports,
			"cwl.output.json is no JSON object",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Run(context.Background(), loadTool(t, c.tool), map[string]any{}, t.TempDir())
			if got := errorText(err); !strings.HasSuffix(got, c.expectedErr) || got == "" {
				t.Errorf("got %q, want suffix %q", got, c.expectedErr)
			}
		})
	}
}

func TestDeclaredSuccessCodesAreAccepted(t *testing.T) {
	p := loadTool(t, shell("exit 3")+"successCodes: [3]\ninputs: {}\noutputs: {}\n")
	if _, err := Run(context.Background(), p, map[string]any{}, t.TempDir()); err != nil {
		t.Error(err)
	}
}

func TestInputContentsAndSecondaryFiles(t *testing.T) {
	p := loadTool(t, "baseCommand: cat\ninputs:\n  f:\n    type: File\n    loadContents: true\n"+
		"    secondaryFiles: ['^.idx', {pattern: .opt, required: false}]\n    inputBinding: {}\noutputs: {}\n")
	name := writeFile(t, "data.txt", "content")
	inputs := func() map[string]any {
		return map[string]any{"f": map[string]any{"class": "File", "path": name}}
	}
	missing := strings.TrimSuffix(name, ".txt") + ".idx"
	_, err := Run(context.Background(), p, inputs(), t.TempDir())
	if got, want := errorText(err), "inputs.f: the secondary file "+missing+" is missing"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if err := os.WriteFile(missing, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	in := inputs()
	if _, err := Run(context.Background(), p, in, t.TempDir()); err != nil {
		t.Fatal(err)
	}
	file := in["f"].(map[string]any)
	secondary, _ := file["secondaryFiles"].([]any)
	if file["contents"] != "content" || len(secondary) != 1 || secondary[0].(map[string]any)["path"] != missing {
		t.Errorf("got %v, want contents %q and the secondary file %s", file, "content", missing)
	}
}

func TestWorkDirectoryIsStaged(t *testing.T) {
	name := writeFile(t, "data.txt", "content")
	p := loadTool(t, "requirements:\n  InitialWorkDirRequirement:\n    listing:\n"+
		"      - {entryname: sub/text, entry: hello}\n"+
		"      - {entryname: link, entry: $(inputs.f)}\n"+
		"      - {entryname: copy, entry: $(inputs.f), writable: true}\n"+
		"baseCommand: 'true'\ninputs: {f: File}\noutputs: {}\n")
	dir := t.TempDir()
	inputs := map[string]any{"f": map[string]any{"class": "File", "path": name}}
	if _, err := Run(context.Background(), p, inputs, dir); err != nil {
		t.Fatal(err)
	}
	for file, want := range map[string]string{"sub/text": "hello", "link": "content", "copy": "content"} {
		got, err := os.ReadFile(filepath.Join(dir, "out", file))
		if err != nil || string(got) != want {
			t.Errorf("%s: got %q, %v, want %q", file, got, err, want)
		}
	}
	if target, err := os.Readlink(filepath.Join(dir, "out", "link")); err != nil || target != name {
		t.Errorf("link: got target %q, error %v, want %q", target, err, name)
	}
	if info, err := os.Lstat(filepath.Join(dir, "out", "copy")); err != nil || !info.Mode().IsRegular() {
		t.Errorf("copy: got %v, error %v, want a regular file", info, err)
	}
}

// startTask writes the description of a job with one task and starts the task.
func startTask(t *testing.T, dir Dir, p *cwl.Process) *Execution {
	t.Helper()
	call := &workflow.Call{Tool: p, Inputs: []map[string]any{{}}}
	if dir.HasDescription("job") {
		t.Fatal("HasDescription before the description is written: got true, want false")
	}
	if err := dir.WriteDescription("job", workflow.EncodeDescription(call)); err != nil {
		t.Fatal(err)
	}
	if !dir.HasDescription("job") {
		t.Fatal("HasDescription after the description is written: got false, want true")
	}
	e := dir.Start("job", 0)
	t.Cleanup(e.Stop)
	return e
}

func waitFinished(t *testing.T, e *Execution) error {
	t.Helper()
	for range 1000 {
		if finished, err := e.IsFinished(); finished {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the task did not end within 10 s")
	return nil
}

func TestTaskWritesOutputs(t *testing.T) {
	dir := Dir(t.TempDir())
	p := loadTool(t, "baseCommand: [echo, hello]\ninputs: {}\noutputs: {o: stdout}\nstdout: greeting.txt\n")
	if got := dir.ReadOutputs("job", 1).Missing; got != "task 0 of job left no outputs" {
		t.Errorf("before the task runs: got Missing %q, want that task 0 left no outputs", got)
	}
	e := startTask(t, dir, p)
	if err := waitFinished(t, e); err != nil {
		t.Fatal(err)
	}
	result := dir.ReadOutputs("job", 1)
	if result.Err != nil || result.Missing != "" || len(result.Outputs) != 1 {
		t.Fatalf("got %+v, want the outputs of one task", result)
	}
	if file := result.Outputs[0]["o"].(map[string]any); file["size"] != int64(6) {
		t.Errorf("got %v, want size 6", file)
	}
	if err := os.WriteFile(dir.outputsPath("job", 0), []byte("[]"), 0o644); err != nil {
		t.Fatal(err)
	}
	if got := dir.ReadOutputs("job", 1).Missing; got != "the outputs of task 0 of job are unreadable" {
		t.Errorf("with malformed outputs: got Missing %q, want that they are unreadable", got)
	}
}

func TestFailedTaskWritesErrorFile(t *testing.T) {
	dir := Dir(t.TempDir())
	e := startTask(t, dir, loadTool(t, shell("exit 3")+"inputs: {}\noutputs: {}\n"))
	err := waitFinished(t, e)
	text, readErr := os.ReadFile(filepath.Join(dir.taskPath("job", 0), "error.txt"))
	if err == nil || readErr != nil || string(text) != err.Error()+"\n" {
		t.Errorf("got error %v, file %q, %v, want the error in the file", err, text, readErr)
	}
	if err := waitFinished(t, dir.Start("job", 1)); errorText(err) != "the job has 1 tasks, not 2" {
		t.Errorf("task index outside the job: got error %v, want that the job has 1 tasks", err)
	}
}

// Stop must end a task and the processes that it started without waiting for them to finish.
func TestStoppedTaskEndsWithItsProcesses(t *testing.T) {
	dir := Dir(t.TempDir())
	e := startTask(t, dir, loadTool(t, shell("sleep 60 & sleep 60")+"inputs: {}\noutputs: {}\n"))
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	e.Stop()
	finished, err := e.IsFinished()
	if !finished || errorText(err) != "stopped" {
		t.Errorf("got finished %t, error %v, want true and \"stopped\"", finished, err)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("Stop took %v, want at most 10 s", took)
	}
}
