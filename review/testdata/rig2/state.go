package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService follows the section "Controller nodes -> state service" of the protocol. Each node has
// an address of its own, so that the service can refuse one node alone.
type stateService struct {
	rig *rig

	mu      sync.Mutex
	changed *sync.Cond
	tide    uint64
	keys    map[string]*record
	log     []event
	holds   map[uint64]*hold
	lastID  uint64
	refused map[string]bool // by node; the node "*" stands for an outage

	// afterExtend is called after a lease of a node was renewed.
	afterExtend func(node string)
	// answerDelay returns by how much the answer to a read that was carried out is late.
	answerDelay func(node, key string) time.Duration
	// delayTxn returns by how much a transaction is carried out late, without an answer.
	delayTxn func(node string) time.Duration
	// loseAnswer reports whether the answer to a transaction that was carried out is lost.
	loseAnswer func(node string, keys []string) bool
}

type record struct {
	value   json.RawMessage
	mark    uint64
	mooring uint64
}

type event struct {
	key   string
	value json.RawMessage
	mark  uint64
}

type hold struct {
	life time.Duration
	ends time.Time
}

func newStateService(r *rig) *stateService {
	s := &stateService{
		rig:     r,
		keys:    map[string]*record{},
		holds:   map[uint64]*hold{},
		refused: map[string]bool{},
	}
	s.changed = sync.NewCond(&s.mu)
	go s.tick()
	return s
}

