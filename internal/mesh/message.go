package mesh

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/disruption"
	"github.com/grebedock/grebedock/quota"
	"github.com/grebedock/grebedock/rollout"
	"github.com/grebedock/grebedock/scheduler"
)

// message is a peer's message on its way. Almost all of it are the summaries'
// samples, once a second from every peer: field by field they took an eighth of
// a member's processor. They go as one row of numbers, times as differences.
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

type shardReport struct {
	Shard     string                          `msgpack:"shard"`
	Summary   summary                         `msgpack:"summary"`
	Demands   []scheduler.CapacityDemand      `msgpack:"needs"`
	Running   map[string]scheduler.TaskCounts `msgpack:"running"`
	Releasing []string                        `msgpack:"returns"`

	Disruption map[string]disruption.Demand `msgpack:"disruption,omitempty"`
}

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
			s.Shard,
			summary(s.Summary),
			s.Demands,
			s.TaskCounts,
			s.MachinesToRelease,
			s.DisruptionDemands,
		}
	}
	return msgpack.Marshal(&out)
}

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
		msg.OwnedShards = append(
			msg.OwnedShards,
			scheduler.PeerShard{
				Shard:             s.Shard,
				Summary:           availability.Summary(s.Summary),
				Demands:           s.Demands,
				TaskCounts:        s.Running,
				MachinesToRelease: s.Releasing,
				DisruptionDemands: s.Disruption,
			},
		)
	}
	return msg, nil
}

// summary is encoded as the kinds that its functions have, the number of its
// functions and of all their samples, and the functions one after the other.
type summary availability.Summary

var (
	_ msgpack.CustomEncoder = summary{}
	_ msgpack.CustomDecoder = (*summary)(nil)
)

func (s summary) EncodeMsgpack(e *msgpack.Encoder) error {
	kinds := map[string]int{}
	var names []string
	samples := 0
	for _, f := range s {
		if _, ok := kinds[f.Kind]; !ok {
			kinds[f.Kind] = len(names)
			names = append(names, f.Kind)
		}
		samples += len(f.Samples)
	}
	err := e.EncodeArrayLen(len(names))
	for _, n := range names {
		err = errors.Join(err, e.EncodeString(n))
	}
	encodeInts := func(ns ...int64) {
		for _, n := range ns {
			if err == nil {
				err = e.EncodeInt(n)
			}
		}
	}
	encodeInts(int64(len(s)), int64(samples))
	for _, f := range s {
		encodeInts(int64(kinds[f.Kind]), f.Count)
		for _, v := range []float64{f.Resources.CPUs, f.Resources.GPUs, f.Resources.MemoryGB, f.Resources.DiskGB} {
			if err == nil {
				err = e.EncodeFloat64(v)
			}
		}
		encodeInts(int64(len(f.Samples)))
		previous := int64(0)
		for _, p := range f.Samples {
			encodeInts(p.TimeMS-previous, p.AvailableMS)
			previous = p.TimeMS
		}
	}
	return err
}

var errMalformedSummary = errors.New("not a summary")

// DecodeMsgpack reads a summary. What it claims to hold is bounded by what a
// message can: each number takes a byte at least.
func (s *summary) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n > maxMessageBytes {
		return errors.Join(errMalformedSummary, err)
	}
	var names []string
	for range n {
		name, err := d.DecodeString()
		if err != nil {
			return err
		}
		names = append(names, name)
	}
	number := func(minimum, maximum int64) (v int64) {
		if err == nil {
			if v, err = d.DecodeInt64(); err == nil && (v < minimum || v > maximum) {
				err = errMalformedSummary
			}
		}
		return v
	}
	nonNegative := func(maximum int64) int64 { return number(0, maximum) }
	functions := nonNegative(maxFunctions)
	remaining := nonNegative(maxFunctions * maxSamples)
	if err != nil {
		return err
	}
	samples := make([]availability.Sample, 0, min(remaining, 2048))
	for range functions {
		kind, count := nonNegative(int64(len(names))-1), nonNegative(maxNumber)
		if err != nil {
			return err
		}
		f := availability.Function{Kind: names[kind], Count: count}
		for _, v := range []*float64{&f.Resources.CPUs, &f.Resources.GPUs, &f.Resources.MemoryGB, &f.Resources.DiskGB} {
			if err == nil {
				*v, err = d.DecodeFloat64()
			}
		}
		k := nonNegative(remaining)
		remaining -= k
		from, previous := len(samples), int64(0)
		for range k {
			previous += number(-previous, maxNumber)
			samples = append(samples, availability.Sample{TimeMS: previous, AvailableMS: nonNegative(maxNumber)})
			if err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
		f.Samples = samples[from:len(samples):len(samples)]
		*s = append(*s, f)
	}
	return nil
}

// maxFunctions and maxSamples are the most that the operators' settings allow a
// summary to have; kinds that cannot be merged may add some.
const (
	maxFunctions = 4000
	maxSamples   = 100
	maxNumber    = 1 << 50 // of which that many still add up
)
