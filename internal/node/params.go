package node

import (
	"context"
	"log/slog"

	"github.com/grebedock/grebedock/internal/config"
	"github.com/grebedock/grebedock/internal/features"
	"github.com/grebedock/grebedock/internal/peer"
	"github.com/grebedock/grebedock/scheduler"
)

// guaranteeObjective is the kind of objective that bounds how long a team may
// wait for its guarantee.
const guaranteeObjective = "guarantee"

// Params returns the core's parameters from the settings file alone, with every
// feature off.
func Params(settings *config.File) scheduler.Params {
	cluster := &settings.Cluster
	p := scheduler.Params{
		MemberID:      settings.Member,
		Zone:          settings.Zone,
		Teams:         map[string]scheduler.Team{},
		Objectives:    map[string][]scheduler.Objective{},
		HeartbeatS:    cluster.Workers.HeartbeatS,
		LeaseS:        cluster.Workers.LeaseS,
		CancelWithinS: cluster.Workers.CancelS,
		CPUShare:      cluster.Limits.CPUShare,
		MaxValueBytes: int(cluster.State.ValueKB * 1024),
		MaxTxnOps:     cluster.State.TxnOps,
		CloudListLagS: cluster.Cloud.ListLagS,
	}
	for _, other := range settings.Peers {
		p.PeerIDs = append(p.PeerIDs, other.Member)
	}
	for _, t := range cluster.Teams {
		p.Teams[t.Name] = scheduler.Team{CPUs: t.CPUs, GPUs: t.GPUs, MaxCPUs: t.CPUsMax, MaxGPUs: t.GPUsMax}
	}
	for _, o := range cluster.Objectives {
		if o.Kind == guaranteeObjective {
			p.GuaranteeWithinS = o.WithinS
		}
		if o.Class != "" {
			objective := scheduler.Objective{Kind: o.Kind, WithinS: o.WithinS, DeadlineFactor: o.DeadlineFactor}
			p.Objectives[o.Class] = append(p.Objectives[o.Class], objective)
		}
	}
	return p
}

// coreParams returns the core's parameters from the settings and the features.
func (n *Node) coreParams(enabled features.Set) scheduler.Params {
	p := Params(n.settings)
	if enabled.Relay.Enabled {
		p.MaxPendingRelays = peer.MaxRelays(n.settings.Cluster.Limits.MaxSockets)
	}
	if enabled.Admission.Enabled {
		p.StoreChangeRate = writeRateShare(n.settings)
	}
	p.Recovery = enabled.Recovery.Enabled
	p.Quota = enabled.Quota.Enabled
	p.Aging = enabled.Aging.Enabled
	p.Rollout = enabled.Rollout.Enabled
	p.Debug = n.logger.Enabled(context.Background(), slog.LevelDebug)
	return p
}

// writeRateShare returns this controller's share of the state service's write
// rate, in changes per second.
func writeRateShare(settings *config.File) float64 {
	return settings.Cluster.State.WriteRPS / float64(len(settings.Peers)+1)
}
