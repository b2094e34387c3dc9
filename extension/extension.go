// Package extension is the base of state machines that extend the scheduler without being part of its core:
// an extension keeps records in the state service under a shard's claim, and submits, queries and cancels
// jobs as a user does.
//
// An extension embeds a Base, which owns the requests in flight: it numbers them, collects them until the
// caller takes them, and passes each response once to the callback that waits for it. It has no input or
// output of its own. It assumes that the caller passes the time with each input, takes the Outputs after it,
// calls from one goroutine at a time, and passes a response for every request, if only one of unknown
// outcome: a Base does not repeat a request and has no timeouts. It promises that a callback runs once at
// most: a response to a request that is not in flight (duplicated, or of an earlier process) is ignored.
package extension

import (
	"encoding/json"
	"fmt"
	"hash/fnv"

	"github.com/grebedock/grebedock/scheduler"
)

// CoreRequest is a request to the scheduler's core, by the extension's own number.
type CoreRequest struct {
	ID          uint64
	UserRequest scheduler.UserRequest
}

// Request is a request of an extension's own kind: to whatever it needs beside the state service and the core.
type Request[Q any] struct {
	ID   uint64
	Body Q
}

// Outputs is what an extension wants done. Q is its own kind of request, A its response to users, by the
// number that the caller gave with the user's request.
type Outputs[Q, A any] struct {
	Store     []scheduler.StoreOp
	Core      []CoreRequest
	Requests  []Request[Q]
	Responses map[uint64]A
	Logs      []scheduler.LogLine
}

// Base keeps the requests of an extension that are in flight and collects its outputs: requests Q of its own
// kind with results R, and responses A to users. The zero value is ready for use.
type Base[Q, R, A any] struct {
	Now     scheduler.Now // of the last input
	outputs Outputs[Q, A]
	lastID  uint64

	storeCallbacks   callbacks[scheduler.StoreResult]
	coreCallbacks    callbacks[scheduler.UserResponse]
	requestCallbacks callbacks[R]
}

// Take returns the outputs of the inputs since the last call.
func (b *Base[Q, R, A]) Take() Outputs[Q, A] {
	outputs := b.outputs
	b.outputs = Outputs[Q, A]{}
	return outputs
}

// Log writes a line at level Info. The message is fixed, values are attributes.
func (b *Base[Q, R, A]) Log(message string, args ...any) {
	b.outputs.Logs = append(b.outputs.Logs, scheduler.LogLine{Level: scheduler.Info, Message: message, Args: args})
}

// Respond sends the response to a user's request.
func (b *Base[Q, R, A]) Respond(id uint64, response A) {
	if b.outputs.Responses == nil {
		b.outputs.Responses = map[uint64]A{}
	}
	b.outputs.Responses[id] = response
}

// SendStore sends a request to the state service.
func (b *Base[Q, R, A]) SendStore(op scheduler.StoreOp, onResult func(scheduler.StoreResult)) {
	op.ID = b.nextID()
	b.storeCallbacks.add(op.ID, onResult)
	b.outputs.Store = append(b.outputs.Store, op)
}

// SendCore sends a request to the scheduler's core.
func (b *Base[Q, R, A]) SendCore(request scheduler.UserRequest, onResult func(scheduler.UserResponse)) {
	id := b.nextID()
	b.coreCallbacks.add(id, onResult)
	b.outputs.Core = append(b.outputs.Core, CoreRequest{id, request})
}

// SendRequest sends a request of the extension's own kind.
func (b *Base[Q, R, A]) SendRequest(body Q, onResult func(R)) {
	id := b.nextID()
	b.requestCallbacks.add(id, onResult)
	b.outputs.Requests = append(b.outputs.Requests, Request[Q]{id, body})
}

// Get reads one record. ok is false where the state service gave no usable response; a record that does not
// exist has no Value, and ok is true.
func (b *Base[Q, R, A]) Get(urgency scheduler.Urgency, key string, onResult func(item scheduler.KeyValue, ok bool)) {
	op := scheduler.StoreOp{Kind: scheduler.StoreGet, Urgency: urgency, Key: key}
	b.SendStore(op, func(r scheduler.StoreResult) {
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

// List reads all records with a prefix, page by page. It ends early, without a call of onDone, when onPage
// returns false; otherwise onDone reports whether all records were read.
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
	prefix, after string,
	onPage func([]scheduler.KeyValue) bool,
	onDone func(ok bool),
) {
	op := scheduler.StoreOp{Kind: scheduler.StoreList, Urgency: urgency, Key: prefix, StartAfter: after}
	b.SendStore(op, func(r scheduler.StoreResult) {
		switch {
		case r.Outcome != scheduler.OK:
			onDone(false)
		case !onPage(r.KVs):
		case r.More && len(r.KVs) > 0:
			b.listFrom(urgency, prefix, r.KVs[len(r.KVs)-1].Key, onPage, onDone)
		default:
			onDone(true)
		}
	})
}

// StoreDone takes the response of the state service to a request.
func (b *Base[Q, R, A]) StoreDone(now scheduler.Now, id uint64, result scheduler.StoreResult) {
	b.Now = now
	b.storeCallbacks.resolve(id, result)
}

// CoreDone takes the core's response to a request.
func (b *Base[Q, R, A]) CoreDone(now scheduler.Now, id uint64, response scheduler.UserResponse) {
	b.Now = now
	b.coreCallbacks.resolve(id, response)
}

// RequestDone takes the result of a request of the extension's own kind.
func (b *Base[Q, R, A]) RequestDone(now scheduler.Now, id uint64, result R) {
	b.Now = now
	b.requestCallbacks.resolve(id, result)
}

// nextID returns a number that no other request of the extension has.
func (b *Base[Q, R, A]) nextID() uint64 {
	b.lastID++
	return b.lastID
}

// callbacks are what waits for responses, by the request's number.
type callbacks[T any] map[uint64]func(T)

func (c *callbacks[T]) add(id uint64, onResult func(T)) {
	if *c == nil {
		*c = callbacks[T]{}
	}
	(*c)[id] = onResult
}

// resolve passes a response to the callback that waits for it, once.
func (c callbacks[T]) resolve(id uint64, result T) {
	if onResult := c[id]; onResult != nil {
		delete(c, id)
		onResult(result)
	}
}

// ShardOf returns the shard, among shards, that owns what has an ID: the same on all members that know the
// same shards. shards must not be empty.
func ShardOf(shards []string, id string) string {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return shards[int(hash.Sum32()%uint32(len(shards)))]
}

// Encode returns a record's JSON. It panics where the type has none, which is a bug of the caller.
func Encode(record any) json.RawMessage {
	b, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("extension: record %T does not encode: %v", record, err))
	}
	return b
}
