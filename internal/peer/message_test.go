package peer

import (
	"flag"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

func init() {
	// A fixed seed, so that every run has the same inputs and the same result.
	if err := flag.Set("rapid.seed", "13"); err != nil {
		panic(err)
	}
}

var timeMS = rapid.Int64Range(0, 1<<45)

// drawFunction draws a function with one to ten samples.
func drawFunction(t *rapid.T) availability.Function {
	f := availability.Function{
		Kind:  rapid.StringN(1, 60, 60).Draw(t, "kind"),
		Count: timeMS.Draw(t, "count"),
		Resources: availability.Resources{
			CPUs:     rapid.Float64Range(0, 1000).Draw(t, "cpus"),
			MemoryGB: rapid.Float64Range(0, 1000).Draw(t, "memory"),
		},
	}
	for range rapid.IntRange(1, 10).Draw(t, "samples") {
		sample := availability.Sample{TimeMS: timeMS.Draw(t, "at"), AvailableMS: timeMS.Draw(t, "available")}
		f.Samples = append(f.Samples, sample)
	}
	return f
}

// drawMessage draws a message of one shard with a summary.
func drawMessage(t *rapid.T) scheduler.PeerMessage {
	return scheduler.PeerMessage{
		From:               "m0",
		WallMS:             timeMS.Draw(t, "wall"),
		ShardRequestedFrom: rapid.SampledFrom([]string{"", "m1"}).Draw(t, "requested from"),
		ServesUsers:        rapid.Bool().Draw(t, "serves users"),
		OwnedShards: []scheduler.PeerShard{{
			Shard:   "m0",
			Summary: rapid.SliceOfN(rapid.Custom(drawFunction), 1, 125).Draw(t, "summary"),
			Demands: []scheduler.CapacityDemand{
				{Job: "job-000001", Tasks: 3, DeadlineMS: timeMS.Draw(t, "deadline")},
			},
			TaskCounts: map[string]scheduler.TaskCounts{"job-000001": {Running: 1, Done: 2}},
		}},
	}
}

// A decoded message equals the encoded one, and a summary of up to 125 functions
// takes at most a tenth of the maximum message size.
func TestPeerMessageSurvivesEncodingRoundTrip(t *testing.T) {
	largest := 0
	rapid.Check(t, func(t *rapid.T) {
		msg := drawMessage(t)
		body, err := encode(&msg)
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(body))
		got, err := decode(body)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, msg) {
			t.Fatalf("got %+v, want %+v", got, msg)
		}
	})
	if most := MaxMessageBytes / 10; largest > most {
		t.Errorf("got a shard of %d bytes, want at most %d", largest, most)
	}
}

// A truncated or modified message is either refused, or decoded to no more
// samples than its bytes can hold.
func TestDamagedPeerMessageIsRejectedOrBounded(t *testing.T) {
	valid, err := encode(sampleMessage())
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		body := slices.Clone(valid[:rapid.IntRange(0, len(valid)).Draw(t, "cut")])
		for range rapid.IntRange(0, 8).Draw(t, "changes") {
			if len(body) > 0 {
				body[rapid.IntRange(0, len(body)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		msg, err := decode(body)
		if err != nil {
			refused++
			return
		}
		for _, shard := range msg.OwnedShards {
			if n := countSamples(shard.Summary); 2*n > len(body) {
				t.Fatalf("got %d samples from %d bytes, want at most one per two bytes", n, len(body))
			}
		}
	})
	if refused == 0 {
		t.Error("got no refusal of a damaged message, want at least one")
	}
}

func countSamples(summary availability.Summary) int {
	n := 0
	for _, f := range summary {
		n += len(f.Samples)
	}
	return n
}
