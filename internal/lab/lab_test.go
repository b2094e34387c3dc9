package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/grebedock/grebedock/scheduler"
)

// taskStart is the start of a task, as observed on the machines.
type taskStart struct {
	task, job, run string
	priority       scheduler.Priority
	cpus           float64 // processors in use on all machines, including the task's own
}

type recorder struct {
	mu     sync.Mutex
	starts []taskStart
}

func (r *recorder) record(task string, j *scheduler.Job, cpus float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, taskStart{task, j.ID, j.WorkflowRun, j.Priority, cpus})
}

func (r *recorder) snapshot() []taskStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]taskStart(nil), r.starts...)
}

// ruleViolations checks recorded starts, in their order, against three rules. While the urgent job
// is queued, no task of a lower priority starts before its last task. The team stays within its
// limit. No task starts more often than its step's retries allow.
func ruleViolations(
	starts []taskStart,
	urgent string,
	startsBeforeUrgent int,
	cpuLimit float64,
	maxStartsByRun map[string]int,
) []string {
	var out []string
	last := -1
	var priority scheduler.Priority
	for i, s := range starts {
		if s.job == urgent {
			last, priority = i, s.priority
		}
	}
	if last < 0 {
		return []string{urgent + " did not start"}
	}
	count := map[string]int{}
	for i, s := range starts {
		if i >= startsBeforeUrgent && i < last && s.priority < priority {
			out = append(out, fmt.Sprintf("%s started before the queued job %s", s.task, urgent))
		}
		if s.cpus > cpuLimit+1e-6 {
			out = append(out, fmt.Sprintf("start of %s: got %g processors in use, want at most %g",
				s.task, s.cpus, cpuLimit))
		}
		if count[s.task]++; maxStartsByRun[s.run] > 0 && count[s.task] > maxStartsByRun[s.run] {
			out = append(
				out,
				fmt.Sprintf("%s: got start %d, want at most %d", s.task, count[s.task], maxStartsByRun[s.run]),
			)
		}
	}
	return out
}

type client struct {
	t   testing.TB
	lab *Lab
}

// request sends a request to a member. It repeats the request for up to 20 s until the status is
// below 429.
func (c client) request(member int, method, path string, body any) (int, map[string]any) {
	c.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	var last any
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		req, err := http.NewRequest(method, "http://"+c.lab.UserAddrs[member]+path, bytes.NewReader(b))
		if err != nil {
			c.t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			last = err
			continue
		}
		text, _ := io.ReadAll(res.Body)
		res.Body.Close()
		var m map[string]any
		_ = json.Unmarshal(text, &m)
		if res.StatusCode < 429 {
			return res.StatusCode, m
		}
		last = res.Status + " " + string(text)
	}
	c.t.Fatalf("%s %s: no final response within 20 s, last attempt: %v", method, path, last)
	return 0, nil
}

func (c client) submitJob(id, priority string, tasks int, seconds float64) {
	c.t.Helper()
	s, m := c.request(
		0,
		"POST",
		"/work",
		map[string]any{
			"ref":        id,
			"flock":      "f",
			"crew":       "ops",
			"shape":      "sweep",
			"rank":       priority,
			"chicks":     tasks,
			"cpus":       1,
			"cards":      0,
			"memory_gb":  1,
			"plumage":    "",
			"size_gb":    0,
			"same_place": false,
			"spread":     false,
			"driftwood":  true,
			"swim_s":     seconds,
			"surface_s":  0,
			"preen_s":    0,
		},
	)
	if s != 201 {
		c.t.Fatalf("submission of job %s: got status %d, %v, want 201", id, s, m)
	}
}

func (c client) submitWorkflow(member int, id string, doc, inputs map[string]any) {
	c.t.Helper()
	doc["cwlVersion"] = "v1.2"
	if s, m := c.request(member, "POST", "/v1/workflows", map[string]any{
		"id":       id,
		"document": doc,
		"inputs":   inputs,
		"job":      map[string]any{"team": "ops"},
	}); s != 201 {
		c.t.Fatalf("submission of workflow %s: got status %d, %v, want 201", id, s, m)
	}
}

func (c client) waitForEnd(member int, id string) map[string]any {
	c.t.Helper()
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if _, m := c.request(member, "GET", "/v1/workflows/"+id, nil); m["state"] == "done" || m["state"] == "failed" ||
			m["state"] == "cancelled" {
			return m
		}
	}
	c.t.Fatalf("run %s did not end within 60 s", id)
	return nil
}

