package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/grebedock/grebedock/internal/adminapi"
	"github.com/grebedock/grebedock/internal/connlimit"
	"github.com/grebedock/grebedock/internal/features"
	"github.com/grebedock/grebedock/internal/peer"
	"github.com/grebedock/grebedock/internal/userapi"
)

// Names of the two addresses in metrics and log attributes.
const (
	userAddressName = "front"
	peerAddressName = "mesh"
)

// shutdownTimeout bounds how long each server may take to finish open requests.
const shutdownTimeout = time.Second

// serve listens and runs the loops until ctx ends or a listener fails.
func (n *Node) serve(ctx context.Context, enabled features.Set) error {
	userListener, err := listen(n.settings.UserAPIAddr)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	defer userListener.closeAll()
	peerListener, err := listen(n.settings.PeerAPIAddr)
	if err != nil {
		return fmt.Errorf("mesh_addr: %w", err)
	}
	defer peerListener.closeAll()
	var userConns, peerConns net.Listener = userListener, peerListener
	sockets, limited := n.settings.Cluster.Limits.MaxSockets, enabled.Connections.Enabled
	if limited {
		userConns = n.limitConnections(ctx, userAddressName, userConns, userSocketShare, userapi.ConnectionClasses())
		peerConns = n.limitConnections(ctx, peerAddressName, peerConns, peerSocketShare, peer.ConnectionClasses())
	}
	userServer, peerServer := n.newUserServer(sockets, limited), n.newPeerServer(sockets, limited)
	failed := make(chan error, 2)
	go func() { failed <- userServer.Listener(userConns) }()
	go func() { failed <- peerServer.Listener(peerConns) }()
	n.logStart(enabled)
	n.startLoops(ctx)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return errors.Join(
			userServer.ShutdownWithTimeout(shutdownTimeout),
			peerServer.ShutdownWithTimeout(shutdownTimeout),
		)
	}
}

func (n *Node) newUserServer(maxSockets int, limited bool) *fiber.App {
	server := userapi.NewUserServer(n, maxSockets, limited)
	if n.workflows != nil {
		userapi.ServeWorkflows(server, n.workflows)
	}
	return server
}

// newPeerServer returns the server of the peer address, which also serves the
// administration API.
func (n *Node) newPeerServer(maxSockets int, limited bool) *fiber.App {
	server := userapi.NewServer(maxSockets, peer.MaxMessageBytes, limited)
	adminapi.Serve(server, n)
	peer.Serve(server, n)
	if n.schedules != nil {
		adminapi.ServeSchedules(server, n.schedules)
	}
	return server
}

func (n *Node) logStart(enabled features.Set) {
	s := n.settings
	n.logger.Info("controller started",
		"member", s.Member, "zone", s.Zone,
		userAddressName, s.UserAPIAddr, peerAddressName, s.PeerAPIAddr,
		"on", enabled.EnabledNames())
}

func (n *Node) startLoops(ctx context.Context) {
	go n.loop(ctx)
	if n.workflows != nil {
		go n.workflows.loop(ctx)
	}
	if n.schedules != nil {
		go n.schedules.loop(ctx)
	}
}

// Shares of a controller's sockets for inbound connections. The rest is for
// outbound connections to the state service, the cloud, the peers and the
// workers.
const (
	userSocketShare = 5.0 / 8
	peerSocketShare = 1.0 / 8
)

// minConnectionSlots is the minimum number of connection slots of an address.
const minConnectionSlots = 8

// Bounds on connections. A request normally arrives within milliseconds.
// Workers wait four seconds for a response and users two to five, so a client
// that takes a quarter of a lease to send a request no longer waits for the
// response. The interval between two requests is that of heartbeats or polls,
// both well below two leases. Partially read bodies may take a sixteenth of the
// heap on each address.
const (
	headerTimeoutLeases   = 1.0 / 4
	bodyTimeoutLeases     = 1.0 / 4
	responseTimeoutLeases = 1.0 / 2
	idleTimeoutLeases     = 2.0
	bodyHeapShare         = 1.0 / 16
)

// limitConnections returns a listener that bounds the resources of an address's
// connections. share is the address's share of the controller's sockets.
func (n *Node) limitConnections(
	ctx context.Context,
	name string,
	ln net.Listener,
	share float64,
	classes []connlimit.Class,
) net.Listener {
	machine := n.settings.Cluster.Limits
	leases := func(factor float64) time.Duration {
		return time.Duration(factor * n.settings.Cluster.Workers.LeaseS * float64(time.Second))
	}
	limiter := connlimit.NewLimiter(name, connlimit.Limits{
		Slots:     max(minConnectionSlots, int(share*float64(machine.MaxSockets))),
		BodyBytes: int(machine.HeapBytes() * bodyHeapShare),
		Header:    leases(headerTimeoutLeases),
		Body:      leases(bodyTimeoutLeases),
		Response:  leases(responseTimeoutLeases),
		Idle:      leases(idleTimeoutLeases),
	}, classes)
	n.connectionLimiters = append(n.connectionLimiters, limiter)
	go limiter.Run(ctx)
	return limiter.Listen(ln)
}