// tick ends leases and wakes watches.
func (s *stateService) tick() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, h := range s.holds {
			if s.refused["*"] || now.Before(h.ends) {
				continue
			}
			delete(s.holds, id)
			for k, rec := range s.keys {
				if rec.mooring == id {
					s.tide++
					s.remove(k)
				}
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

func (s *stateService) remove(k string) {
	if s.keys[k] != nil {
		delete(s.keys, k)
		s.log = append(s.log, event{k, nil, s.tide})
	}
}

// refuse starts or ends the refusal of a node.
func (s *stateService) refuse(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = on
	if node == "*" && !on {
		for _, h := range s.holds {
			h.ends = time.Now().Add(h.life)
		}
	}
}

func (s *stateService) isRefused(node string) bool { return s.refused[node] || s.refused["*"] }

// value returns the value of a key.
func (s *stateService) value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec := s.keys[key]; rec != nil {
		return rec.value
	}
	return nil
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type object = map[string]any

func (s *stateService) handler(node string) http.Handler {
	mux := http.NewServeMux()
	serve := func(f func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			refused := s.isRefused(node)
			s.mu.Unlock()
			if refused {
				reply(w, 503, object{"error": "trouble"})
				return
			}
			time.Sleep(3 * time.Millisecond)
			f(w, r)
		}
	}
	mux.HandleFunc("GET /keys", serve(s.list))
	mux.HandleFunc("GET /keys/", serve(func(w http.ResponseWriter, r *http.Request) { s.get(node, w, r) }))
	mux.HandleFunc("POST /txn", serve(func(w http.ResponseWriter, r *http.Request) { s.txn(node, w, r) }))
	mux.HandleFunc("POST /holds", serve(s.grant))
	mux.HandleFunc("POST /holds/{id}/extend", serve(func(w http.ResponseWriter, r *http.Request) { s.extend(node, w, r) }))
	mux.HandleFunc("GET /watch", serve(func(w http.ResponseWriter, r *http.Request) { s.watch(node, w, r) }))
	return mux
}

func (s *stateService) get(node string, w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/keys/")
	s.mu.Lock()
	rec, tide := s.keys[key], s.tide
	var body object
	if rec != nil {
		body = object{"k": key, "v": rec.value, "mark": rec.mark, "mooring": rec.mooring}
	}
	delay := time.Duration(0)
	if s.answerDelay != nil {
		delay = s.answerDelay(node, key)
	}
	s.mu.Unlock()
	time.Sleep(delay)
	if body == nil {
		reply(w, 404, object{"tide": tide})
		return
	}
	reply(w, 200, body)
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	prefix, from := r.URL.Query().Get("prefix"), r.URL.Query().Get("from")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit < 1 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > from {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	more := len(names) > limit
	names = names[:min(limit, len(names))]
	items := []object{}
	for _, k := range names {
		items = append(items, object{"k": k, "v": s.keys[k].value, "mark": s.keys[k].mark})
	}
	tide := s.tide
	s.mu.Unlock()
	reply(w, 200, object{"items": items, "more": more, "tide": tide})
}

func (s *stateService) txn(node string, w http.ResponseWriter, r *http.Request) {
	var b struct {
		Guards []struct {
			K    string
			Mark uint64
		}
		Then []struct {
			Put, Remove string
			V           json.RawMessage
			Mooring     uint64
		}
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	s.mu.Lock()
	if s.delayTxn != nil {
		if d := s.delayTxn(node); d > 0 {
			s.mu.Unlock()
			go hijackAndHold(w, 3*time.Second)
			time.Sleep(d)
			s.mu.Lock()
		}
	}
	for _, c := range b.Then {
		if c.Put != "" && c.Mooring != 0 && s.holds[c.Mooring] == nil {
			s.mu.Unlock()
			reply(w, 400, object{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, g := range b.Guards {
		mark := uint64(0)
		if rec := s.keys[g.K]; rec != nil {
			mark = rec.mark
		}
		if mark != g.Mark {
			failed = append(failed, g.K)
		}
	}
	if len(failed) > 0 {
		tide := s.tide
		s.mu.Unlock()
		reply(w, 409, object{"failed": failed, "tide": tide})
		return
	}
	var keys []string
	if len(b.Then) > 0 {
		s.tide++
	}
	for _, c := range b.Then {
		if c.Remove != "" {
			s.remove(c.Remove)
			keys = append(keys, c.Remove)
			continue
		}
		s.keys[c.Put] = &record{c.V, s.tide, c.Mooring}
		s.log = append(s.log, event{c.Put, c.V, s.tide})
		keys = append(keys, c.Put)
	}
	tide := s.tide
	lose := s.loseAnswer != nil && s.loseAnswer(node, keys)
	s.changed.Broadcast()
	s.mu.Unlock()
	if lose {
		hijackAndHold(w, 3*time.Second)
		return
	}
	reply(w, 200, object{"tide": tide})
}

// hijackAndHold leaves a request without an answer and resets its connection later.
func hijackAndHold(w http.ResponseWriter, d time.Duration) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	time.Sleep(d)
	_ = conn.Close()
}

func (s *stateService) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		LifeMS int64 `json:"life_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.LifeMS < 100 || b.LifeMS > 600_000 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	s.mu.Lock()
	s.lastID++
	life := time.Duration(b.LifeMS) * time.Millisecond
	id := s.lastID
	s.holds[id] = &hold{life, time.Now().Add(life)}
	s.mu.Unlock()
	reply(w, 200, object{"mooring": id})
}

func (s *stateService) extend(node string, w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	h := s.holds[id]
	if h != nil {
		h.ends = time.Now().Add(h.life)
	}
	after := s.afterExtend
	s.mu.Unlock()
	if h == nil {
		reply(w, 404, object{})
		return
	}
	reply(w, 200, object{"mooring": id})
	if after != nil {
		after(node)
	}
}

func (s *stateService) watch(node string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	holdMS, _ := strconv.Atoi(q.Get("hold_ms"))
	ends := time.Now().Add(time.Duration(min(holdMS, 60_000)) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		changes := []object{}
		for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].mark > from }); i < len(s.log); i++ {
			e := s.log[i]
			switch {
			case !strings.HasPrefix(e.key, q.Get("prefix")):
			case e.value == nil:
				changes = append(changes, object{"remove": e.key, "mark": e.mark})
			default:
				changes = append(changes, object{"put": e.key, "v": e.value, "mark": e.mark})
			}
		}
		// An open watch waits while its node is refused.
		if !s.isRefused(node) && (len(changes) > 0 || !time.Now().Before(ends)) {
			tide := s.tide
			s.mu.Unlock()
			reply(w, 200, object{"tide": tide, "log": changes})
			s.mu.Lock()
			return
		}
		if r.Context().Err() != nil {
			return
		}
		s.changed.Wait()
	}
}
