package adminapi

import (
	"fmt"
	"io"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/internal/userapi"
	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
	"github.com/grebedock/grebedock/schedules"
)

// filledCore responds with values whose fields are all set, and records its
// inputs.
type filledCore struct{ got []any }

func filled[T any]() (v T) {
	golden.Fill(&v)
	return v
}

var accepted = scheduler.UserResponse{Status: fiber.StatusOK}

func (*filledCore) Status() scheduler.Status           { return filled[scheduler.Status]() }
func (*filledCore) Settings() scheduler.Settings       { return filled[scheduler.Settings]() }
func (*filledCore) Collectors() []prometheus.Collector { return nil }
func (*filledCore) Rollout() *scheduler.RolloutStatus  { return filled[*scheduler.RolloutStatus]() }

func (c *filledCore) ChangeSettings(s scheduler.Settings) (scheduler.UserResponse, bool) {
	c.got = append(c.got, s)
	return accepted, true
}

func (c *filledCore) PreviewRollout(p rollout.Plan) scheduler.RolloutPreview {
	c.got = append(c.got, p)
	v := filled[scheduler.RolloutPreview]()
	v.InvalidReason = ""
	return v
}

func (c *filledCore) ApplyRollout(p rollout.Plan) (scheduler.UserResponse, bool) {
	c.got = append(c.got, p)
	return accepted, true
}

func (c *filledCore) CommandRollout(command rollout.Command) (scheduler.UserResponse, bool) {
	c.got = append(c.got, command)
	return accepted, true
}

func (c *filledCore) HandleRequest(r schedules.Request) (schedules.Response, bool) {
	c.got = append(c.got, r)
	a := filled[schedules.Response]()
	a.Status = fiber.StatusOK
	return a, true
}

// maxBody is the limit of the peer address.
const maxBody = 1 << 20

func filledServer() (*fiber.App, *filledCore) {
	core := &filledCore{}
	app := userapi.NewServer(100, maxBody, false)
	Serve(app, core)
	ServeSchedules(app, core)
	return app, core
}

// exchange makes a request and returns the status and the body of the response.
func exchange(t *testing.T, app *fiber.App, method, path, body string) string {
	t.Helper()
	res, err := app.Test(httptest.NewRequest(method, path, strings.NewReader(body)), -1)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%d\n%s", res.StatusCode, b)
}

// TestAdministrationRequestsKeepTheirForm compares the bodies of operators'
// requests with golden files.
func TestAdministrationRequestsKeepTheirForm(t *testing.T) {
	golden.JSON[rollout.Plan](t, "plan.json")
	golden.JSON[scheduler.Settings](t, "settings.json")
}

func TestAdministrationResponsesKeepTheirForm(t *testing.T) {
	for _, v := range []any{
		scheduler.Status{}, scheduler.Settings{}, scheduler.RolloutStatus{}, scheduler.RolloutPreview{},
		schedules.Response{}, rollout.Plan{},
	} {
		golden.CheckTags(t, "json", v)
	}
	plan := string(golden.Read(t, "plan.json"))
	settings := string(golden.Read(t, "settings.json"))
	app, core := filledServer()
	var out []byte
	for _, q := range []struct{ method, path, body string }{
		{"GET", "/v1/status", ""},
		{"GET", "/v1/settings", ""},
		{"PATCH", "/v1/settings", settings},
		{"PATCH", "/v1/settings", `{"unknown":1}`},
		{"GET", "/v1/rollout", ""},
		{"PUT", "/v1/rollout?preview=true", plan},
		{"PUT", "/v1/rollout", plan},
		{"POST", "/v1/rollout/pause", ""},
		{"POST", "/v1/rollout/resume", ""},
		{"POST", "/v1/rollout/abort", ""},
		{"GET", "/v1/schedules?from=a", ""},
		{"GET", "/v1/schedules/nightly", ""},
		{"GET", "/v1/schedules/nightly/history?from=2", ""},
		{"POST", "/v1/schedules/nightly/pause", ""},
		{"POST", "/v1/schedules/nightly/resume", ""},
		{"DELETE", "/v1/schedules/nightly", ""},
		{"PUT", "/v1/schedules/nightly?effective=2026-01-02T03:04:05Z", "text"},
		{"GET", "/v1/calendars/bank", ""},
		{"PUT", "/v1/calendars/bank", "text"},
	} {
		out = fmt.Appendf(out, "%s %s\n%s\n", q.method, q.path, exchange(t, app, q.method, q.path, q.body))
	}
	golden.Compare(t, "admin.txt", out)
	var got []byte
	for _, v := range core.got {
		got = append(append(got, golden.Dump(v)...), '\n')
	}
	golden.Compare(t, "admin_read.jsonl", got)
}

var helpLines = regexp.MustCompile(`(?m)^# HELP .*\n`)

// TestMetricsKeepTheirNames compares metrics with their types, labels and values
// with a golden file, but not the help texts.
func TestMetricsKeepTheirNames(t *testing.T) {
	app, _ := filledServer()
	golden.Compare(t, "metrics.txt", helpLines.ReplaceAll([]byte(exchange(t, app, "GET", "/metrics", "")), nil))
}
