package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// attackSockets is the number of sockets of an attacked member. It is small, so that an attack on all
// of them needs few connections.
const attackSockets = 64

// startMember starts one real member against fakes of the platform and returns the addresses of its
// user and peer API.
func startMember(t testing.TB, sockets int, featuresText string) (userAddr, peerAddr string) {
	userAddr, peerAddr = freeAddr(t), freeAddr(t)
	platform := newTestPlatform(t, []string{userAddr})
	text := fmt.Sprintf(
		settingsText, "m-0", userAddr, peerAddr, "m-1", freeAddr(t), platform.CloudAddr, platform.StateAddr,
	)
	text = strings.Replace(text, "max_sockets = 600", fmt.Sprint("max_sockets = ", sockets), 1)
	// More than a core: the attackers run in this process too, and a member of another test may
	// have set GOMAXPROCS to 1.
	runtime.GOMAXPROCS(runtime.NumCPU())
	text = strings.Replace(text, "cpu_share = 1.0", "cpu_share = 4.0", 1)
	dir := t.TempDir()
	path := filepath.Join(dir, "member.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	args := []string{"--config", path}
	if featuresText != "" {
		features := filepath.Join(dir, "features.toml")
		if err := os.WriteFile(features, []byte(featuresText), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, "--features", features)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	cmd := rootCommand()
	cmd.SetArgs(args)
	go func() { done <- cmd.ExecuteContext(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		platform.Close()
	})
	deadline := time.Now().Add(20 * time.Second)
	for ; getStatus(userAddr, "/up") != 200; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("member not up after 20 s")
		}
	}
	return userAddr, peerAddr
}

// getStatus sends a request on a connection of its own, as a load balancer's probe does.
func getStatus(addr, path string) int {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// isServiceRunning reports whether the attacked member's only service is running.
func isServiceRunning(userAddr string) bool {
	res, err := http.Get("http://" + userAddr + "/work/job-000001")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return strings.Contains(string(b), `"stance":"running"`)
}

// keepConnections calls write on each of n connections, and replaces each one that ends, until stop is
// called.
func keepConnections(addr string, n int, write func(net.Conn, <-chan struct{})) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
				c, err := net.DialTimeout("tcp4", addr, time.Second)
				if err != nil {
					continue
				}
				go func() {
					<-done
					_ = c.Close()
				}()
				write(c, done)
				_ = c.Close()
			}
		})
	}
	return func() { close(done); all.Wait() }
}

// sendText writes a text and then waits until the member closes the connection.
func sendText(text string) func(net.Conn, <-chan struct{}) {
	return func(c net.Conn, _ <-chan struct{}) {
		if _, err := c.Write([]byte(text)); err == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}
}

