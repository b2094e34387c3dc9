package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/internal/platformfake"
	"github.com/grebedock/grebedock/internal/wire"
	"github.com/grebedock/grebedock/scheduler"
	"github.com/grebedock/grebedock/schedules"
)

func freeAddr(t testing.TB) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

const settingsText = `
member = %q
site = "a"
front = %q
mesh_addr = %q
[[others]]
member = %q
site = "b"
endpoint = %q
[external]
cloud = %q
state = %q
[cluster]
initial_size = 2
zones = ["a", "b"]
clock_error_ms = 5.0
[[cluster.teams]]
name = "ops"
cpus = 8.0
cpus_max = 64.0
[cluster.workers]
report_s = 0.1
lease_s = 4.0
cancel_s = 12.0
[cluster.state]
rps = 2000.0
write_rps = 500.0
value_kb = 8.0
txn_ops = 16
[cluster.cloud]
rps = 100.0
list_lag_s = 1.0
[cluster.machine_limits]
cpu_share = 1.0
ram_mb = 500.0
max_sockets = 600
`

// grebedock runs the command line and returns its output.
func grebedock(args ...string) (string, error) {
	cmd := rootCommand()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.ExecuteContext(context.Background())
	return out.String(), err
}

// newTestPlatform returns fakes of the platform with small machines, for members with these user addresses.
func newTestPlatform(t testing.TB, userAddrs []string) *platformfake.Platform {
	t.Helper()
	smallMachine := scheduler.MachineType{
		Name:           "small",
		Resources:      availability.Resources{CPUs: 8, MemoryGB: 32, DiskGB: 20},
		ImageFetchGBps: 1,
		Price:          1,
		SpotPrice:      0.3,
		BootS:          1,
		Zones:          []string{"a", "b"},
	}
	platform, err := platformfake.NewPlatform([]scheduler.MachineType{smallMachine}, 4*time.Second, userAddrs)
	if err != nil {
		t.Fatal(err)
	}
	return platform
}

