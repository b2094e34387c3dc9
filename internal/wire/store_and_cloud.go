package wire

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"github.com/grebedock/grebedock/availability"
	"github.com/grebedock/grebedock/scheduler"
)

// Request is an HTTP request to the cloud or the state service.
type Request struct {
	Method, Path string
	Body         []byte
}

type kvBody struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
	Rev   uint64          `json:"mark"`
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

type stateBody struct {
	Rev       uint64   `json:"tide"`
	LeaseID   uint64   `json:"mooring"`
	More      bool     `json:"more"`
	Failed    []string `json:"failed"`
	KeyValues []kvBody `json:"items"`
	Events    []struct {
		Put    string          `json:"put"`
		Remove string          `json:"remove"`
		Value  json.RawMessage `json:"v"`
		Rev    uint64          `json:"mark"`
	} `json:"log"`
	kvBody
}

type leaseTTLBody struct {
	TTLMS int64 `json:"life_ms"`
}

// pageSize is how many keys are asked for at a time.
const pageSize = 500

// StoreRequest writes a request to the state service.
func StoreRequest(op scheduler.StoreOp) Request {
	switch op.Kind {
	case scheduler.StoreGet:
		return Request{Method: "GET", Path: "/keys/" + op.Key}
	case scheduler.StoreList:
		q := url.Values{"prefix": {op.Key}, "limit": {strconv.Itoa(pageSize)}}
		if op.StartAfter != "" {
			q.Set("from", op.StartAfter)
		}
		return Request{Method: "GET", Path: "/keys?" + q.Encode()}
	case scheduler.StoreWatch:
		q := url.Values{
			"prefix":  {op.Key},
			"from":    {strconv.FormatUint(op.Rev, 10)},
			"hold_ms": {strconv.FormatInt(op.DurationMS, 10)},
		}
		return Request{Method: "GET", Path: "/watch?" + q.Encode()}
	case scheduler.StoreGrantLease:
		return Request{Method: "POST", Path: "/holds", Body: mustEncode(leaseTTLBody{op.DurationMS})}
	case scheduler.StoreRenewLease:
		return Request{Method: "POST", Path: fmt.Sprintf("/holds/%d/extend", op.LeaseID)}
	}
	b := txnBody{Preconditions: []preconditionBody{}}
	for _, g := range op.Preconditions {
		b.Preconditions = append(b.Preconditions, preconditionBody(g))
	}
	for _, c := range op.Changes {
		if c.Value == nil {
			b.Changes = append(b.Changes, changeBody{Remove: c.Key})
		} else {
			b.Changes = append(b.Changes, changeBody{Put: c.Key, Value: c.Value, LeaseID: c.LeaseID})
		}
	}
	return Request{Method: "POST", Path: "/txn", Body: mustEncode(b)}
}

// ParseStoreResult reads the state service's answer. The body must outlive it.
func ParseStoreResult(op scheduler.StoreOp, status int, body []byte) scheduler.StoreResult {
	r := scheduler.StoreResult{Outcome: scheduler.Unknown}
	var b stateBody
	if status == 200 || status == 404 || status == 409 {
		if err := decode(body, &b); err != nil {
			return r
		}
	}
	r.Rev, r.LeaseID, r.More, r.FailedKeys = b.Rev, b.LeaseID, b.More, b.Failed
	switch status {
	case 200:
		r.Outcome = scheduler.OK
		if op.Kind == scheduler.StoreGet {
			r.KVs = []scheduler.KeyValue{{Key: b.Key, Value: b.Value, Rev: b.kvBody.Rev}}
		}
		for _, it := range b.KeyValues {
			r.KVs = append(r.KVs, scheduler.KeyValue(it))
		}
		for _, e := range b.Events {
			if e.Remove != "" {
				r.KVs = append(r.KVs, scheduler.KeyValue{Key: e.Remove, Rev: e.Rev})
			} else {
				r.KVs = append(r.KVs, scheduler.KeyValue{Key: e.Put, Value: e.Value, Rev: e.Rev})
			}
		}
	case 404:
		r.Outcome = scheduler.NotFound
	case 409:
		r.Outcome = scheduler.Conflict
	case 410:
		r.Outcome = scheduler.Gone
	case 400:
		// No such hold, or a request that we should not have made: either
		// way it was not executed.
		r.Outcome = scheduler.Gone
	case 429:
		r.Outcome = scheduler.Throttled
	case 503:
		r.Outcome = scheduler.Refused
	}
	return r
}

