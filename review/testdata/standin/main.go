// Command standin runs one case of the review: it starts controllers with the command of the deploy file, and
// stand-ins of the state service, the cloud and the workers in its own process, on loopback addresses. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu       sync.Mutex
	out      *os.File
	began    time.Time
	broken   []string
	finishes int
	onFinish func(t *task)
}

func (r *recorder) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// breach records that the rule was broken.
func (r *recorder) breach(format string, a ...any) {
	r.mu.Lock()
	r.broken = append(r.broken, fmt.Sprintf(format, a...))
	n := len(r.broken)
	r.mu.Unlock()
	if n <= 20 {
		r.add("RULE BROKEN: "+format, a...)
	}
}

func (r *recorder) breaches() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

func (r *recorder) finished(t *task) {
	r.finishes++
	if r.onFinish != nil {
		r.onFinish(t)
	}
}

var current *cluster

func cannotRun(format string, a ...any) {
	fmt.Printf("the case could not run: "+format+"\n", a...)
	if current != nil {
		current.rec.add("the case could not run: "+format, a...)
		current.stop()
	}
	os.Exit(2)
}

// node is one controller.
type node struct {
	name, zone, front, mesh, config string
	cmd                             *exec.Cmd
}

// cluster is the controllers and the stand-ins of a case.
type cluster struct {
	rec     *recorder
	state   *stateService
	fleet   *fleet
	nodes   []*node
	dir     string
	command []string
	trouble bool
	logs    *os.File
	proxies map[string]string // addresses that the settings give in place of "state" and "cloud"
}

type settings struct {
	names, zones           []string // of the nodes, and their zones
	allZones               []string
	teams                  string // TOML
	reportS, leaseS        float64
	cancelS                float64
	rps, writeRPS, valueKB float64
	txnOps                 int
	cloudRPS, listLagS     float64
	types                  []machineType
	bootS                  float64
}

func freeAddr() string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func serve(h http.Handler) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(ln) }()
	return ln.Addr().String()
}

// newCluster prepares a case; record is the file that it writes.
func newCluster(record string, s settings) *cluster {
	out, err := os.Create(record)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	c := &cluster{
		rec:     &recorder{out: out, began: time.Now()},
		trouble: os.Getenv("TROUBLE") != "0",
	}
	current = c
	if c.dir, err = os.MkdirTemp("", "review-"); err != nil {
		cannotRun("%v", err)
	}
	c.logs, _ = os.Create(filepath.Join(c.dir, "log"))
	c.readCommand()
	c.state = newStateService(stateLimits{s.rps, s.writeRPS, int(s.valueKB * 1024), s.txnOps})
	c.fleet = &fleet{
		rec: c.rec, types: s.types, capacity: map[string]int{}, rentals: map[string][]string{},
		workers: map[string]*worker{}, jobs: map[string]*job{}, running: map[string]map[*worker]bool{},
		names: s.names, reportS: s.reportS, leaseS: s.leaseS, bootS: s.bootS, next: 1,
		onStart: func(*worker, *task) {},
	}
	for i, name := range s.names {
		n := &node{name: name, zone: s.zones[i], front: freeAddr(), mesh: freeAddr()}
		c.nodes = append(c.nodes, n)
		c.fleet.fronts = append(c.fleet.fronts, n.front)
	}
	stateAddr, cloudAddr := serve(c.state), serve(c.fleet)
	for _, n := range c.nodes {
		n.config = filepath.Join(c.dir, n.name+".toml")
		if err := os.WriteFile(n.config, []byte(c.toml(n, s, stateAddr, cloudAddr)), 0o600); err != nil {
			cannotRun("%v", err)
		}
	}
	return c
}

// readCommand reads the start command of the deploy file.
func (c *cluster) readCommand() {
	text, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		cannotRun("%v", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			c.command = strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}
	if len(c.command) == 0 {
		cannotRun("deploy/service.toml has no run command")
	}
	if _, err := os.Stat(c.command[0]); err != nil {
		cannotRun("%v", err)
	}
}

