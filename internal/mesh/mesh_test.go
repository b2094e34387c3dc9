package mesh

import (
	"flag"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
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
func TestMessagesArriveWhole(t *testing.T) {
	largest := 0
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Int64Range(0, 1<<45)
		function := rapid.Custom(func(t *rapid.T) availability.Function {
			f := availability.Function{Kind: rapid.StringN(1, 60, 60).Draw(t, "kind"), Count: number.Draw(t, "count"),
				Room: availability.Room{CPUs: rapid.Float64Range(0, 1000).Draw(t, "cpus"), MemoryGB: rapid.Float64Range(0, 1000).Draw(t, "memory")}}
			for range rapid.IntRange(1, 10).Draw(t, "samples") {
				f.Samples = append(f.Samples, availability.Sample{At: number.Draw(t, "at"), Free: number.Draw(t, "free")})
			}
			return f
		})
		msg := scheduler.PeerMessage{From: "m0", Wall: number.Draw(t, "wall"), Wants: rapid.SampledFrom([]string{"", "m1"}).Draw(t, "wants"),
			Shards: []scheduler.ShardReport{{Shard: "m0", Summary: rapid.SliceOfN(function, 1, 125).Draw(t, "summary"),
				Needs:   []scheduler.Need{{Job: "job-000001", Count: 3, Deadline: number.Draw(t, "deadline")}},
				Running: map[string]scheduler.Counts{"job-000001": {Running: 1, Done: 2}}}}}
		body, err := msgpack.Marshal(&msg)
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(body))
		var got scheduler.PeerMessage
		if err := msgpack.Unmarshal(body, &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, msg) {
			t.Fatalf("%+v arrives as %+v", msg, got)
		}
	})
	if largest*10 > maxMessage {
		t.Errorf("a shard's report takes %d bytes of %d", largest, maxMessage)
	}
}
