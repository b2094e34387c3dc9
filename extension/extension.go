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
	ID      uint64
	Request scheduler.UserRequest
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
	Store    []scheduler.StoreOp
	Core     []CoreRequest
	Requests []Request[Q]
	Answers  map[uint64]A
	Logs     []scheduler.LogLine
}

// Base keeps what an extension asked and gathers what it wants done: requests Q
// of its own kind with results R, and answers A to users. The zero value is
// ready for use.
type Base[Q, R, A any] struct {
	Now  scheduler.Now // of the last input
	out  Outputs[Q, A]
	last uint64

	store    waiting[scheduler.StoreResult]
	core     waiting[scheduler.UserAnswer]
	requests waiting[R]
}

// Take returns what the inputs since the last call want done.
func (b *Base[Q, R, A]) Take() Outputs[Q, A] {
	o := b.out
	b.out = Outputs[Q, A]{}
	return o
}

// Log notes a line that operators may want to see.
func (b *Base[Q, R, A]) Log(text string, args ...any) {
	b.out.Logs = append(b.out.Logs, scheduler.LogLine{Level: scheduler.Info, Text: text, Args: args})
}

// Reply answers a user.
func (b *Base[Q, R, A]) Reply(id uint64, a A) {
	if b.out.Answers == nil {
		b.out.Answers = map[uint64]A{}
	}
	b.out.Answers[id] = a
}

// Ask asks the state service.
func (b *Base[Q, R, A]) Ask(op scheduler.StoreOp, done func(scheduler.StoreResult)) {
	op.ID = b.nextID()
	b.store.add(op.ID, done)
	b.out.Store = append(b.out.Store, op)
}

// AskCore asks the core.
func (b *Base[Q, R, A]) AskCore(r scheduler.UserRequest, done func(scheduler.UserAnswer)) {
	id := b.nextID()
	b.core.add(id, done)
	b.out.Core = append(b.out.Core, CoreRequest{id, r})
}

// Request makes a request of the extension's own kind.
func (b *Base[Q, R, A]) Request(q Q, done func(R)) {
	id := b.nextID()
	b.requests.add(id, done)
	b.out.Requests = append(b.out.Requests, Request[Q]{id, q})
}

// Get reads one record. ok is false where the state service did not say; a
// record that does not exist has no Value.
func (b *Base[Q, R, A]) Get(urgency scheduler.Urgency, key string, done func(item scheduler.Item, ok bool)) {
	b.Ask(scheduler.StoreOp{Kind: scheduler.StoreGet, Urgency: urgency, Key: key}, func(r scheduler.StoreResult) {
		switch {
		case r.Outcome == scheduler.OK && len(r.Items) == 1:
			done(r.Items[0], true)
		case r.Outcome == scheduler.NotFound:
			done(scheduler.Item{}, true)
		default:
			done(scheduler.Item{}, false)
		}
	})
}

// List reads all records with a prefix, page by page. It ends early, and without
// a word, once page returns false; else done tells whether all was read.
func (b *Base[Q, R, A]) List(urgency scheduler.Urgency, prefix string, page func([]scheduler.Item) bool, done func(ok bool)) {
	b.listFrom(urgency, prefix, "", page, done)
}

func (b *Base[Q, R, A]) listFrom(urgency scheduler.Urgency, prefix, from string, page func([]scheduler.Item) bool, done func(ok bool)) {
	b.Ask(scheduler.StoreOp{Kind: scheduler.StoreList, Urgency: urgency, Key: prefix, From: from}, func(r scheduler.StoreResult) {
		switch {
		case r.Outcome != scheduler.OK:
			done(false)
		case !page(r.Items):
		case r.More && len(r.Items) > 0:
			b.listFrom(urgency, prefix, r.Items[len(r.Items)-1].Key, page, done)
		default:
			done(true)
		}
	})
}

// StoreDone takes the answer of the state service to a request.
func (b *Base[Q, R, A]) StoreDone(now scheduler.Now, id uint64, r scheduler.StoreResult) {
	b.Now = now
	b.store.answer(id, r)
}

// CoreDone takes the core's answer to a request.
func (b *Base[Q, R, A]) CoreDone(now scheduler.Now, id uint64, r scheduler.UserAnswer) {
	b.Now = now
	b.core.answer(id, r)
}

// RequestDone takes the result of a request of the extension's own kind.
func (b *Base[Q, R, A]) RequestDone(now scheduler.Now, id uint64, r R) {
	b.Now = now
	b.requests.answer(id, r)
}

// nextID is a number that no other request of the extension has.
func (b *Base[Q, R, A]) nextID() uint64 {
	b.last++
	return b.last
}

// waiting has who waits for the answer to a request, by the request's number.
type waiting[T any] map[uint64]func(T)

func (w *waiting[T]) add(id uint64, done func(T)) {
	if *w == nil {
		*w = waiting[T]{}
	}
	(*w)[id] = done
}

// answer hands an answer to whoever waits for it, once.
func (w waiting[T]) answer(id uint64, v T) {
	if done := w[id]; done != nil {
		delete(w, id)
		done(v)
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
