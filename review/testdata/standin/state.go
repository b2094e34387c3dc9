package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The state service of the protocol page: keys with revisions, leases, conditional transactions and watches.
// All of it is held in memory; its answers are immediate.

type event struct {
	Put    string          `json:"put,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Mark   uint64          `json:"mark"`
}

type item struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"v"`
	Mark    uint64          `json:"mark"`
	Mooring uint64          `json:"mooring,omitempty"`
}

type hold struct {
	life    time.Duration
	expires time.Time
}

type stateService struct {
	mu       sync.Mutex
	tide     uint64
	keys     map[string]item
	holds    map[uint64]*hold
	nextHold uint64
	log      []event
	changed  chan struct{}
	limits   stateLimits
	requests bucket
	writes   bucket
	rejected int // requests answered with 429
}

type stateLimits struct {
	rps, writeRPS float64
	valueBytes    int
	txnOps        int
}

// bucket allows a rate per second with bursts of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

const keptChanges = 10_000

func newStateService(l stateLimits) *stateService {
	s := &stateService{
		keys:     map[string]item{},
		holds:    map[uint64]*hold{},
		changed:  make(chan struct{}),
		limits:   l,
		requests: bucket{rate: l.rps, tokens: l.rps, at: time.Now()},
		writes:   bucket{rate: l.writeRPS, tokens: l.writeRPS, at: time.Now()},
	}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

func (s *stateService) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.holds {
		if time.Now().After(h.expires) {
			s.endHold(id)
		}
	}
}

func (s *stateService) endHold(id uint64) {
	delete(s.holds, id)
	var gone []string
	for k, it := range s.keys {
		if it.Mooring == id {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	if len(gone) == 0 {
		return
	}
	s.tide++
	for _, k := range gone {
		delete(s.keys, k)
		s.append(event{Remove: k, Mark: s.tide})
	}
	s.wake()
}

func (s *stateService) append(e event) {
	s.log = append(s.log, e)
	if len(s.log) > keptChanges {
		s.log = s.log[len(s.log)-keptChanges:]
	}
}

func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	s.mu.Lock()
	if !s.requests.take(1) {
		s.rejected++
		s.mu.Unlock()
		reply(w, 429, map[string]any{"error": "rate"})
		return
	}
	path := r.URL.Path
	switch {
	case r.Method == "GET" && path == "/watch":
		s.watch(w, r) // unlocks
		return
	case r.Method == "GET" && path == "/keys":
		s.list(w, r)
	case r.Method == "GET" && strings.HasPrefix(path, "/keys/"):
		if it, ok := s.keys[strings.TrimPrefix(path, "/keys/")]; ok {
			reply(w, 200, it)
		} else {
			reply(w, 404, map[string]any{"tide": s.tide})
		}
	case r.Method == "POST" && path == "/txn":
		s.txn(w, body)
	case r.Method == "POST" && path == "/holds":
		var b struct {
			Life int64 `json:"life_ms"`
		}
		if json.Unmarshal(body, &b) != nil || b.Life < 100 || b.Life > 600_000 {
			reply(w, 400, map[string]any{"error": "malformed"})
			break
		}
		s.nextHold++
		life := time.Duration(b.Life) * time.Millisecond
		s.holds[s.nextHold] = &hold{life, time.Now().Add(life)}
		reply(w, 200, map[string]any{"mooring": s.nextHold})
	case strings.HasPrefix(path, "/holds/"):
		rest := strings.Split(strings.TrimPrefix(path, "/holds/"), "/")
		id, _ := strconv.ParseUint(rest[0], 10, 64)
		h := s.holds[id]
		switch {
		case h == nil:
			reply(w, 404, map[string]any{"tide": s.tide})
		case r.Method == "DELETE":
			s.endHold(id)
			reply(w, 200, map[string]any{"tide": s.tide})
		default:
			h.expires = time.Now().Add(h.life)
			reply(w, 200, map[string]any{"mooring": id})
		}
	default:
		reply(w, 400, map[string]any{"error": "malformed"})
	}
	s.mu.Unlock()
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, from := q.Get("prefix"), q.Get("from")
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > from {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	items, size, more := []item{}, 0, false
	for _, k := range names {
		it := s.keys[k]
		size += len(it.Value) + len(k) + 64
		if len(items) == limit || size > 500<<10 {
			more = true
			break
		}
		items = append(items, it)
	}
	reply(w, 200, map[string]any{"items": items, "more": more, "tide": s.tide})
}

type txnRequest struct {
	Guards []struct {
		Key  string `json:"k"`
		Mark uint64 `json:"mark"`
	} `json:"guards"`
	Then []struct {
		Put     string          `json:"put"`
		Remove  string          `json:"remove"`
		Value   json.RawMessage `json:"v"`
		Mooring uint64          `json:"mooring"`
	} `json:"then"`
}

func (s *stateService) txn(w http.ResponseWriter, body []byte) {
	var t txnRequest
	bad := func(text string) { reply(w, 400, map[string]any{"error": text}) }
	if len(body) > 64<<10 || json.Unmarshal(body, &t) != nil {
		bad("malformed")
		return
	}
	if len(t.Then) > s.limits.txnOps || len(t.Guards) > 4*s.limits.txnOps {
		bad("too many")
		return
	}
	for _, c := range t.Then {
		if len(c.Value) > s.limits.valueBytes {
			bad("value too large")
			return
		}
		if c.Mooring != 0 && s.holds[c.Mooring] == nil {
			bad("no such lease")
			return
		}
	}
	if len(t.Then) > 0 && !s.writes.take(float64(len(t.Then))) {
		s.rejected++
		reply(w, 429, map[string]any{"error": "rate"})
		return
	}
	failed := []string{}
	for _, g := range t.Guards {
		if s.keys[g.Key].Mark != g.Mark {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "tide": s.tide})
		return
	}
	if len(t.Then) > 0 {
		s.tide++
		for _, c := range t.Then {
			if c.Remove != "" {
				if _, ok := s.keys[c.Remove]; ok {
					delete(s.keys, c.Remove)
					s.append(event{Remove: c.Remove, Mark: s.tide})
				}
				continue
			}
			v := append(json.RawMessage(nil), bytes.TrimSpace(c.Value)...)
			s.keys[c.Put] = item{c.Put, v, s.tide, c.Mooring}
			s.append(event{Put: c.Put, Value: v, Mark: s.tide})
		}
		s.wake()
	}
	reply(w, 200, map[string]any{"tide": s.tide})
}

// watch answers once a key with the prefix has changed after the revision, or when the time runs out. It is
// called with the lock held and unlocks it.
func (s *stateService) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	holdMS, _ := strconv.Atoi(q.Get("hold_ms"))
	deadline := time.NewTimer(time.Duration(min(holdMS, 60_000)) * time.Millisecond)
	defer deadline.Stop()
	timedOut := holdMS == 0
	for {
		if len(s.log) == keptChanges && from < s.log[0].Mark {
			s.mu.Unlock()
			reply(w, 410, map[string]any{"tide": 0})
			return
		}
		found := []event{}
		at := sort.Search(len(s.log), func(i int) bool { return s.log[i].Mark > from })
		for _, e := range s.log[at:] {
			if strings.HasPrefix(e.Put+e.Remove, prefix) {
				found = append(found, e)
			}
		}
		if len(found) > 0 || timedOut {
			tide := s.tide
			s.mu.Unlock()
			reply(w, 200, map[string]any{"tide": tide, "log": found})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}

// value returns the value of a key, nil if it does not exist.
func (s *stateService) value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].Value
}
