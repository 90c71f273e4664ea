package rig2

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in of the platform's metadata store: rows, transactions and the feed.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[string]*row
	history []row
	changed chan struct{}
	start   time.Time
	addr    string
	down    bool // calls are answered 503
}

// row is one row, as in the store's answers and in transactions.
type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

func newStore() (*store, error) {
	s := &store{ver: 1, rows: map[string]*row{}, changed: make(chan struct{}), start: time.Now()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// id names a row.
func id(r *row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: value})
	s.wake()
}

// setDown makes the store answer all calls with 503, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// set stores a row with the newest version.
func (s *store) set(r row) {
	v := s.ver
	r.Ver = &v
	s.rows[id(&r)] = &r
	s.history = append(s.history, r)
}

// wake ends the waits for changes.
func (s *store) wake() { close(s.changed); s.changed = make(chan struct{}) }

// answer sends rows. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, ver uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": false, "ver": ver, "nowMs": 1000 + time.Since(s.start).Milliseconds()})
}

// ServeHTTP answers the calls that the platform's pages describe.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/rows-get":
		var out []row
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("target") == "" || x.Key < q.Get("target")) {
				out = append(out, *x)
			}
		}
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
		s.answer(w, 200, out, s.ver)
	case "/api/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		for {
			var out []row
			for _, x := range s.history {
				if x.Table == q.Get("table") && *x.Ver > after {
					out = append(out, x)
				}
			}
			if len(out) > 0 || wait == 0 {
				s.answer(w, 200, out, s.ver)
				return
			}
			c := s.changed
			s.mu.Unlock()
			select {
			case <-c:
			case <-end:
				wait = 0
			case <-r.Context().Done():
				wait = 0
			}
			s.mu.Lock()
		}
	case "/api/rows-tx":
		var tx struct{ ExpectedRev, Put, Remove []row }
		if json.NewDecoder(r.Body).Decode(&tx) != nil {
			w.WriteHeader(400)
			return
		}
		var bad []row
		for _, e := range tx.ExpectedRev {
			var have uint64
			if x := s.rows[id(&e)]; x != nil {
				have = *x.Ver
				bad = append(bad, *x)
			}
			if e.Ver == nil || *e.Ver != have {
				s.answer(w, 412, bad, s.ver)
				return
			}
		}
		for _, p := range append(tx.Put, tx.Remove...) {
			if p.Table == "op" || p.Table == "servers" {
				w.WriteHeader(403)
				return
			}
		}
		s.ver++
		for _, p := range tx.Put {
			s.set(p)
		}
		for _, p := range tx.Remove {
			p.Deleted = true
			s.set(p)
			delete(s.rows, id(&p))
		}
		s.wake()
		s.answer(w, 200, nil, s.ver)
	default:
		if strings.HasPrefix(r.URL.Path, "/api/") {
			w.WriteHeader(404)
		}
	}
}

// configuration returns one version of the operator's configuration. A route is name, prefix, kind, timeout in ms, service and attempts.
func configuration(version int, routes [][]any, services ...string) []byte {
	var rows, offered [][]any
	for _, r := range routes {
		rows = append(rows, []any{r[0], "a.example", r[1], r[2], r[3], 1000, 1, r[4], r[5]})
	}
	for _, name := range services {
		offered = append(offered, []any{name, "/health", 110})
	}
	text, _ := json.Marshal(map[string]any{
		"version": "r" + strconv.Itoa(version),
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "prefix", "routeType", "timeoutMs", "targetLatencyMs", "priority", "service", "attempts"},
			"rows":    rows,
		},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConnections"}, "rows": offered},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return text
}
