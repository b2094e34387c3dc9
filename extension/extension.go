// Package extension is the base of state machines that extend the scheduler but are not part of its core. An
// extension keeps records in the state service, with preconditions on a shard's claim. It submits, queries
// and cancels jobs in the same way as a user.
//
// An extension embeds a Base, which manages the requests in flight: it assigns request IDs, collects requests
// until the caller takes them, and passes each response once to its callback. A Base performs no I/O. The
// caller must pass the time with each input, take the Outputs after it, and call from one goroutine at a
// time. The caller must also pass a response for every request, if necessary with an unknown outcome, since a
// Base neither retries requests nor has timeouts. A callback runs at most once: a response to a request that
// is not in flight (a duplicate, or a response to an earlier process) is ignored.
package extension

import (
	"encoding/json"
	"fmt"
	"hash/fnv"

	"github.com/grebedock/grebedock/scheduler"
)

// CoreRequest is a request to the scheduler's core. The extension assigns its ID.
type CoreRequest struct {
	ID          uint64
	UserRequest scheduler.UserRequest
}

// Request is a request of a kind that the extension defines, to a service other than the state service and the
// core.
type Request[Q any] struct {
	ID   uint64
	Body Q
}

// Outputs holds the requests, responses and log lines that an extension produced. Q is the extension's own kind
// of request. A is its response to users, keyed by the ID that the caller passed with the user's request.
type Outputs[Q, A any] struct {
	Store     []scheduler.StoreOp
	Core      []CoreRequest
	Requests  []Request[Q]
	Responses map[uint64]A
	Logs      []scheduler.LogLine
}

// Base tracks the requests of an extension that are in flight and collects its outputs: requests Q of the
// extension's own kind with results R, and responses A to users. The zero value is ready for use.
type Base[Q, R, A any] struct {
	Now     scheduler.Now // time of the last input
	outputs Outputs[Q, A]
	lastID  uint64

	storeCallbacks   callbacks[scheduler.StoreResult]
	coreCallbacks    callbacks[scheduler.UserResponse]
	requestCallbacks callbacks[R]
}

// Take returns the outputs collected since the last call.
func (b *Base[Q, R, A]) Take() Outputs[Q, A] {
	outputs := b.outputs
	b.outputs = Outputs[Q, A]{}
	return outputs
}

// Log adds a log line at level Info. The message must be constant; values go into attributes.
func (b *Base[Q, R, A]) Log(message string, args ...any) {
	b.outputs.Logs = append(b.outputs.Logs, scheduler.LogLine{Level: scheduler.Info, Message: message, Args: args})
}

// Respond adds the response to a user's request.
func (b *Base[Q, R, A]) Respond(id uint64, response A) {
	if b.outputs.Responses == nil {
		b.outputs.Responses = map[uint64]A{}
	}
	b.outputs.Responses[id] = response
}

// SendStore adds a request to the state service and calls onResult with its result.
func (b *Base[Q, R, A]) SendStore(op scheduler.StoreOp, onResult func(scheduler.StoreResult)) {
	op.ID = b.nextID()
	b.storeCallbacks.add(op.ID, onResult)
	b.outputs.Store = append(b.outputs.Store, op)
}

// SendCore adds a request to the scheduler's core and calls onResult with its response.
func (b *Base[Q, R, A]) SendCore(request scheduler.UserRequest, onResult func(scheduler.UserResponse)) {
	id := b.nextID()
	b.coreCallbacks.add(id, onResult)
	b.outputs.Core = append(b.outputs.Core, CoreRequest{id, request})
}

// SendRequest adds a request of the extension's own kind and calls onResult with its result.
func (b *Base[Q, R, A]) SendRequest(body Q, onResult func(R)) {
	id := b.nextID()
	b.requestCallbacks.add(id, onResult)
	b.outputs.Requests = append(b.outputs.Requests, Request[Q]{id, body})
}

// Get reads one record. ok is false if the state service returned no usable response. If the record does not
// exist, ok is true and the item has no Value.
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

// List reads all records with a prefix, page by page. If onPage returns false, List stops without a call of
// onDone. Otherwise it calls onDone, where ok reports whether all records were read.
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

// StoreDone passes the state service's response to the callback of a request.
func (b *Base[Q, R, A]) StoreDone(now scheduler.Now, id uint64, result scheduler.StoreResult) {
	b.Now = now
	b.storeCallbacks.resolve(id, result)
}

// CoreDone passes the core's response to the callback of a request.
func (b *Base[Q, R, A]) CoreDone(now scheduler.Now, id uint64, response scheduler.UserResponse) {
	b.Now = now
	b.coreCallbacks.resolve(id, response)
}

// RequestDone passes the result of a request of the extension's own kind to its callback.
func (b *Base[Q, R, A]) RequestDone(now scheduler.Now, id uint64, result R) {
	b.Now = now
	b.requestCallbacks.resolve(id, result)
}

// nextID returns an ID that is unique among all requests of the extension.
func (b *Base[Q, R, A]) nextID() uint64 {
	b.lastID++
	return b.lastID
}

// callbacks holds the callbacks of requests in flight, keyed by request ID.
type callbacks[T any] map[uint64]func(T)

func (c *callbacks[T]) add(id uint64, onResult func(T)) {
	if *c == nil {
		*c = callbacks[T]{}
	}
	(*c)[id] = onResult
}

// resolve removes the callback of a request and calls it with the result. It ignores an unknown ID.
func (c callbacks[T]) resolve(id uint64, result T) {
	if onResult := c[id]; onResult != nil {
		delete(c, id)
		onResult(result)
	}
}

// ShardOf returns the shard, among shards, that owns the object with an ID. The result is the same on all
// members that know the same shards in the same order. shards must not be empty.
func ShardOf(shards []string, id string) string {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return shards[int(hash.Sum32()%uint32(len(shards)))]
}

// Encode returns a record as JSON. It panics if the record cannot be encoded, which is a bug in the caller.
func Encode(record any) json.RawMessage {
	b, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("extension: cannot encode record %T: %v", record, err))
	}
	return b
}