// Two members of the real program serve users and operators. They run against fakes of the platform on
// loopback.
func TestProgramServesUsersAndOperators(t *testing.T) {
	t.Setenv("LOG_LEVEL", "error")
	userAddrs, peerAddrs := []string{freeAddr(t), freeAddr(t)}, []string{freeAddr(t), freeAddr(t)}
	platform := newTestPlatform(t, userAddrs)
	defer platform.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	defer func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Errorf("run of a member: %v", err)
			}
		}
	}()
	for i := range 2 {
		path := filepath.Join(t.TempDir(), "member.toml")
		text := fmt.Sprintf(
			settingsText,
			fmt.Sprintf("m-%d", i),
			userAddrs[i],
			peerAddrs[i],
			fmt.Sprintf("m-%d", 1-i),
			peerAddrs[1-i],
			platform.CloudAddr,
			platform.StateAddr,
		)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if out, err := grebedock("check", path); err != nil || !strings.Contains(out, ": valid") {
			t.Fatalf("check: got output %q, error %v", out, err)
		}
		cmd := rootCommand()
		cmd.SetArgs([]string{"--config", path})
		go func() { done <- cmd.ExecuteContext(ctx) }()
	}

	request := func(member int, method, path, body string) (int, map[string]any) {
		req, err := http.NewRequest(method, "http://"+userAddrs[member]+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, nil
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		var m map[string]any
		_ = json.Unmarshal(text, &m)
		return res.StatusCode, m
	}
	waitUntil := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out after 20 s waiting for: %s", what)
			}
		}
	}
	for i := range 2 {
		waitUntil("member up", func() bool { s, _ := request(i, "GET", "/up", ""); return s == 200 })
	}
	jobRequest := func(n int, shape string, tasks int, cpus float64) (string, string) {
		body := fmt.Sprintf(
			`{"ref":"job-%06d","flock":"f","crew":"ops","shape":%q,"rank":"standard","chicks":%d,"cpus":%g,`+
				`"cards":0,"memory_gb":4,"plumage":"i","size_gb":0.1,
		"same_place":false,"spread":false,"driftwood":true,"swim_s":0.2,"surface_s":0,"preen_s":0}`,
			n,
			shape,
			tasks,
			cpus,
		)
		if r := wire.ParseJob([]byte(body)); r.Job != nil {
			platform.AddJob(*r.Job)
		}
		return fmt.Sprintf("/work/job-%06d", n), body
	}

	array, body := jobRequest(1, "sweep", 5, 2)
	if s, m := request(0, "POST", "/work", body); s != 201 || m["stance"] != "pending" || m["ref"] != "job-000001" {
		t.Fatalf("submission: got status %d, body %v, want 201, pending", s, m)
	}
	if s, _ := request(1, "POST", "/work", `{"ref":"job-000001"}`); s != 200 {
		t.Errorf("repeated submission with another body: got status %d, want 200", s)
	}
	waitUntil(
		"array done",
		func() bool { s, m := request(1, "GET", array, ""); return s == 200 && m["stance"] == "done" },
	)
	if s, m := request(0, "POST", array+"/abort", ""); s != 200 || m["stance"] != "done" {
		t.Errorf("cancellation of a done job: got status %d, body %v, want 200, done", s, m)
	}

	service, body := jobRequest(2, "standing", 2, 1)
	if s, _ := request(1, "POST", "/work", body); s != 201 {
		t.Fatalf("submission of a service: got status %d, want 201", s)
	}
	waitUntil("service running", func() bool { return platform.CountOnMachines("job-000002") == 2 })
	if s, m := request(0, "POST", service+"/abort", ""); s != 200 || m["stance"] != "withdrawn" {
		t.Errorf("cancellation: got status %d, body %v, want 200, withdrawn", s, m)
	}
	waitUntil("cancelled service stopped", func() bool { return platform.CountOnMachines("job-000002") == 0 })
	if s, m := request(1, "GET", service, ""); s != 200 || m["stance"] != "withdrawn" {
		t.Errorf("query of a cancelled job: got status %d, body %v, want 200, withdrawn", s, m)
	}

	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{"GET", "/work/job-999999", "", 404}, {"GET", "/work/nonsense", "", 404}, {
			"POST", "/work/job-999999/abort", "", 404,
		},
		{"POST", "/work", "{", 400}, {"POST", "/work", `{"ref":"job-000003"}`, 400}, {"POST", "/v1/report", "{}", 400},
		{"POST", "/work", strings.Repeat(" ", wire.MaxBody+1), 413},
	} {
		if s, _ := request(0, c.method, c.path, c.body); s != c.want {
			t.Errorf("%s %s %.30q: got status %d, want %d", c.method, c.path, c.body, s, c.want)
		}
	}
	_, body = jobRequest(4, "sweep", 1, 100)
	if s, _ := request(0, "POST", "/work", body); s != 422 {
		t.Errorf("submission of a job that can never run: got status %d, want 422", s)
	}

	// The administration API, through the command line.
	if out, err := grebedock(
		"settings", "set", "--addr", peerAddrs[0], "idle_boots=3", `drain=["i-000099"]`,
	); err != nil ||
		!strings.Contains(out, "i-000099") {
		t.Errorf("settings set: got output %q, error %v", out, err)
	}
	waitUntil("settings propagated to the other member", func() bool {
		out, err := grebedock("settings", "get", "--addr", peerAddrs[1])
		return err == nil && strings.Contains(out, `"idle_boots":3`)
	})
	for _, bad := range []string{
		"late_share=-1", "unknown=1", "functions=0", `samples="x"`,
		`disruption={"ops":{"share":2}}`,
	} {
		if out, err := grebedock("settings", "set", "--addr", peerAddrs[0], bad); err == nil ||
			!strings.Contains(err.Error(), "400") {
			t.Errorf("settings set %s: got output %q, error %v, want status 400", bad, out, err)
		}
	}
	// Commands of users and operators.
	code := func(err error) int {
		var c *codedError
		switch {
		case errors.As(err, &c):
			return c.code
		case err != nil:
			return exitError
		}
		return 0
	}
	unreachable := freeAddr(t)
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{
			[]string{
				"submit", "--addr", unreachable + "," + userAddrs[0], "--team", "ops", "--id", "job-70",
				"--tasks", "2", "--estimate", "0.2", "--wait",
			},
			0, "job-70  done  2 done",
		},
		{[]string{"job", "--addr", userAddrs[1], "job-70", "--json"}, 0, `"state":"done"`},
		{[]string{"submit", "--addr", userAddrs[0], "--team", "nobody"}, exitInvalid, ""},
		{[]string{"submit", "--addr", userAddrs[0], "--team", "ops", "--kind", "x"}, exitInvalid, ""},
		{[]string{"job", "--addr", userAddrs[0], "job-71"}, exitInvalid, ""},
		{
			[]string{"submit", "--addr", userAddrs[0], "--team", "ops", "--id", "job-72", "--estimate", "600"},
			0, "job-72  pending",
		},
		{[]string{"cancel", "--addr", userAddrs[0], "job-72"}, 0, "job-72  cancelled"},
		{[]string{"job", "--addr", userAddrs[0], "job-72", "--wait"}, exitCancelled, "job-72  cancelled"},
		{[]string{"status", "--addr", peerAddrs[0]}, 0, "state service"},
		{[]string{"machines", "--addr", peerAddrs[0]}, 0, "MACHINE"},
		{[]string{"teams", "--addr", peerAddrs[0]}, 0, "ops"},
		{[]string{"status", "--addr", unreachable}, exitError, ""},
		{[]string{"drain", "--addr", peerAddrs[0], "i-000098"}, 0, "i-000099, i-000098"},
		{[]string{"drain", "--addr", peerAddrs[0], "--undo", "i-000098"}, 0, "draining: i-000099"},
		{[]string{"drain", "--addr", peerAddrs[0], "--undo", "i-000099"}, 0, "draining: none"},
		{[]string{"settings", "set", "--addr", peerAddrs[0], `disruption={"ops":{"tasks":2}}`}, 0, `"tasks":2`},
		{[]string{"rollout", "status", "--addr", peerAddrs[0]}, exitError, ""},
		{[]string{"rollout", "apply", "--addr", peerAddrs[0], "main_test.go"}, exitInvalid, ""},
		// The feature rollout is disabled in these members.
		{
			[]string{"rollout", "apply", "--addr", peerAddrs[0], "../../docs/examples/rollouts/replace.toml"},
			exitError, "",
		},
		{
			[]string{
				"lab", "load", "--addr", userAddrs[0] + "," + userAddrs[1], "--rate", "40", "--for", "1s",
				"--estimate", "0.1",
			},
			0, "linearizable: true",
		},
		{[]string{"lab", "load", "--rate", "0"}, exitInvalid, ""},
	} {
		out, err := grebedock(c.args...)
		if code(err) != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%v: got code %d, output %q, error %v, want code %d, output with %q",
				c.args, code(err), out, err, c.code, c.want)
		}
	}

	res, err := http.Get("http://" + peerAddrs[0] + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if text, _ := io.ReadAll(res.Body); !strings.Contains(string(text), `grebedock_events_total{event="accepted"} 1`) {
		t.Errorf("metrics without one accepted submission: %.300s", text)
	}
}

