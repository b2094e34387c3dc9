package userapi

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/internal/golden"
)

func TestRoutesKeepTheirForm(t *testing.T) {
	app := NewUserServer(nil, 100, false)
	ServeWorkflows(app, nil)
	var out []byte
	for _, r := range app.GetRoutes() {
		out = fmt.Appendf(out, "%s %s\n", r.Method, r.Path)
	}
	golden.Compare(t, "routes.txt", out)
}
