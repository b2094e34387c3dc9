package node

import (
	"fmt"
	"testing"

	"github.com/grebedock/grebedock/internal/adminapi"
	"github.com/grebedock/grebedock/internal/golden"
)

// TestPeerRoutesKeepTheirForm compares the routes of the peer address with a
// golden file.
func TestPeerRoutesKeepTheirForm(t *testing.T) {
	n := &Node{health: newHealth(1)}
	app := n.newPeerServer(100, false)
	adminapi.ServeSchedules(app, nil)
	var out []byte
	for _, r := range app.GetRoutes() {
		out = fmt.Appendf(out, "%s %s\n", r.Method, r.Path)
	}
	golden.Compare(t, "peer_routes.txt", out)
}