// sendSlowly sends a text and then a byte every 100 ms, whatever the response.
func sendSlowly(text string) func(net.Conn, <-chan struct{}) {
	return func(c net.Conn, done <-chan struct{}) {
		for _, err := c.Write([]byte(text)); err == nil; _, err = c.Write([]byte("x")) {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
}

const connectionsEnabled = "[connections]\non = true\n"

// halfSentRequest is a submission with half of its body.
var halfSentRequest = "POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat(" ", 30000)

// BenchmarkUnderHalfSentRequests measures the effect on users of an attack on a member with 600
// sockets: up to 2000 half-sent requests, each replaced when the member closes its connection.
func BenchmarkUnderHalfSentRequests(b *testing.B) {
	b.Setenv("LOG_LEVEL", "error")
	for _, c := range []struct {
		name, with string
		attackers  int
	}{
		{"bounded/none", connectionsEnabled, 0}, {"bounded/450", connectionsEnabled, 450},
		{"bounded/2000", connectionsEnabled, 2000}, {"unbounded/none", "", 0},
		{"unbounded/450", "", 450},
	} {
		b.Run(c.name, func(b *testing.B) {
			userAddr, _ := startMember(b, 600, c.with)
			stop := keepConnections(userAddr, c.attackers, sendText(halfSentRequest))
			defer stop()
			time.Sleep(500 * time.Millisecond)
			var took []time.Duration
			answered := 0
			for b.Loop() {
				at := time.Now()
				if getStatus(userAddr, "/work/job-000009") == 404 {
					answered++
				}
				took = append(took, time.Since(at))
			}
			slices.Sort(took)
			b.ReportMetric(float64(answered)/float64(len(took)), "answered")
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}

// Stalling clients do not keep a member from serving others: 128 of them attack a member that has 64
// sockets.
func TestStallingClientsDoNotDelayOtherClients(t *testing.T) {
	t.Setenv("LOG_LEVEL", "error")
	worker := strings.Replace(halfSentRequest, "/work", "/v1/report", 1)
	attacks := []struct {
		name  string
		write func(net.Conn, <-chan struct{})
	}{
		{"half-sent bodies", sendText(halfSentRequest)},
		{"half-sent reports", sendText(worker)},
		{
			"half-sent chunks",
			sendText(
				"POST /work HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n7530\r\n" +
					strings.Repeat(" ", 20000),
			),
		},
		{"bodies a byte at a time", sendSlowly("POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n")},
		{"headers a byte at a time", sendSlowly("GET /work/job-000001 HTTP/1.1\r\nX-Long: ")},
		{"headers without end", sendText("GET /up HTTP/1.1\r\nX-Long: " + strings.Repeat("a", 20000))},
		{"connections without a byte", sendText("")},
	}
	// A client tries up to five times, as all clients retry: on a busy machine its own request may be
	// late.
	answered := func(addr, path string, want int) bool {
		for range 5 {
			if getStatus(addr, path) == want {
				return true
			}
		}
		return false
	}
	countAnswered := func(userAddr string, requests int) (up, users int) {
		for range requests {
			if answered(userAddr, "/up", 200) {
				up++
			}
			if answered(userAddr, "/work/job-000009", 404) {
				users++
			}
		}
		return up, users
	}

	t.Run("unbounded", func(t *testing.T) {
		// The fault itself, to show that the check below detects it.
		userAddr, _ := startMember(t, attackSockets, "")
		stop := keepConnections(userAddr, 2*attackSockets, sendText(halfSentRequest))
		defer stop()
		time.Sleep(300 * time.Millisecond)
		if up, _ := countAnswered(userAddr, 3); up != 0 {
			t.Errorf("got %d of 3 probes answered without connection limits, want 0: the attack has no effect", up)
		}
	})

	userAddr, peerAddr := startMember(t, attackSockets, connectionsEnabled)
	body := `{"ref":"job-000001","flock":"f","crew":"ops","shape":"standing","rank":"standard","chicks":1,` +
		`"cpus":1,"cards":0,"memory_gb":4,"plumage":"i","size_gb":0.1,` +
		`"same_place":false,"spread":false,"driftwood":true,"swim_s":0,"surface_s":0,"preen_s":0}`
	// Workers keep sending heartbeats only while they get responses. The service gives them a task to
	// keep, which is lost if the heartbeats end. A member that has just started may respond with status
	// 503, so that clients retry later.
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		res, err := http.Post("http://"+userAddr+"/work", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode == 201 || res.StatusCode == 200 {
			break
		} else if res.StatusCode != 503 || time.Now().After(end) {
			t.Fatalf("submission: got response %v, want status 200 or 201", res)
		}
	}
	for end := time.Now().Add(20 * time.Second); !isServiceRunning(userAddr); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("service not running after 20 s; the test needs its task to check heartbeat responses")
		}
	}
	for _, a := range attacks {
		t.Run(a.name, func(t *testing.T) {
			stop := keepConnections(userAddr, 2*attackSockets, a.write)
			time.Sleep(200 * time.Millisecond)
			const requests = 10
			up, users := countAnswered(userAddr, requests)
			stop()
			if up != requests || users != requests {
				t.Errorf(
					"during the attack: got responses to %d of %d probes and %d of %d users' requests",
					up, requests, users, requests,
				)
			}
			if up, users := countAnswered(userAddr, 2); up != 2 || users != 2 {
				t.Errorf("after the attack: got responses to %d of 2 probes and %d of 2 users' requests", up, users)
			}
		})
	}

	t.Run("pipelined requests", func(t *testing.T) {
		c, err := net.Dial("tcp4", peerAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(4 * time.Second))
		fmt.Fprint(c, strings.Repeat("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 20))
		answers, _ := io.ReadAll(c)
		if n := strings.Count(string(answers), "HTTP/1.1 "); n != 2 ||
			!strings.Contains(string(answers), "HTTP/1.1 400 ") {
			t.Errorf("20 pipelined requests: got %d responses, want 2, one of them with status 400", n)
		}
	})

	t.Run("half-sent request gets 408", func(t *testing.T) {
		c, err := net.Dial("tcp4", userAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, halfSentRequest)
		_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if res.StatusCode != 408 || res.Header.Get("Retry-After") == "" {
			t.Errorf("half-sent request: got status %s, Retry-After %q, want 408 and a Retry-After",
				res.Status, res.Header.Get("Retry-After"))
		}
	})

	t.Run("compressed bodies", func(t *testing.T) {
		req, err := http.NewRequest("POST", "http://"+userAddr+"/work", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Encoding", "gzip")
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if res.StatusCode != 415 {
			t.Errorf("compressed body: got status %s, want 415", res.Status)
		}
	})

	if !isServiceRunning(userAddr) {
		t.Error("service no longer running after the attacks")
	}
	res, err := http.Get("http://" + peerAddr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	for _, want := range []string{
		`given_up_total{address="front",class="users",why="late_body"}`,
		`given_up_total{address="front",class="users",why="shed"}`,
		`connection_slots{address="front"} 40`, `grebedock_events_total{event="lost_task"} 0`,
	} {
		if !strings.Contains(string(text), want) ||
			strings.Contains(string(text), want+" 0") && !strings.HasSuffix(want, " 0") {
			t.Errorf("metric %s is missing or has an unexpected value of 0", want)
		}
	}
}