func (c client) waitUntil(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(40 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within 40 s: %s", what)
		}
	}
}

func startLab(t testing.TB, o Options) (*Lab, client) {
	t.Helper()
	l, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	})
	err = l.StartAll(t.Context(), func(userAddr string) bool {
		res, err := http.Get("http://" + userAddr + "/up")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == 200
	})
	if err != nil {
		t.Fatal(err)
	}
	return l, client{t, l}
}

type object = map[string]any

// shellTool returns a tool that runs a shell script with the tool's input x as $1. Its output n is
// the number that the script prints.
func shellTool(script string, retries int) object {
	return object{"class": "CommandLineTool", "requirements": []any{object{"class": "InlineJavascriptRequirement"}},
		"hints": []any{object{"class": "https://grebedock.example/cwl#Job", "retries": retries, "estimate": 1}},
		"inputs": object{
			"x": object{"type": "int", "inputBinding": object{"position": 1}},
		}, "baseCommand": []any{"sh", "-c", script, "tool"}, "stdout": "n.txt",
		"outputs": object{
			"n": object{
				"type": "int",
				"outputBinding": object{
					"glob":         "n.txt",
					"loadContents": true,
					"outputEval":   "$(parseInt(self[0].contents))",
				},
			},
		}}
}

func scatterWorkflow(step object) object {
	return object{
		"class":   "Workflow",
		"inputs":  object{"xs": "int[]"},
		"outputs": object{"ns": object{"type": "int[]", "outputSource": "each/n"}},
		"steps":   object{"each": object{"run": step, "scatter": "x", "in": object{"x": "xs"}, "out": []any{"n"}}},
	}
}

// Workflows and native jobs share machines that are all busy. The order of starts must follow the
// scheduler's rules for both kinds, and each workflow must have one final result.
func TestWorkflowTasksFollowPriorityLimitAndRetryRules(t *testing.T) {
	rec := &recorder{}
	markerDir := t.TempDir()
	_, c := startLab(t, Options{Members: 2, MachineCPUs: 2, TeamCPULimit: 4, OnTaskStarted: rec.record})
	// The team's limit is exhausted for a while.
	c.submitJob("job-000001", "standard", 4, 4)
	c.waitUntil("the machines are in use", func() bool { return len(rec.snapshot()) == 4 })
	// The workflows are submitted before the urgent job, and one of them has a nearer deadline.
	nearDeadline := shellTool("echo $(($1 * 2))", 0)
	nearDeadline["hints"] = []any{
		object{"class": "https://grebedock.example/cwl#Job", "retries": 0, "estimate": 1, "deadline": 5},
	}
	c.submitWorkflow(0, "plain", scatterWorkflow(nearDeadline), object{"xs": []any{1, 2, 3, 4, 5}})
	c.submitWorkflow(
		1,
		"again",
		scatterWorkflow(shellTool("mkdir "+markerDir+"/a$1 2>/dev/null && exit 1; echo $1", 2)),
		object{"xs": []any{6, 7}},
	)
	c.submitWorkflow(
		1,
		"never",
		scatterWorkflow(shellTool("test $1 = 8 || exit 1; echo $1", 0)),
		object{"xs": []any{8, 9}},
	)
	c.submitWorkflow(0, "cancelled", scatterWorkflow(shellTool("sleep 60; echo 1", 0)), object{"xs": []any{1}})
	c.waitUntil("the steps are queued", func() bool {
		_, m := c.request(0, "GET", "/v1/workflows/plain", nil)
		_, n := c.request(1, "GET", "/v1/workflows/plain", nil)
		return len(fmt.Sprint(m["steps"], n["steps"])) > 20
	})
	if s, m := c.request(0, "POST", "/v1/workflows/cancelled/abort", nil); s != 200 {
		t.Errorf("cancellation: got status %d, %v, want 200", s, m)
	}
	c.submitJob("job-000002", "high", 6, 0.5)
	startsBeforeUrgent := len(rec.snapshot())
	if startsBeforeUrgent != 4 {
		t.Fatalf("got %d starts before the submission of the urgent job, want 4: the machines were not all in use",
			startsBeforeUrgent)
	}

	if m := c.waitForEnd(0, "plain"); m["state"] != "done" ||
		!reflect.DeepEqual(m["outputs"], object{"ns": []any{2.0, 4.0, 6.0, 8.0, 10.0}}) {
		t.Errorf("run plain: got %v, want state done with doubled inputs", m)
	}
	if m := c.waitForEnd(1, "again"); m["state"] != "done" ||
		!reflect.DeepEqual(m["outputs"], object{"ns": []any{6.0, 7.0}}) {
		t.Errorf("run again: got %v, want state done with the inputs as outputs", m)
	}
	if m := c.waitForEnd(0, "never"); m["state"] != "failed" ||
		!strings.Contains(fmt.Sprint(m["error"]), "step each: ") ||
		m["outputs"] != nil {
		t.Errorf("run never: got %v, want state failed, an error of step each and no outputs", m)
	}
	if m := c.waitForEnd(1, "cancelled"); m["state"] != "cancelled" {
		t.Errorf("run cancelled: got %v, want state cancelled", m)
	}
	starts := rec.snapshot()
	maxStartsByRun := map[string]int{"plain": 1, "again": 3, "never": 1}
	if b := ruleViolations(starts, "job-000002", startsBeforeUrgent, 4, maxStartsByRun); len(b) > 0 {
		t.Errorf("%s\n%v", strings.Join(b, "\n"), starts)
	}
	for _, s := range starts {
		if s.run == "cancelled" {
			t.Errorf("%s started although its run was cancelled", s.task)
		}
	}

	// ruleViolations detects a wrong order, an exceeded limit and an excess start.
	var low, high int
	for i, s := range starts {
		if s.job == "job-000002" {
			high = i
		} else if s.run == "plain" {
			low = i
		}
	}
	outOfOrder := append([]taskStart(nil), starts...)
	outOfOrder[low], outOfOrder[high] = outOfOrder[high], outOfOrder[low]
	aboveLimit := append([]taskStart(nil), starts...)
	aboveLimit[high].cpus = 5
	excessStart := append(append([]taskStart(nil), starts...), starts[low])
	for name, s := range map[string][]taskStart{"order": outOfOrder, "limit": aboveLimit, "retries": excessStart} {
		if len(ruleViolations(s, "job-000002", startsBeforeUrgent, 4, maxStartsByRun)) == 0 {
			t.Errorf("violated rule %s is not reported", name)
		}
	}
}

