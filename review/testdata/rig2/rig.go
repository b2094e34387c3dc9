// Command rig2 runs the cases 4 to 8 of the review: it starts controllers with the command of the
// deploy file as separate processes, and stand-ins of the state service, the cloud, the workers and
// the users in its own process, all on loopback addresses and on the real clock.
//
//	rig2 CASE FOLDER     FOLDER receives record.txt; TROUBLE=0 leaves the disruption out
//
// It exits with 1 if the rule of the case was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// job is a submission with the field names of the wire.
type job struct {
	Ref       string   `json:"ref"`
	Flock     string   `json:"flock"`
	Crew      string   `json:"crew"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Chicks    int      `json:"chicks"`
	CPUs      float64  `json:"cpus"`
	Cards     float64  `json:"cards"`
	MemoryGB  float64  `json:"memory_gb"`
	Plumage   string   `json:"plumage"`
	SizeGB    float64  `json:"size_gb"`
	Hulls     []string `json:"hulls"`
	Marsh     *string  `json:"marsh"`
	SamePlace bool     `json:"same_place"`
	Spread    bool     `json:"spread"`
	Driftwood bool     `json:"driftwood"`
	SwimS     float64  `json:"swim_s"`
	SurfaceS  float64  `json:"surface_s"`
	PreenS    float64  `json:"preen_s"`
	DuskS     *float64 `json:"dusk_s"`

	runS float64 // how long a task runs
}

type team struct {
	name            string
	cpus, cpusMax   float64
	cards, cardsMax float64
}

// node is a controller.
type node struct {
	name, zone, front, mesh string
	config                  string
	cmd                     *exec.Cmd
	log                     *os.File
}

type rig struct {
	root, folder, temp string
	trouble            bool
	begin              time.Time

	report, lease, cancel float64
	listLag               float64
	zones                 []string
	teams                 []team

	state *stateService
	cloud *cloud
	nodes []*node

	refusedUntil time.Time // end of a refusal by the state service

	mu       sync.Mutex
	record   *os.File
	jobs     map[string]*job
	on       map[string]map[*chick]*worker // tasks on machines, by task
	finished map[string]map[string]bool    // tasks that are done, by job
	told     map[string]string             // last final state that a user was told, by job
	toldAt   map[string]time.Time          // when a user was first told that a job is cancelled
	finalAt  map[string]time.Time          // when a user was first told a final state of a job
	accepted map[string]bool               // jobs that a user was told are known
	wanted   map[string]bool               // jobs whose user asked to cancel them
	breaks   map[string]int                // broken rules
	started  int
}

func (r *rig) note(who, format string, args ...any) {
	line := fmt.Sprintf("%8.3f %-10s %s\n", time.Since(r.begin).Seconds(), who, fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
}

func (r *rig) broken(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakLocked(rule, format, args...)
}

func (r *rig) breakLocked(rule, format string, args ...any) {
	r.breaks[rule]++
	if r.breaks[rule] <= 20 {
		r.note("RULE", rule+": "+format, args...)
	}
}

func (r *rig) jobOf(ref string) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[ref]
}

func (r *rig) teamOf(name string) *team {
	for i := range r.teams {
		if r.teams[i].name == name {
			return &r.teams[i]
		}
	}
	return nil
}

// begun records that a task is on its machine, and checks ran_twice, wrong_place and quota.
func (r *rig) begun(w *worker, c *chick) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	r.note(w.m.id, "runs %s try %d", c.name, c.try)
	for other, at := range r.on[c.name] {
		if at != w {
			r.breakLocked("ran_twice", "%s try %d starts on %s while try %d is on %s", c.name, c.try, w.m.id, other.try, at.m.id)
		}
	}
	zones := map[string]int{}
	cpus, cards := c.spec.CPUs, c.spec.Cards
	for _, set := range r.on {
		for o, at := range set {
			if o.spec.Crew == c.spec.Crew {
				cpus, cards = cpus+o.spec.CPUs, cards+o.spec.Cards
			}
			if o.job == c.job {
				zones[at.m.zone]++
			}
		}
	}
	if t := r.teamOf(c.spec.Crew); t != nil && (t.cpusMax > 0 && cpus > t.cpusMax+1e-6 || t.cardsMax > 0 && cards > t.cardsMax+1e-6) {
		r.breakLocked("quota", "team %s uses %.1f CPUs and %.1f GPUs when %s starts on %s", t.name, cpus, cards, c.name, w.m.id)
	}
	s := c.spec
	zones[w.m.zone]++
	badHull := len(s.Hulls) > 0 && !contains(s.Hulls, w.m.hull)
	badZone := s.Marsh != nil && *s.Marsh != w.m.zone || s.SamePlace && len(zones) > 1 ||
		s.Spread && zones[w.m.zone] > (s.Chicks+1)/2
	if badHull || badZone || w.m.spot && !s.Driftwood {
		r.breakLocked("wrong_place", "%s starts on %s (%s, %s, spot %v); its job's tasks by zone: %v", c.name, w.m.id, w.m.hull, w.m.zone, w.m.spot, zones)
	}
	if r.on[c.name] == nil {
		r.on[c.name] = map[*chick]*worker{}
	}
	r.on[c.name][c] = w
}

func contains(list []string, x string) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

func (r *rig) left(w *worker, c *chick, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.on[c.name], c)
	if at, ok := r.toldAt[c.job]; ok {
		r.note(w.m.id, "%s try %d ends: %s, %.2f s after its user was told that the job is cancelled", c.name, c.try, cause, time.Since(at).Seconds())
		return
	}
	r.note(w.m.id, "%s try %d ends: %s", c.name, c.try, cause)
}

func (r *rig) completed(c *chick) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished[c.job] == nil {
		r.finished[c.job] = map[string]bool{}
	}
	r.finished[c.job][c.name] = true
}

// watchCancelled checks ran_cancelled.
func (r *rig) watchCancelled() {
	for range time.Tick(50 * time.Millisecond) {
		r.mu.Lock()
		for name, set := range r.on {
			for c, w := range set {
				at, ok := r.toldAt[c.job]
				if after := time.Since(at).Seconds(); ok && after > r.cancel && !c.kept {
					r.breakLocked("ran_cancelled", "%s is on %s %.2f s after its user was told that the job is cancelled; cancel_s is %.0f", name, w.m.id, after, r.cancel)
				}
			}
		}
		r.mu.Unlock()
	}
}

func (r *rig) serve(h http.Handler) (string, *http.Server) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		r.fail("listen: %v", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), s
}

// freeAddr returns a free address below the ports that the system gives to other connections.
func freeAddr() string {
	for {
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 15_000+rand.IntN(15_000)))
		if err == nil {
			_ = ln.Close()
			return ln.Addr().String()
		}
	}
}

// fail ends a case that cannot run.
func (r *rig) fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	r.close()
	os.Exit(2)
}

func (r *rig) close() {
	for _, n := range r.nodes {
		n.kill()
	}
	if r.temp != "" {
		_ = os.RemoveAll(r.temp)
	}
	if r.record != nil {
		_ = r.record.Close()
	}
}

func (n *node) kill() {
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
		n.cmd = nil
	}
}

func (r *rig) nodeIndex(name string) int {
	for i, n := range r.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

// startNode starts a controller with the command of the deploy file.
func (r *rig) startNode(n *node) {
	deploy, err := os.ReadFile(filepath.Join(r.root, "deploy", "service.toml"))
	if err != nil {
		r.fail("%v", err)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		r.fail("no run command in deploy/service.toml")
	}
	words := strings.Fields(string(run[1]))
	cmd := exec.Command(words[0], append(words[1:], n.config)...)
	cmd.Dir, cmd.Stderr = r.root, n.log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+level())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		r.fail("start of a controller: %v", err)
	}
	n.cmd = cmd
	r.note(n.name, "started")
}

func level() string {
	if l := os.Getenv("RIG_LOG"); l != "" {
		return l
	}
	return "info"
}

// startNodes starts controllers with settings as in the deploy page.
func (r *rig) startNodes(count int, settings string) {
	for i := range count {
		r.nodes = append(r.nodes, &node{
			name: fmt.Sprintf("berth-%d", i), zone: r.zones[i%len(r.zones)], front: freeAddr(), mesh: freeAddr(),
		})
	}
	cloudAddr, _ := r.serve(r.cloud.handler())
	for i, n := range r.nodes {
		stateAddr, _ := r.serve(r.state.handler(n.name))
		var b strings.Builder
		fmt.Fprintf(&b, "member = %q\nsite = %q\nfront = %q\nmesh_addr = %q\n", n.name, n.zone, n.front, n.mesh)
		for k, o := range r.nodes {
			if k != i {
				fmt.Fprintf(&b, "[[others]]\nmember = %q\nsite = %q\nendpoint = %q\n", o.name, o.zone, o.mesh)
			}
		}
		fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n[cluster]\ninitial_size = %d\nzones = [", cloudAddr, stateAddr, count)
		for k, z := range r.zones {
			if k > 0 {
				b.WriteString(", ")
			}
			fmt.Fprintf(&b, "%q", z)
		}
		b.WriteString("]\nclock_error_ms = 5.0\n")
		for _, t := range r.teams {
			fmt.Fprintf(&b, "[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max = %.1f\n", t.name, t.cpus, t.cpusMax, t.cards, t.cardsMax)
		}
		fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = %.1f\n", r.report, r.lease, r.cancel)
		b.WriteString(settings)
		n.config = filepath.Join(r.temp, n.name+".toml")
		if err := os.WriteFile(n.config, []byte(b.String()), 0o600); err != nil {
			r.fail("%v", err)
		}
		n.log, _ = os.Create(filepath.Join(logFolder(r), n.name+".log"))
		r.startNode(n)
	}
	for _, n := range r.nodes {
		if !r.until(15*time.Second, func() bool { s, _ := r.request(n, "GET", "/up", nil, time.Second); return s == 200 }) {
			r.fail("%s is not up after 15 s", n.name)
		}
	}
	r.note("rig", "all controllers are up")
}

func logFolder(r *rig) string {
	if f := os.Getenv("RIG_LOGS"); f != "" {
		return f
	}
	return r.temp
}

func (r *rig) until(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

var userClient = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 8},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// request sends a request and returns the status, 0 without a response.
func (r *rig) request(n *node, method, path string, body []byte, limit time.Duration) (int, []byte) {
	req, _ := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	c := *userClient
	c.Timeout = limit
	res, err := c.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, data
}

// user sends a user's request, records it and its answer, and checks the rules about answers.
func (r *rig) user(n *node, method, path string, body []byte, limit time.Duration) (status int, stance string) {
	ref := strings.Split(strings.TrimPrefix(path, "/work/"), "/")[0]
	if path == "/work" {
		var j struct{ Ref string }
		_ = json.Unmarshal(body, &j)
		ref = j.Ref
	}
	if strings.HasSuffix(path, "/abort") {
		r.mu.Lock()
		r.wanted[ref] = true
		r.mu.Unlock()
	}
	r.note("user", "-> %s %s %s %s", n.name, method, path, body)
	sent := time.Now()
	status, data := r.request(n, method, path, body, limit)
	var b struct{ Stance string }
	_ = json.Unmarshal(data, &b)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note("user", "<- %s %s %s: %d %s (after %d ms)", n.name, method, path, status, bytes.TrimSpace(data), time.Since(sent).Milliseconds())
	if status == 200 || status == 201 {
		if was := r.told[ref]; was != "" && b.Stance != was {
			overlap := ""
			if sent.Before(r.finalAt[ref]) {
				overlap = ", to a request that was under way then"
			}
			r.breakLocked("went_back", "%s was called %s and is now called %s by %s%s", ref, was, b.Stance, n.name, overlap)
		}
		if b.Stance == "withdrawn" && !r.wanted[ref] {
			r.breakLocked("went_back", "%s is called cancelled, and its user did not cancel it", ref)
		}
		if b.Stance == "done" && r.jobs[ref] != nil && len(r.finished[ref]) < r.jobs[ref].Chicks {
			r.breakLocked("not_done", "%s is called done with %d of %d tasks done", ref, len(r.finished[ref]), r.jobs[ref].Chicks)
		}
		if r.jobs[ref] == nil {
			r.breakLocked("invented", "%s gets %d", ref, status)
		}
		if b.Stance == "done" || b.Stance == "withdrawn" {
			r.told[ref] = b.Stance
			if _, ok := r.finalAt[ref]; !ok {
				r.finalAt[ref] = time.Now()
			}
			if _, ok := r.toldAt[ref]; !ok && b.Stance == "withdrawn" {
				r.toldAt[ref] = time.Now()
			}
		}
	}
	if r.accepted[ref] && (status == 404 || path == "/work" && (status == 400 || status == 422)) {
		r.breakLocked("forgotten", "%s was accepted and gets %d from %s", ref, status, n.name)
	}
	if status == 200 || status == 201 {
		r.accepted[ref] = true
	}
	return status, b.Stance
}

// submit submits a job until it is accepted.
func (r *rig) submit(n *node, j job) {
	r.mu.Lock()
	r.jobs[j.Ref] = &j
	r.mu.Unlock()
	body, _ := json.Marshal(j)
	if !r.until(30*time.Second, func() bool {
		s, _ := r.user(n, "POST", "/work", body, 5*time.Second)
		if s != 200 && s != 201 {
			time.Sleep(time.Second)
		}
		return s == 200 || s == 201
	}) {
		r.fail("%s was not accepted", j.Ref)
	}
}

// onMachines returns the number of a job's tasks that are on machines.
func (r *rig) onMachines(ref string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, set := range r.on {
		for c := range set {
			if c.job == ref {
				n++
			}
		}
	}
	return n
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(2)
	}
	r := &rig{
		folder: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", begin: time.Now(),
		jobs: map[string]*job{}, on: map[string]map[*chick]*worker{}, finished: map[string]map[string]bool{},
		told: map[string]string{}, toldAt: map[string]time.Time{}, finalAt: map[string]time.Time{},
		accepted: map[string]bool{}, wanted: map[string]bool{}, breaks: map[string]int{},
	}
	var err error
	if r.root, err = os.Getwd(); err == nil {
		r.temp, err = os.MkdirTemp("", "rig2-")
	}
	if err == nil {
		r.record, err = os.Create(filepath.Join(r.folder, "record.txt"))
	}
	if err != nil {
		r.fail("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-signals; r.fail("ended by a signal") }()
	time.AfterFunc(118*time.Second, func() { r.fail("it took more than 118 s") })
	r.state = newStateService(r)
	r.cloud = &cloud{rig: r, machines: map[string]*machine{}, charters: map[string][]string{}}
	go r.watchCancelled()
	go r.cloud.snapshots()
	r.note("rig", "case %s, trouble %v", os.Args[1], r.trouble)
	rule := cases[os.Args[1]](r)
	r.mu.Lock()
	broken := r.breaks[rule]
	for other, n := range r.breaks {
		r.note("rig", "%s broken %d times", other, n)
	}
	r.note("rig", "the rule %s was broken: %v", rule, broken > 0)
	r.mu.Unlock()
	r.close()
	if broken > 0 {
		fmt.Println(rule, "was broken; see record.txt")
		os.Exit(1)
	}
	fmt.Println(rule, "held")
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
