//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it is sent, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// change is one change with its time, so that the store can go back to an earlier one.
type change struct {
	item
	at time.Time
}

// metadataStore is a stand-in of the platform's metadata store: it serves its published
// calls, and can come back from a copy of an earlier time.
type metadataStore struct {
	rec *record

	mu      sync.Mutex
	era     int64
	base    int64    // revision before the first change
	changes []change // all changes so far, in order of their revision
	keys    map[string]item
	leases  map[int64]time.Time
	nextID  int64
	changed chan struct{} // closed and replaced at each change
	away    bool
	cut     chan struct{} // closed and replaced when the store goes away
	conns   map[net.Conn]struct{}
}

func newMetadataStore(rec *record) *metadataStore {
	return &metadataStore{rec: rec, era: 1, base: 100, keys: make(map[string]item), leases: make(map[int64]time.Time),
		nextID: 77000, changed: make(chan struct{}), cut: make(chan struct{}), conns: make(map[net.Conn]struct{})}
}

// start serves the store on an address.
func (s *metadataStore) start(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.conns[c] = struct{}{}
		case http.StateClosed:
			delete(s.conns, c)
		}
	}}
	go func() { _ = server.Serve(l) }() // ends with the process
	return nil
}

func (s *metadataStore) revision() int64 { return s.base + int64(len(s.changes)) }

// apply makes one change. s.mu must be held.
func (s *metadataStore) apply(i item) int64 {
	i.Revision = s.revision() + 1
	i.Created = i.Revision
	if old, ok := s.keys[i.Key]; ok {
		i.Created = old.Created
	}
	s.changes = append(s.changes, change{i, time.Now()})
	if i.Deleted {
		delete(s.keys, i.Key)
	} else {
		s.keys[i.Key] = i
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return i.Revision
}

// put writes a key as the operator does. The revision is the acknowledgement.
func (s *metadataStore) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(item{Key: key, Value: value})
}

// get returns the value of a key, nil if there is none.
func (s *metadataStore) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].Value
}

// drill takes the store away for a time, and brings it back from the copy that was made
// at a given time. It returns the keys of the operator that were lost, with their latest
// values: the operator writes them again.
func (s *metadataStore) drill(copyAt time.Time, away time.Duration) map[string][]byte {
	s.mu.Lock()
	s.away = true
	close(s.cut)
	s.cut = make(chan struct{})
	for c := range s.conns {
		_ = c.Close() // the clients see an end of the connection
	}
	last := s.revision()
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := 0
	for kept < len(s.changes) && !s.changes[kept].at.After(copyAt) {
		kept++
	}
	lost := make(map[string][]byte)
	for _, c := range s.changes[kept:] {
		if strings.HasPrefix(c.Key, "op/") {
			lost[c.Key] = c.Value
		}
	}
	s.changes = slices.Clip(s.changes[:kept])
	clear(s.keys)
	for _, c := range s.changes {
		if c.Deleted {
			delete(s.keys, c.Key)
		} else {
			s.keys[c.Key] = c.item
		}
	}
	clear(s.leases)
	s.era++
	s.away = false
	s.rec.log("store", "away for %d ms, back from a copy %d ms old: revision %d, was %d; Store-Era %d",
		away.Milliseconds(), time.Since(copyAt).Milliseconds(), s.revision(), last, s.era)
	return lost
}

// ServeHTTP implements http.Handler.
func (s *metadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	s.mu.Lock()
	away, cut := s.away, s.cut
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if err != nil || away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/kv-key":
		s.serveKey(w, q.Get("key"))
	case r.Method == http.MethodGet && r.URL.Path == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.Method == http.MethodGet && r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(min(wait, 30_000))*time.Millisecond, cut)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-txn":
		s.serveTransaction(w, r, body)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-lease":
		s.serveLease(w, body)
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.mu.Lock()
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		_, ok := s.leases[id]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, map[string]int64{"ttl_ms": 60_000})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) } // the client may have gone

func (s *metadataStore) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.keys[key]
	out := struct {
		item
		AsOf int64 `json:"as_of"`
	}{i, s.revision()}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, out)
}

func (s *metadataStore) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	out := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		AsOf    int64  `json:"as_of"`
	}{Items: []item{}, AsOf: s.revision()}
	for k, i := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			out.Items = append(out.Items, i)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, out)
}

func (s *metadataStore) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration, cut chan struct{}) {
	end := time.NewTimer(wait)
	defer end.Stop()
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	for {
		s.mu.Lock()
		if after > s.revision() || after < s.base {
			s.mu.Unlock()
			s.rec.log("store", "watch of %s after %d: 410", host, after)
			w.WriteHeader(http.StatusGone)
			return
		}
		out := struct {
			Events []item `json:"events"`
			AsOf   int64  `json:"as_of"`
		}{Events: []item{}, AsOf: s.revision()}
		for _, c := range s.changes[after-s.base:] {
			if strings.HasPrefix(c.Key, prefix) {
				out.Events = append(out.Events, c.item)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 {
			s.rec.log("store", "watch of %s after %d: %d events, as of %d", host, after, len(out.Events), out.AsOf)
			reply(w, out)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, out)
			return
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *metadataStore) serveTransaction(w http.ResponseWriter, r *http.Request, body []byte) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect_rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	conflict, items := false, []item{}
	for _, e := range t.Expect {
		i, ok := s.keys[e.Key]
		conflict = conflict || i.Revision != e.Revision
		if ok {
			items = append(items, i)
		}
	}
	if conflict {
		w.WriteHeader(http.StatusPreconditionFailed)
		reply(w, map[string]any{"items": items})
		return
	}
	for _, p := range t.Puts {
		rev := s.apply(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
		s.rec.log("store", "%s wrote %s at revision %d: %s", r.RemoteAddr, p.Key, rev, p.Value)
	}
	for _, k := range t.Remove {
		if _, ok := s.keys[k]; ok {
			s.apply(item{Key: k, Deleted: true})
		}
	}
	reply(w, map[string]int64{"revision": s.revision()})
}

func (s *metadataStore) serveLease(w http.ResponseWriter, body []byte) {
	var l struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &l) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = time.Now().Add(time.Duration(l.TTLMs) * time.Millisecond)
	s.mu.Unlock()
	reply(w, map[string]int64{"lease": id, "ttl_ms": l.TTLMs})
}