// The members restart one after the other in the middle of a run, so the run's controller restarts
// as well. The run must continue and every step must take effect. Closing the lab must remove the
// data directory.
func TestWorkflowRunSurvivesRestartOfItsController(t *testing.T) {
	effects := t.TempDir()
	l, c := startLab(t, Options{Members: 2, MachineCPUs: 4})
	step := func(text string, in any) object {
		s := shellTool(text, 3)
		return object{"run": s, "in": in, "out": []any{"n"}}
	}
	steps, last := object{}, "x"
	for i := range 4 {
		name := fmt.Sprintf("s%d", i)
		steps[name] = step(fmt.Sprintf("sleep 0.3; : > %s/%d; echo $(($1 + 1))", effects, i), object{"x": last})
		last = name + "/n"
	}
	c.submitWorkflow(
		0,
		"chain",
		object{
			"class":   "Workflow",
			"inputs":  object{"x": "int"},
			"outputs": object{"n": object{"type": "int", "outputSource": last}},
			"steps":   steps,
		},
		object{"x": 1},
	)
	c.waitUntil(
		"the first step has run",
		func() bool { _, err := os.Stat(filepath.Join(effects, "0")); return err == nil },
	)
	for i := range 2 {
		l.Stop(i)
		l.Start(i)
	}
	if m := c.waitForEnd(1, "chain"); m["state"] != "done" || !reflect.DeepEqual(m["outputs"], object{"n": 5.0}) {
		t.Errorf("run chain: got %v, want state done with output 5", m)
	}
	if names, _ := filepath.Glob(filepath.Join(effects, "*")); len(names) != 4 {
		t.Errorf("got effects of %d steps, want 4", len(names))
	}
	dir := l.DataDir
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(dir); !os.IsNotExist(err) {
		t.Errorf("data directory %s exists after Close", dir)
	}
}

