package wire

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/grebedock/grebedock/scheduler"
)

type kvBody struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
	Rev   uint64          `json:"mark"`
}

// eventBody is a change that a watch delivers: a put or a removal of a key.
type eventBody struct {
	Put    string          `json:"put"`
	Remove string          `json:"remove"`
	Value  json.RawMessage `json:"v"`
	Rev    uint64          `json:"mark"`
}

type preconditionBody struct {
	Key      string `json:"k"`
	Revision uint64 `json:"mark"`
}

type changeBody struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	LeaseID uint64          `json:"mooring,omitempty"`
	Remove  string          `json:"remove,omitempty"`
}

type txnBody struct {
	Preconditions []preconditionBody `json:"guards"`
	Changes       []changeBody       `json:"then,omitempty"`
}

type leaseTTLBody struct {
	TTLMS int64 `json:"life_ms"`
}

// stateBody is any response of the state service. The embedded key is the
// response to a get, and its Rev is the key's revision; the outer Rev is the
// store's.
type stateBody struct {
	Rev       uint64      `json:"tide"`
	LeaseID   uint64      `json:"mooring"`
	More      bool        `json:"more"`
	Failed    []string    `json:"failed"`
	KeyValues []kvBody    `json:"items"`
	Events    []eventBody `json:"log"`
	kvBody
}

// StoreRequest encodes a request to the state service.
func StoreRequest(op scheduler.StoreOp) Request {
	switch op.Kind {
	case scheduler.StoreGet:
		return Request{Method: http.MethodGet, Path: "/keys/" + op.Key}
	case scheduler.StoreList:
		query := url.Values{"prefix": {op.Key}}
		return Request{Method: http.MethodGet, Path: "/keys?" + pageQuery(query, op.StartAfter)}
	case scheduler.StoreWatch:
		query := url.Values{
			"prefix":  {op.Key},
			"from":    {strconv.FormatUint(op.Rev, 10)},
			"hold_ms": {strconv.FormatInt(op.DurationMS, 10)},
		}
		return Request{Method: http.MethodGet, Path: "/watch?" + query.Encode()}
	case scheduler.StoreGrantLease:
		return Request{Method: http.MethodPost, Path: "/holds", Body: mustEncode(leaseTTLBody{TTLMS: op.DurationMS})}
	case scheduler.StoreRenewLease:
		return Request{Method: http.MethodPost, Path: fmt.Sprintf("/holds/%d/extend", op.LeaseID)}
	}
	return Request{Method: http.MethodPost, Path: "/txn", Body: mustEncode(newTxnBody(op))}
}

// pageQuery adds the limits of a page to the query of a list.
func pageQuery(query url.Values, startAfter string) string {
	query.Set("limit", strconv.Itoa(pageSize))
	if startAfter != "" {
		query.Set("from", startAfter)
	}
	return query.Encode()
}

func newTxnBody(op scheduler.StoreOp) txnBody {
	b := txnBody{Preconditions: []preconditionBody{}}
	for _, p := range op.Preconditions {
		b.Preconditions = append(b.Preconditions, preconditionBody(p))
	}
	for _, c := range op.Changes {
		change := changeBody{Put: c.Key, Value: c.Value, LeaseID: c.LeaseID}
		if c.Value == nil {
			change = changeBody{Remove: c.Key}
		}
		b.Changes = append(b.Changes, change)
	}
	return b
}

// storeOutcome maps a status of the state service to the outcome of the request.
func storeOutcome(status int) scheduler.Outcome {
	switch status {
	case http.StatusOK:
		return scheduler.OK
	case http.StatusNotFound:
		return scheduler.NotFound
	case http.StatusConflict:
		return scheduler.Conflict
	case http.StatusGone, http.StatusBadRequest:
		// A bad request names an unknown lease or is invalid. In both cases it
		// was not executed.
		return scheduler.Gone
	case http.StatusTooManyRequests:
		return scheduler.Throttled
	case http.StatusServiceUnavailable:
		return scheduler.Refused
	}
	return scheduler.Unknown
}

// hasStateBody reports whether a response with this outcome has a body to parse.
func hasStateBody(outcome scheduler.Outcome) bool {
	return outcome == scheduler.OK || outcome == scheduler.NotFound || outcome == scheduler.Conflict
}

// ParseStoreResult parses the state service's response. The caller must not reuse
// the memory of body, since values may refer to it.
func ParseStoreResult(op scheduler.StoreOp, status int, body []byte) scheduler.StoreResult {
	outcome := storeOutcome(status)
	if !hasStateBody(outcome) {
		return scheduler.StoreResult{Outcome: outcome}
	}
	var b stateBody
	if err := decode(body, &b); err != nil {
		return scheduler.StoreResult{Outcome: scheduler.Unknown}
	}
	r := scheduler.StoreResult{Outcome: outcome, Rev: b.Rev, LeaseID: b.LeaseID, More: b.More, FailedKeys: b.Failed}
	if outcome == scheduler.OK {
		r.KVs = b.toKeyValues(op.Kind)
	}
	return r
}

// toKeyValues returns the keys in a response. A removed key has no value.
func (b *stateBody) toKeyValues(kind scheduler.StoreOpKind) []scheduler.KeyValue {
	var kvs []scheduler.KeyValue
	if kind == scheduler.StoreGet {
		kvs = append(kvs, scheduler.KeyValue(b.kvBody))
	}
	for _, kv := range b.KeyValues {
		kvs = append(kvs, scheduler.KeyValue(kv))
	}
	for _, e := range b.Events {
		kv := scheduler.KeyValue{Key: e.Put, Value: e.Value, Rev: e.Rev}
		if e.Remove != "" {
			kv = scheduler.KeyValue{Key: e.Remove, Rev: e.Rev}
		}
		kvs = append(kvs, kv)
	}
	return kvs
}
