package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// sampleMessage returns the message of a controller of a large fleet: a summary
// of 125 functions with ten samples each, and the demands of 30 jobs.
func sampleMessage() *scheduler.PeerMessage {
	rng := rand.New(rand.NewPCG(1, 2))
	shard := scheduler.PeerShard{Shard: "berth-0", TaskCounts: map[string]scheduler.TaskCounts{}}
	for i := range 125 {
		f := availability.Function{
			Kind:      fmt.Sprintf("s|zone-%d|type-%d", i%4, i%2),
			Count:     1 + rng.Int64N(5),
			Resources: availability.Resources{CPUs: 8, MemoryGB: 27.5, DiskGB: 30},
		}
		at := int64(1_790_000_000_000)
		for range 10 {
			at += rng.Int64N(60_000)
			f.Samples = append(f.Samples, availability.Sample{TimeMS: at, AvailableMS: rng.Int64N(400_000)})
		}
		shard.Summary = append(shard.Summary, f)
	}
	for i := range 30 {
		job := fmt.Sprintf("job-%06d", i)
		demand := scheduler.CapacityDemand{Job: job, Tasks: 10, DeadlineMS: 1_790_000_000_000, TaskRuntimeMS: 30_000}
		shard.Demands = append(shard.Demands, demand)
		shard.TaskCounts[job] = scheduler.TaskCounts{Running: 4, Done: 3}
	}
	return &scheduler.PeerMessage{From: "berth-0", WallMS: 1_790_000_000_000, OwnedShards: []scheduler.PeerShard{shard}}
}

func BenchmarkEncode(b *testing.B) {
	msg := sampleMessage()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		body, err := encode(msg)
		if err != nil {
			b.Fatal(err)
		}
		n = len(body)
	}
	b.ReportMetric(float64(n), "bytes")
}

func BenchmarkDecode(b *testing.B) {
	body, err := encode(sampleMessage())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decode(body); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPeers measures a controller's cost for one second of messages: it
// encodes its own message and decodes those of all peers. Only the peers whose
// turn it is include summaries.
func BenchmarkPeers(b *testing.B) {
	for _, peers := range []int{4, 19, 99} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			msg := sampleMessage()
			write := func(msg *scheduler.PeerMessage) []byte {
				body, err := encode(msg)
				if err != nil {
					b.Fatal(err)
				}
				return body
			}
			rounds := (peers + 15) / 16
			full := (peers + rounds - 1) / rounds
			var whole, brief []byte
			b.ReportAllocs()
			for b.Loop() {
				whole, brief = write(msg), write(msg.WithoutSummaries())
				for i := range peers {
					body := brief
					if i < full {
						body = whole
					}
					if _, err := decode(body); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(full*len(whole)+(peers-full)*len(brief)), "bytes/s")
			b.ReportMetric(float64(peers*len(whole)), "bytes/s-without-turns")
		})
	}
}