// BenchmarkUrgentJobDuringLargeWorkflow measures the time from the submission of an urgent native
// job to its end, without other load and during a workflow run of 10,000 tasks.
func BenchmarkUrgentJobDuringLargeWorkflow(b *testing.B) {
	for _, tasks := range []int{0, 10_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			rec := &recorder{}
			_, c := startLab(b, Options{Members: 2, MachineCPUs: 8, OnTaskStarted: rec.record})
			n := 0
			runUrgentJob := func() {
				n++
				id := fmt.Sprintf("job-%06d", n)
				c.submitJob(id, "high", 4, 0.2)
				c.waitUntil(id, func() bool {
					_, m := c.request(0, "GET", "/work/"+id, nil)
					return m["stance"] == "done"
				})
			}
			if tasks > 0 {
				xs := make([]any, tasks)
				for i := range xs {
					xs[i] = i % 9
				}
				c.submitWorkflow(0, "wide", scatterWorkflow(shellTool("echo $1", 0)), object{"xs": xs})
				c.waitUntil("the run's tasks start", func() bool { return len(rec.snapshot()) > 10 })
			}
			runUrgentJob()
			for b.Loop() {
				runUrgentJob()
			}
		})
	}
}

// A schedule that is applied through the administration API must run its job exactly once when it is
// due, although a member restarts at that time.
func TestScheduleRunsOnceAcrossMemberRestart(t *testing.T) {
	rec := &recorder{}
	l, c := startLab(t, Options{Members: 2, OnTaskStarted: rec.record})
	due := time.Now().UTC().Add(4 * time.Second)
	text := fmt.Sprintf(
		"[[schedule]]\nname = \"soon\"\nzone = \"UTC\"\nrule = \"FREQ=DAILY\"\nfrom = \"2026-01-01\"\nat = [%q]\n"+
			"[schedule.job]\nteam = \"ops\"\ncpus = 1.0\nestimate_s = 0.2\ntasks = 3\n",
		due.Format("15:04:05"),
	)
	requestAdmin := func(method, path, body string) (int, map[string]any) {
		req, err := http.NewRequest(method, "http://"+l.PeerAddrs[0]+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, nil
		}
		defer res.Body.Close()
		var m map[string]any
		_ = json.NewDecoder(res.Body).Decode(&m)
		return res.StatusCode, m
	}
	c.waitUntil(
		"the schedule is applied",
		func() bool { s, _ := requestAdmin("PUT", "/v1/schedules/soon", text); return s == 200 },
	)
	if s, m := requestAdmin("PUT", "/v1/schedules/soon", strings.Replace(text, "cpus", "cpu", 1)); s != 400 ||
		!strings.Contains(fmt.Sprint(m["error"]), "schedule.job.cpu is no field") {
		t.Errorf("schedule with an unknown field: got status %d, %v, want 400 with the field's name", s, m)
	}
	time.Sleep(time.Until(due) - 100*time.Millisecond)
	l.Stop(1)
	l.Start(1)
	var decisions []any
	c.waitUntil("the due time is decided", func() bool {
		_, m := requestAdmin("GET", "/v1/schedules/soon/history", "")
		decisions, _ = m["decisions"].([]any)
		return len(decisions) > 0
	})
	d, _ := decisions[0].(map[string]any)
	job, _ := d["job"].(string)
	if len(decisions) != 1 || d["run"] != true || int64(d["at"].(float64)) != due.Truncate(time.Second).UnixMilli() {
		t.Fatalf("got decisions %v, want one run at %v", decisions, due.Truncate(time.Second))
	}
	c.waitUntil(
		"the run is done",
		func() bool { _, m := c.request(0, "GET", "/work/"+job, nil); return m["stance"] == "done" },
	)
	if n := len(rec.snapshot()); n != 3 {
		t.Errorf("got %d started tasks, want 3", n)
	}

	// The same applies to a schedule of a workflow.
	due = time.Now().UTC().Add(3 * time.Second)
	tool := shellTool("echo $(($1 * 2))", 0)
	tool["cwlVersion"] = "v1.2"
	doc, err := json.Marshal(tool)
	if err != nil {
		t.Fatal(err)
	}
	text = fmt.Sprintf(
		"[[schedule]]\nname = \"flow\"\nzone = \"UTC\"\nrule = \"FREQ=DAILY\"\nfrom = \"2026-01-01\"\nat = [%q]\n"+
			"[schedule.job]\nteam = \"ops\"\n[schedule.workflow]\ndocument = '''%s'''\ninputs = {x = 21}\n",
		due.Format("15:04:05"),
		doc,
	)
	c.waitUntil(
		"the workflow's schedule is applied",
		func() bool { s, _ := requestAdmin("PUT", "/v1/schedules/flow", text); return s == 200 },
	)
	c.waitUntil("the workflow's due time is decided", func() bool {
		_, m := requestAdmin("GET", "/v1/schedules/flow/history", "")
		decisions, _ = m["decisions"].([]any)
		return len(decisions) > 0
	})
	d, _ = decisions[0].(map[string]any)
	run, _ := d["job"].(string)
	c.waitUntil(
		"the workflow's run exists",
		func() bool { s, _ := c.request(0, "GET", "/v1/workflows/"+run, nil); return s == 200 },
	)
	if m := c.waitForEnd(1, run); m["state"] != "done" || !reflect.DeepEqual(m["outputs"], object{"n": 42.0}) {
		t.Errorf("scheduled workflow: got %v, want state done with output 42", m)
	}
	if s, m := requestAdmin("DELETE", "/v1/schedules/soon", ""); s != 200 || m["state"] != "removed" {
		t.Errorf("removal of a schedule: got status %d, %v, want 200 with state removed", s, m)
	}
}