// The encoded form of a file whose schedules run workflows contains the packed workflows.
func TestScheduledWorkflowsArePackedIntoTheFile(t *testing.T) {
	dir := t.TempDir()
	text := "[[calendar]]\nname = \"c\"\nholidays = [{name = \"h\", dates = [\"01-01\"]}]\n[[schedule]]\n" +
		"name = \"s\"\nzone = \"UTC\"\nrule = \"FREQ=DAILY\"\nfrom = \"2026-01-01\"\n" +
		"until = \"2028-02-29\"\nat = [\"05:30\", \"05:30:15\"]\ncalendar = \"c\"\n[schedule.job]\nteam = \"ops\"\n" +
		"[schedule.workflow]\nfile = \"w.cwl\"\ninputs = {n = 1}\n"
	cwl := "cwlVersion: v1.2\nclass: CommandLineTool\nbaseCommand: echo\ninputs: {n: int}\noutputs: {}\n"
	for name, b := range map[string]string{"s.toml": text, "w.cwl": cwl} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f, err := readSchedules(filepath.Join(dir, "s.toml"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := packSchedules(f, dir)
	if err != nil {
		t.Fatal(err)
	}
	g, err := schedules.ParseFile(b)
	if err != nil {
		t.Fatalf("%v\n%s", err, b)
	}
	s := g.Schedules[0]
	if s.Workflow.File != "" || !strings.Contains(s.Workflow.Document, "CommandLineTool") || len(s.At) != 2 ||
		s.Until.String() != "2028-02-29" ||
		g.Calendars[0].Holidays[0].Name != "h" {
		t.Errorf("packed schedule: got %+v", s)
	}
	f, _ = readSchedules(filepath.Join(dir, "s.toml"))
	f.Schedules[0].Workflow.Inputs = map[string]any{"n": "x"}
	if _, err := packSchedules(f, dir); err == nil || !strings.Contains(err.Error(), "workflow.inputs") {
		t.Errorf("invalid inputs: got error %v, want one about workflow.inputs", err)
	}
}

// An interrupted experiment resumes where it stopped, after a truncated line, and its report
// compares the complete results.
func TestInterruptedExperimentResumes(t *testing.T) {
	b, err := os.ReadFile("../../docs/experiments/holds.toml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file, results, page := filepath.Join(dir, "e.toml"), filepath.Join(dir, "e.jsonl"), filepath.Join(dir, "e.html")
	small := strings.NewReplacer(
		"run_s = 300.0",
		"run_s = 30.0",
		"quiet_s = 200.0",
		"quiet_s = 20.0",
		"seeds = [1, 2, 3, 4, 5, 6, 7, 8]",
		"seeds = [1, 2]",
		"at_s = 80.0",
		"at_s = 10.0",
		"at_s = 160.0",
		"at_s = 15.0",
		"at_s = 220.0",
		"at_s = 20.0",
	).Replace(
		string(b),
	)
	if err := os.WriteFile(file, []byte(small), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := grebedock("lab", "run", file, "--out", results); err != nil ||
		!strings.Contains(out, "6 of 6 runs completed") {
		t.Fatalf("%q, %v", out, err)
	}
	lines, err := os.ReadFile(results)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(results, lines[:len(lines)-100], 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := grebedock("lab", "report", results); err != nil ||
		!strings.Contains(out, "line 6 is truncated or invalid") {
		t.Errorf("report of a truncated file: got output %q, error %v", out, err)
	}
	if out, err := grebedock("lab", "run", file, "--out", results); err != nil ||
		!strings.Contains(out, "1 of 1 runs completed, 5 already present") {
		t.Errorf("%q, %v", out, err)
	}
	out, err := grebedock("lab", "report", results, "--html", page)
	if err != nil || !strings.Contains(out, "longest (2)") || !strings.Contains(out, "quarter (2)") ||
		!strings.Contains(out, "rules broken") {
		t.Errorf("%q, %v", out, err)
	}
	if html, err := os.ReadFile(page); err != nil || strings.Count(string(html), "<svg") < 10 {
		t.Errorf("HTML page: got %d plots, error %v, want at least 10 plots", strings.Count(string(html), "<svg"), err)
	}
	if _, err := grebedock("lab", "run", filepath.Join(dir, "none.toml")); err == nil {
		t.Error("lab run of a missing file: got no error")
	}
}

// The lab's summary and table add up the members' statuses, each of which covers its own shards.
func TestLabTableAddsUpMembers(t *testing.T) {
	machines := []scheduler.MachineStatus{
		{ID: "i-1", Shard: "lab-0", Up: true},
		{ID: "i-2", Shard: "lab-1", Up: true},
		{ID: "i-3", Shard: "lab-1"},
	}
	member := func(i, queued, tasks int) scheduler.Status {
		name := fmt.Sprintf("lab-%d", i)
		st := scheduler.Status{
			Member:    name,
			Authority: true,
			Leading:   i == 0,
			StoreLink: "up",
			Jobs:      4,
			Machines:  append([]scheduler.MachineStatus(nil), machines...),
			Teams: []scheduler.TeamStatus{
				{Team: "ops", CPUs: 8, MaxCPUs: 64, UsedCPUs: float64(tasks), WaitingCPUs: float64(queued)},
			},
			Shards: []scheduler.ShardStatus{
				{Shard: name, Owner: name, Owned: true, QueuedTasks: queued},
				{Shard: "lab-x", QueuedTasks: 99},
			},
		}
		st.Machines[i].Tasks = tasks
		st.Counters.Accepted = 3
		return st
	}
	sts := []scheduler.Status{member(0, 5, 2), member(1, 1, 3)}
	if l := labSummary(sts); l != "lab: 2 of 3 machines up, 4 jobs, 6 tasks wait, 5 on machines; 6 accepted, "+
		"0 finished" {
		t.Error(l)
	}
	v := labTable(sts)
	words := strings.Join(strings.Fields(v), " ")
	for _, want := range []string{"lab-0 true up true lab-0 5", "lab-1 true up false lab-1 1", "ops 8 64 5 6"} {
		if !strings.Contains(words, want) {
			t.Errorf("lab table lacks %q:\n%s", want, v)
		}
	}
	if l := labSummary(nil); !strings.Contains(l, "no member") {
		t.Error(l)
	}
}
