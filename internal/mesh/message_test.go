package mesh

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
	// The same inputs every time, so that the verdict is the same.
	if err := flag.Set("rapid.seed", "13"); err != nil {
		panic(err)
	}
}

// What a member says arrives as it was said, and a summary of the paper's size
// with the needs of a large backlog fits a message.
func TestPeerMessageSurvivesEncodingRoundTrip(t *testing.T) {
	largest := 0
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Int64Range(0, 1<<45)
		function := rapid.Custom(func(t *rapid.T) availability.Function {
			f := availability.Function{Kind: rapid.StringN(1, 60, 60).Draw(t, "kind"), Count: number.Draw(t, "count"),
				Resources: availability.Resources{
					CPUs:     rapid.Float64Range(0, 1000).Draw(t, "cpus"),
					MemoryGB: rapid.Float64Range(0, 1000).Draw(t, "memory"),
				}}
			for range rapid.IntRange(1, 10).Draw(t, "samples") {
				f.Samples = append(
					f.Samples,
					availability.Sample{TimeMS: number.Draw(t, "at"), AvailableMS: number.Draw(t, "free")},
				)
			}
			return f
		})
		msg := scheduler.PeerMessage{
			From:               "m0",
			WallMS:             number.Draw(t, "wall"),
			ShardRequestedFrom: rapid.SampledFrom([]string{"", "m1"}).Draw(t, "wants"),
			ServesUsers:        rapid.Bool().Draw(t, "serves"),
			OwnedShards: []scheduler.PeerShard{{Shard: "m0", Summary: rapid.SliceOfN(function, 1, 125).Draw(t, "summary"),
				Demands:    []scheduler.CapacityDemand{{Job: "job-000001", Tasks: 3, DeadlineMS: number.Draw(t, "deadline")}},
				TaskCounts: map[string]scheduler.TaskCounts{"job-000001": {Running: 1, Done: 2}}}},
		}
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
			t.Fatalf("%+v arrives as %+v", msg, got)
		}
	})
	if largest*10 > maxMessageBytes {
		t.Errorf("a shard's report takes %d bytes of %d", largest, maxMessageBytes)
	}
}

// Whatever a message is cut to or changed into, it is read or refused, and never
// read as more than its bytes can say.
func TestDamagedPeerMessageIsRejectedOrBounded(t *testing.T) {
	good, err := encode(sampleMessage())
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	rapid.Check(t, func(t *rapid.T) {
		body := slices.Clone(good[:rapid.IntRange(0, len(good)).Draw(t, "cut")])
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
		for _, sr := range msg.OwnedShards {
			n := 0
			for _, f := range sr.Summary {
				n += len(f.Samples)
			}
			if 2*n > len(body) {
				t.Fatalf("%d samples of %d bytes", n, len(body))
			}
		}
	})
	if refused == 0 {
		t.Error("nothing is refused")
	}
}