// The HTTP library's shutdown does not close a connection with an unfinished request. A stopped
// member must not keep responding on it: clients that keep connections open would never reach the
// member that replaces it.
func TestStoppedMemberClosesOpenConnections(t *testing.T) {
	l, c := startLab(t, Options{Members: 2})
	conn, err := net.Dial("tcp4", l.UserAddrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("GET /up HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	l.Stop(0)
	_, _ = conn.Write([]byte("Host: member\r\n\r\n"))
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	b, err := io.ReadAll(conn)
	if len(b) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("stopped member: got response %q, %v, want a closed connection", b, err)
	}
	l.Start(0)
	if s, _ := c.request(0, "GET", "/v1/workflows/none", nil); s != 404 {
		t.Errorf("replacing member: got status %d, want 404", s)
	}
}

// pausableProxy forwards connections. While it is paused, it accepts data and forwards nothing, like
// a network partition.
type pausableProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	resumed  *sync.Cond
	paused   bool
}

func newPausableProxy(t *testing.T, target string) *pausableProxy {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &pausableProxy{listener: ln, target: target}
	proxy.resumed = sync.NewCond(&proxy.mu)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go proxy.forward(c)
		}
	}()
	t.Cleanup(func() { proxy.setPaused(false); ln.Close() })
	return proxy
}

func (p *pausableProxy) setPaused(paused bool) {
	p.mu.Lock()
	p.paused = paused
	p.mu.Unlock()
	p.resumed.Broadcast()
}

func (p *pausableProxy) forward(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	copyTo := func(dst, src net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			p.mu.Lock()
			for p.paused {
				p.resumed.Wait()
			}
			p.mu.Unlock()
			if n > 0 {
				if _, err := dst.Write(b[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = dst.Close()
	}
	go copyTo(in, out)
	copyTo(out, in)
}

// A member that receives no responses from the state service must keep serving its users through its
// peer. It must resume its own work when the service responds again.
func TestUsersAreServedThroughPeerDuringStateServicePartition(t *testing.T) {
	l, err := New(Options{Members: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	})
	proxy := newPausableProxy(t, l.settings[0].External.State)
	l.settings[0].External.State = proxy.listener.Addr().String()
	if err := l.StartAll(t.Context(), func(userAddr string) bool {
		res, err := http.Get("http://" + userAddr + "/up")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == 200
	}); err != nil {
		t.Fatal(err)
	}
	c := client{t, l}
	c.submitJob("job-000001", "standard", 1, 0.1)
	time.Sleep(2500 * time.Millisecond) // members have announced to their peers that they serve
	proxy.setPaused(true)
	c.submitJob("job-000002", "standard", 1, 0.1) // submitted to the partitioned member
	for _, id := range []string{"job-000001", "job-000002"} {
		c.waitUntil(id, func() bool {
			s, m := c.request(0, "GET", "/work/"+id, nil)
			return s == 200 && m["stance"] == "done"
		})
	}
	status := func() (relayed float64, link string) {
		res, err := http.Get("http://" + l.PeerAddrs[0] + "/v1/status")
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		var m struct {
			Link     string
			Counters struct{ Relayed float64 }
		}
		if err := json.NewDecoder(res.Body).Decode(&m); err != nil {
			t.Fatal(err)
		}
		return m.Counters.Relayed, m.Link
	}
	if n, link := status(); n < 2 || link == "up" {
		t.Errorf("got %g relayed requests with link %s, want at least 2 with a link that is not up", n, link)
	}
	proxy.setPaused(false)
	c.waitUntil("the link is up", func() bool { _, link := status(); return link == "up" })
}
