package peer

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
)

// message is the encoded form of a peer's message. Almost all of it are the
// samples of summaries, once a second from every peer: field by field they took
// an eighth of a controller's processor. They are one row of numbers, times as
// differences.
type message struct {
	From             string               `msgpack:"from"`
	WallMS           int64                `msgpack:"wall"`
	ShardRequestTo   string               `msgpack:"wants"`
	CanRelay         bool                 `msgpack:"serves"`
	Counts           rollout.HealthCounts `msgpack:"tally"`
	Teams            quota.UsageSnapshot  `msgpack:"teams"`
	WithoutSummaries bool                 `msgpack:"brief,omitempty"`
	Shards           []shardReport        `msgpack:"shards"`
}

// shardReport is what a message has of one of the sender's shards.
type shardReport struct {
	Shard     string                          `msgpack:"shard"`
	Summary   summary                         `msgpack:"summary"`
	Demands   []scheduler.CapacityDemand      `msgpack:"needs"`
	Running   map[string]scheduler.TaskCounts `msgpack:"running"`
	Releasing []string                        `msgpack:"returns"`

	Disruption map[string]disruption.Demand `msgpack:"disruption,omitempty"`
}

// encode writes a message.
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

// decode reads a message. It keeps nothing of body.
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