func (c *cluster) toml(n *node, s settings, state, cloud string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "member = %q\nsite = %q\nfront = %q\nmesh_addr = %q\n", n.name, n.zone, n.front, n.mesh)
	for _, other := range c.nodes {
		if other != n {
			fmt.Fprintf(&b, "[[others]]\nmember = %q\nsite = %q\nendpoint = %q\n", other.name, other.zone, other.mesh)
		}
	}
	zones := strings.Join(s.allZones, `", "`)
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n", cloud, state)
	fmt.Fprintf(&b, "[cluster]\ninitial_size = %d\nzones = [\"%s\"]\nclock_error_ms = 5.0\n", len(c.nodes), zones)
	b.WriteString(s.teams)
	fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = %g\n",
		s.reportS, s.leaseS, s.cancelS)
	fmt.Fprintf(&b, "[cluster.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n",
		s.rps, s.writeRPS, s.valueKB, s.txnOps)
	fmt.Fprintf(&b, "[cluster.cloud]\nrps = %g\nlist_lag_s = %g\n", s.cloudRPS, s.listLagS)
	b.WriteString("[cluster.machine_limits]\ncpu_share = 0.24\nram_mb = 179.0\nmax_sockets = 3000\n")
	return b.String()
}

func (c *cluster) start(i int) {
	n := c.nodes[i]
	n.cmd = exec.Command(c.command[0], append(append([]string{}, c.command[1:]...), n.config)...)
	n.cmd.Stderr, n.cmd.Stdout = c.logs, c.logs
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	c.rec.add("controller %s started", n.name)
}

func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

func (c *cluster) kill(i int) {
	n := c.nodes[i]
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	c.rec.add("controller %s killed", n.name)
}

func (c *cluster) startAll() {
	for i := range c.nodes {
		c.start(i)
	}
	for i := range c.nodes {
		c.waitUp(i, 20*time.Second)
	}
}

func (c *cluster) waitUp(i int, most time.Duration) {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if status, _ := call("GET", c.nodes[i].front, "/up", nil, time.Second); status == 200 {
			return
		}
	}
	cannotRun("controller %s does not become healthy", c.nodes[i].name)
}

// stop ends every process of the case.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
	if keep := os.Getenv("KEEP_LOG"); keep != "" {
		if b, err := os.ReadFile(filepath.Join(c.dir, "log")); err == nil {
			_ = os.WriteFile(keep, b, 0o600)
		}
	}
	_ = os.RemoveAll(c.dir)
}

// finish ends the case and gives its result.
func (c *cluster) finish(rule string) {
	c.fleet.mu.Lock()
	c.fleet.stopped = true
	starts, refused := c.fleet.starts, c.fleet.refused
	c.fleet.mu.Unlock()
	broken := c.rec.breaches()
	c.stop()
	c.rec.add("%d starts, %d starts refused for room, %d requests above the state service's rates; %s broken %d times",
		starts, refused, c.state.rejected, rule, len(broken))
	if len(broken) > 0 {
		fmt.Printf("%s: broken %d times, first: %s\n", rule, len(broken), broken[0])
		os.Exit(1)
	}
	fmt.Printf("%s: held\n", rule)
	os.Exit(0)
}

var users = &http.Client{}

// call makes one request and returns its status, 0 without an answer.
func call(method, addr, path string, body []byte, timeout time.Duration) (int, []byte) {
	client := *users
	client.Timeout = timeout
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, b
}

// submit uploads and submits a job at a node, and repeats it as users do.
func (c *cluster) submit(i int, j *job) {
	c.fleet.mu.Lock()
	c.fleet.jobs[j.Ref] = j
	c.fleet.mu.Unlock()
	body, _ := json.Marshal(j)
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		status, answer := call("POST", c.nodes[i].front, "/work", body, 5*time.Second)
		c.rec.add("user: POST /work %s at %s: %d %s", j.Ref, c.nodes[i].name, status, bytes.TrimSpace(answer))
		if status == 200 || status == 201 {
			return
		}
	}
	cannotRun("%s is not accepted", j.Ref)
}

func (c *cluster) poll(i int, ref string) string {
	status, answer := call("GET", c.nodes[i].front, "/work/"+ref, nil, 2*time.Second)
	c.rec.add("user: GET /work/%s at %s: %d %s", ref, c.nodes[i].name, status, bytes.TrimSpace(answer))
	var b struct {
		Stance string `json:"stance"`
	}
	_ = json.Unmarshal(answer, &b)
	return b.Stance
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Println("no such case")
		os.Exit(2)
	}
	run(os.Args[2])
}
