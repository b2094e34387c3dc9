package peer

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
)

// message is the encoded form of a peer's message. Almost all of its bytes are
// the samples of summaries, and every peer sends a message once a second. Encoded
// field by field, samples took an eighth of a controller's CPU time. They are
// therefore encoded as one sequence of numbers, with times as differences.
type message struct {
	From             string               `msgpack:"from"`
	WallMS           int64                `msgpack:"wall"`
	ShardRequestTo   string               `msgpack:"wants"`
	CanRelay         bool                 `msgpack:"serves"`
	Counts           rollout.HealthCounts `msgpack:"tally"`
	Teams            quota.UsageSnapshot  `msgpack:"teams"`
	WithoutSummaries bool                 `msgpack:"brief,omitempty"`
	Shards           []shardReport        `msgpack:"shards"`
	FastestWriteMS   int64                `msgpack:"write_ms,omitempty"`
}

// shardReport is the part of a message for one of the sender's shards.
type shardReport struct {
	Shard     string                          `msgpack:"shard"`
	Summary   summary                         `msgpack:"summary"`
	Demands   []scheduler.CapacityDemand      `msgpack:"needs"`
	Running   map[string]scheduler.TaskCounts `msgpack:"running"`
	Releasing []string                        `msgpack:"returns"`

	Disruption map[string]disruption.Demand `msgpack:"disruption,omitempty"`
}

// encode encodes a message.
func encode(msg *scheduler.PeerMessage) ([]byte, error) {
	out := message{
		From:             msg.From,
		WallMS:           msg.WallMS,
		ShardRequestTo:   msg.ShardRequestedFrom,
		CanRelay:         msg.ServesUsers,
		Counts:           msg.RolloutCounts,
		Teams:            msg.TeamUsage,
		WithoutSummaries: msg.OmitsSummaries,
		Shards:           make([]shardReport, len(msg.OwnedShards)),
		FastestWriteMS:   msg.FastestWriteMS,
	}
	for i, s := range msg.OwnedShards {
		out.Shards[i] = shardReport{
			Shard:      s.Shard,
			Summary:    summary(s.Summary),
			Demands:    s.Demands,
			Running:    s.TaskCounts,
			Releasing:  s.MachinesToRelease,
			Disruption: s.DisruptionDemands,
		}
	}
	return msgpack.Marshal(&out)
}

// decode parses a message. It does not retain body.
func decode(body []byte) (scheduler.PeerMessage, error) {
	var in message
	if err := msgpack.Unmarshal(body, &in); err != nil {
		return scheduler.PeerMessage{}, err
	}
	msg := scheduler.PeerMessage{
		From:               in.From,
		WallMS:             in.WallMS,
		ShardRequestedFrom: in.ShardRequestTo,
		ServesUsers:        in.CanRelay,
		RolloutCounts:      in.Counts,
		TeamUsage:          in.Teams,
		OmitsSummaries:     in.WithoutSummaries,
		FastestWriteMS:     in.FastestWriteMS,
	}
	for _, s := range in.Shards {
		msg.OwnedShards = append(msg.OwnedShards, scheduler.PeerShard{
			Shard:             s.Shard,
			Summary:           availability.Summary(s.Summary),
			Demands:           s.Demands,
			TaskCounts:        s.Running,
			MachinesToRelease: s.Releasing,
			DisruptionDemands: s.Disruption,
		})
	}
	return msg, nil
}
