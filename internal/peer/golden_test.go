package peer

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/grebedock/grebedock/internal/golden"
	"github.com/grebedock/grebedock/scheduler"
)

// fillMessage sets all fields of the value that v points to. Maps get one key,
// since the encoder of messages does not sort keys.
func fillMessage(v any) { (&golden.Filler{Keys: 1}).Fill(v) }

func TestPeerMessageKeepsItsForm(t *testing.T) {
	golden.CheckTags(t, "msgpack", message{})
	encodeWhole := func(m scheduler.PeerMessage) ([]byte, error) { return encode(&m) }
	var m scheduler.PeerMessage
	fillMessage(&m)
	golden.RoundTrip(t, "peer.msgpack", m, encodeWhole, decode)
	golden.RoundTrip(t, "peer_brief.msgpack", *m.WithoutSummaries(), encodeWhole, decode)
	empty := scheduler.PeerMessage{OwnedShards: []scheduler.PeerShard{{}}}
	golden.RoundTrip(t, "peer_empty.msgpack", empty, encodeWhole, decode)
}

func TestRelayedRequestsKeepTheirForm(t *testing.T) {
	var r scheduler.UserRequest
	fillMessage(&r)
	golden.CheckTags(t, "msgpack", r)
	r.Kind, r.ID, r.Job.ID = scheduler.SubmitJob, "job-7", "job-7"
	encode := func(r scheduler.UserRequest) ([]byte, error) { return msgpack.Marshal(&r) }
	golden.RoundTrip(t, "relay_request.msgpack", r, encode, decodeRelay)
	query := scheduler.UserRequest{Kind: scheduler.QueryJob, ID: "job-7", Relayed: true}
	golden.RoundTrip(t, "relay_question.msgpack", query, encode, decodeRelay)
}

func TestRelayedResponsesKeepTheirForm(t *testing.T) {
	var a scheduler.UserResponse
	fillMessage(&a)
	golden.CheckTags(t, "msgpack", a)
	encode := func(a scheduler.UserResponse) ([]byte, error) { return msgpack.Marshal(&a) }
	decode := func(b []byte) (a scheduler.UserResponse, err error) { return a, msgpack.Unmarshal(b, &a) }
	golden.RoundTrip(t, "relay_answer.msgpack", a, encode, decode)
}