type catalogBody struct {
	Types []struct {
		Name      string   `json:"sku"`
		CPUs      float64  `json:"cpus"`
		GPUs      float64  `json:"cards"`
		MemoryGB  float64  `json:"memory_gb"`
		CacheGB   float64  `json:"local_gb"`
		FetchGBps float64  `json:"pull_gb_per_s"`
		Price     float64  `json:"hourly"`
		SpotPrice float64  `json:"market_price"`
		BootS     float64  `json:"ready_s"`
		Zones     []string `json:"marshes"`
	} `json:"hulls"`
}

type provisionBody struct {
	Request string `json:"charter"`
	Type    string `json:"hull"`
	Zone    string `json:"marsh"`
	Spot    bool   `json:"driftwood"`
	Count   int    `json:"how_many"`
}

type machineIDsBody struct {
	Machines []string `json:"berths"`
}

type instanceListBody struct {
	Machines []struct {
		ID    string  `json:"ref"`
		Addr  string  `json:"addr"`
		Type  string  `json:"hull"`
		Zone  string  `json:"marsh"`
		Spot  bool    `json:"driftwood"`
		State string  `json:"stance"`
		AgeS  float64 `json:"held_s"`
	} `json:"berths"`
	More bool `json:"more"`
}

type errorBody struct {
	Error string `json:"error"`
}

// CloudRequest writes a request to the cloud.
func CloudRequest(op scheduler.CloudOp) Request {
	switch op.Kind {
	case scheduler.CloudCatalog:
		return Request{Method: "GET", Path: "/catalog"}
	case scheduler.CloudList:
		q := url.Values{"limit": {"500"}}
		if op.StartAfter != "" {
			q.Set("from", op.StartAfter)
		}
		return Request{Method: "GET", Path: "/rentals?" + q.Encode()}
	case scheduler.CloudProvision:
		return Request{
			Method: "POST",
			Path:   "/rentals",
			Body:   mustEncode(provisionBody{op.IdempotencyKey, op.Type, op.Zone, op.Spot, op.Count}),
		}
	}
	return Request{Method: "POST", Path: "/rentals/release", Body: mustEncode(machineIDsBody{op.Machines})}
}

// ParseCloudResult reads the cloud's answer.
func ParseCloudResult(op scheduler.CloudOp, status int, body []byte) scheduler.CloudResult {
	r := scheduler.CloudResult{Outcome: scheduler.Unknown}
	switch status {
	case 200:
	case 503:
		var e errorBody
		r.Outcome = scheduler.Refused
		if decode(body, &e) == nil && e.Error == "no capacity" {
			r.Outcome = scheduler.NotFound
		}
		return r
	case 0:
		return r
	default:
		r.Outcome = scheduler.Refused
		return r
	}
	var err error
	switch op.Kind {
	case scheduler.CloudCatalog:
		var b catalogBody
		err = decode(body, &b)
		for _, t := range b.Types {
			r.Types = append(r.Types, scheduler.MachineType{Name: t.Name,
				Resources:      availability.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, DiskGB: t.CacheGB},
				ImageFetchGBps: t.FetchGBps, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: t.Zones})
		}
	case scheduler.CloudList:
		var b instanceListBody
		err = decode(body, &b)
		r.More = b.More
		for _, l := range b.Machines {
			r.List = append(r.List, scheduler.CloudMachine{ID: l.ID, Addr: l.Addr, Type: l.Type, Zone: l.Zone, Spot: l.Spot,
				State: translate(map[string]string{"starting": "booting"}, l.State), AgeS: l.AgeS})
		}
	case scheduler.CloudProvision:
		var b machineIDsBody
		err = decode(body, &b)
		r.Machines = b.Machines
	}
	if err == nil {
		r.Outcome = scheduler.OK
	}
	return r
}
