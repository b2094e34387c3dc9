package mesh

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/scheduler"
)

// fillMessage fills with one key a map: the encoder of messages does not sort them.
func fillMessage(v any) { (&golden.Filler{Keys: 1}).Fill(v) }

func TestPeerMessageKeepsItsForm(t *testing.T) {
	golden.CheckTags(t, "msgpack", message{})
	encodeWhole := func(m scheduler.PeerMessage) ([]byte, error) { return encode(&m) }
	var m scheduler.PeerMessage
	fillMessage(&m)
	golden.RoundTrip(t, "peer.msgpack", m, encodeWhole, decode)
	golden.RoundTrip(t, "peer_brief.msgpack", *m.WithoutSummaries(), encodeWhole, decode)
	golden.RoundTrip(
		t,
		"peer_empty.msgpack",
		scheduler.PeerMessage{OwnedShards: []scheduler.PeerShard{{}}},
		encodeWhole,
		decode,
	)
}

func TestRelayedRequestsKeepTheirForm(t *testing.T) {
	var r scheduler.UserRequest
	fillMessage(&r)
	golden.CheckTags(t, "msgpack", r)
	r.Kind, r.ID, r.Job.ID = scheduler.SubmitJob, "job-7", "job-7"
	golden.RoundTrip(
		t,
		"relay_request.msgpack",
		r,
		func(r scheduler.UserRequest) ([]byte, error) { return msgpack.Marshal(&r) },
		decodeRelay,
	)
	golden.RoundTrip(
		t,
		"relay_question.msgpack",
		scheduler.UserRequest{Kind: scheduler.QueryJob, ID: "job-7", Relayed: true},
		func(r scheduler.UserRequest) ([]byte, error) { return msgpack.Marshal(&r) },
		decodeRelay,
	)
}

func TestRelayedAnswersKeepTheirForm(t *testing.T) {
	var a scheduler.UserResponse
	fillMessage(&a)
	golden.CheckTags(t, "msgpack", a)
	golden.RoundTrip(
		t,
		"relay_answer.msgpack",
		a,
		func(a scheduler.UserResponse) ([]byte, error) { return msgpack.Marshal(&a) },
		func(b []byte) (a scheduler.UserResponse, err error) { return a, msgpack.Unmarshal(b, &a) },
	)
}
