// Package extension is the frame of state machines that extend the scheduler
// without being part of its core: an extension keeps records in the state
// service under a shard's claim, and submits, asks about and cancels jobs as a
// user does.
//
// An extension embeds a Base, which owns the requests under way: it numbers
// them, gathers them until the caller takes them, and hands each answer once to
// the function that waits for it. It has no input or output of its own. The
// caller gives the time with each input, takes the Outputs after it, and calls
// from one goroutine at a time.
//
// A Base does not repeat a request and has no timeouts: every request must be
// answered, if only with an unknown outcome. An answer to a request that is not
// under way (doubled, or of an earlier process) is ignored.
package extension

import (
	"encoding/json"
	"fmt"
	"hash/fnv"

	"github.com/grebedock/grebedock/scheduler"
)

// CoreRequest is a request to the scheduler's core.
type CoreRequest struct {
	ID          uint64
	UserRequest scheduler.UserRequest
}

// Request is a request of an extension's own kind: to whatever it needs beside
// the state service and the core.
type Request[Q any] struct {
	ID   uint64
	Body Q
}

// Outputs is what an extension wants done. Q is its own kind of request, A its
// answer to users, by the number that the caller gave with the user's request.
type Outputs[Q, A any] struct {
	Store     []scheduler.StoreOp
	Core      []CoreRequest
	Requests  []Request[Q]
	Responses map[uint64]A
	Logs      []scheduler.LogLine
}

// Base keeps what an extension asked and gathers what it wants done: requests Q
// of its own kind with results R, and answers A to users. The zero value is
// ready for use.
type Base[Q, R, A any] struct {
	Now     scheduler.Now // of the last input
	outputs Outputs[Q, A]
	lastID  uint64

	storeCallbacks   callbacks[scheduler.StoreResult]
	coreCallbacks    callbacks[scheduler.UserResponse]
	requestCallbacks callbacks[R]
}

// Take returns what the inputs since the last call want done.
func (b *Base[Q, R, A]) Take() Outputs[Q, A] {
	o := b.outputs
	b.outputs = Outputs[Q, A]{}
	return o
}

// Log notes a line that operators may want to see.
func (b *Base[Q, R, A]) Log(text string, args ...any) {
	b.outputs.Logs = append(b.outputs.Logs, scheduler.LogLine{Level: scheduler.Info, Message: text, Args: args})
}

// Respond answers a user.
func (b *Base[Q, R, A]) Respond(id uint64, a A) {
	if b.outputs.Responses == nil {
		b.outputs.Responses = map[uint64]A{}
	}
	b.outputs.Responses[id] = a
}

// SendStore asks the state service.
func (b *Base[Q, R, A]) SendStore(op scheduler.StoreOp, onResult func(scheduler.StoreResult)) {
	op.ID = b.nextID()
	b.storeCallbacks.add(op.ID, onResult)
	b.outputs.Store = append(b.outputs.Store, op)
}

// SendCore asks the core.
func (b *Base[Q, R, A]) SendCore(r scheduler.UserRequest, onResult func(scheduler.UserResponse)) {
	id := b.nextID()
	b.coreCallbacks.add(id, onResult)
	b.outputs.Core = append(b.outputs.Core, CoreRequest{id, r})
}

// SendRequest makes a request of the extension's own kind.
func (b *Base[Q, R, A]) SendRequest(q Q, onResult func(R)) {
	id := b.nextID()
	b.requestCallbacks.add(id, onResult)
	b.outputs.Requests = append(b.outputs.Requests, Request[Q]{id, q})
}

// Get reads one record. ok is false where the state service did not say; a
// record that does not exist has no Value.
func (b *Base[Q, R, A]) Get(urgency scheduler.Urgency, key string, onResult func(item scheduler.KeyValue, ok bool)) {
	b.SendStore(scheduler.StoreOp{Kind: scheduler.StoreGet, Urgency: urgency, Key: key}, func(r scheduler.StoreResult) {
		switch {
		case r.Outcome == scheduler.OK && len(r.KVs) == 1:
			onResult(r.KVs[0], true)
		case r.Outcome == scheduler.NotFound:
			onResult(scheduler.KeyValue{}, true)
		default:
			onResult(scheduler.KeyValue{}, false)
		}
	})
}

// List reads all records with a prefix, page by page. It ends early, and without
// a word, once page returns false; else done tells whether all was read.
func (b *Base[Q, R, A]) List(
	urgency scheduler.Urgency,
	prefix string,
	onPage func([]scheduler.KeyValue) bool,
	onDone func(ok bool),
) {
	b.listFrom(urgency, prefix, "", onPage, onDone)
}

func (b *Base[Q, R, A]) listFrom(
	urgency scheduler.Urgency,
	prefix, from string,
	onPage func([]scheduler.KeyValue) bool,
	onDone func(ok bool),
) {
	b.SendStore(
		scheduler.StoreOp{Kind: scheduler.StoreList, Urgency: urgency, Key: prefix, StartAfter: from},
		func(r scheduler.StoreResult) {
			switch {
			case r.Outcome != scheduler.OK:
				onDone(false)
			case !onPage(r.KVs):
			case r.More && len(r.KVs) > 0:
				b.listFrom(urgency, prefix, r.KVs[len(r.KVs)-1].Key, onPage, onDone)
			default:
				onDone(true)
			}
		},
	)
}

// StoreDone takes the answer of the state service to a request.
func (b *Base[Q, R, A]) StoreDone(now scheduler.Now, id uint64, r scheduler.StoreResult) {
	b.Now = now
	b.storeCallbacks.resolve(id, r)
}

// CoreDone takes the core's answer to a request.
func (b *Base[Q, R, A]) CoreDone(now scheduler.Now, id uint64, r scheduler.UserResponse) {
	b.Now = now
	b.coreCallbacks.resolve(id, r)
}

// RequestDone takes the result of a request of the extension's own kind.
func (b *Base[Q, R, A]) RequestDone(now scheduler.Now, id uint64, r R) {
	b.Now = now
	b.requestCallbacks.resolve(id, r)
}

// nextID is a number that no other request of the extension has.
func (b *Base[Q, R, A]) nextID() uint64 {
	b.lastID++
	return b.lastID
}

// callbacks has who waits for the answer to a request, by the request's number.
type callbacks[T any] map[uint64]func(T)

func (w *callbacks[T]) add(id uint64, onResult func(T)) {
	if *w == nil {
		*w = callbacks[T]{}
	}
	(*w)[id] = onResult
}

// resolve hands an answer to whoever waits for it, once.
func (w callbacks[T]) resolve(id uint64, v T) {
	if onResult := w[id]; onResult != nil {
		delete(w, id)
		onResult(v)
	}
}

// ShardOf is the shard among these that drives what has an id: the same on all
// members that know the same shards.
func ShardOf(shards []string, id string) string {
	h := fnv.New32a()
	h.Write([]byte(id))
	return shards[int(h.Sum32()%uint32(len(shards)))]
}

// Encode writes a record. It panics where the type has no JSON, which is a
// mistake in the program.
func Encode(record any) json.RawMessage {
	b, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("extension: record %T does not encode: %v", record, err))
	}
	return b
}
