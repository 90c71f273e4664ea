package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// A row of the store, as PROTOCOL.md shows it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (r *row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's metadata store.
type store struct {
	addr string
	rec  *recorder

	mu      sync.Mutex
	rows    map[rowID]row
	log     []row
	ver     uint64
	changed chan struct{}
	down    bool // answers 503: nothing was done
	began   time.Time
	// era is told in Store-Era; 0 is not told. lostTo is the newest version that the history lacks.
	era    uint64
	server *http.Server
}

// copied is a copy of the store at a moment.
type copied struct {
	at   time.Time
	rows map[rowID]row
	ver  uint64
}

func newStore(rec *recorder, addr string) (*store, error) {
	s := &store{addr: addr, rec: rec, rows: make(map[rowID]row), changed: make(chan struct{}), began: time.Now()}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	s.server = &http.Server{Handler: s.gate(mux)}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// gate refuses all calls while the store is down.
func (s *store) gate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			s.rec.note("store", "%s %s from %s: 503, the store is down", r.Method, r.URL.Path, host(r.RemoteAddr))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		if s.era > 0 {
			w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		}
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		h.ServeHTTP(w, r)
	})
}

func host(addr string) string {
	h, _, _ := net.SplitHostPort(addr)
	return h
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown makes the store refuse all calls, or serve them again. Waiting feeds end with 503.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// wake ends the wait of the feeds. s.mu is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: value, Ver: s.ver})
	s.wake()
}

func (s *store) apply(r row) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.log = append(s.log, r)
}

type txBody struct {
	Expected []row `json:"expectedRev"`
	Put      []row `json:"put"`
	Remove   []row `json:"remove"`
}

type rowsBody struct {
	Rows  []row  `json:"rows"`
	More  bool   `json:"hasMore"`
	Ver   uint64 `json:"ver"`
	NowMs int64  `json:"nowMs"`
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsBody{Rows: rows, Ver: s.ver, NowMs: 1 + time.Since(s.began).Milliseconds()})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body txBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(8 * time.Millisecond) // txMs
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.rows[e.id()].Ver != e.Ver {
			s.answer(w, http.StatusPreconditionFailed, s.current(body.Expected))
			return
		}
	}
	s.ver++
	for _, p := range body.Put {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		p.Ver = s.ver
		s.apply(p)
		s.rec.note("store", "rows-tx from %s: %s/%s = %q, ver %d", host(r.RemoteAddr), p.Table, p.Key, shown(p.Value), s.ver)
	}
	for _, d := range body.Remove {
		s.apply(row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.ver, Deleted: true})
	}
	s.wake()
	s.answer(w, http.StatusOK, nil)
}

func shown(v []byte) string { return string(v[:min(len(v), 80)]) }

func (s *store) current(of []row) []row {
	var all []row
	for _, e := range of {
		if r, ok := s.rows[e.id()]; ok {
			all = append(all, r)
		}
	}
	return all
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for id, each := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("target") == "" || id.key < q.Get("target")) {
			rows = append(rows, each)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.ver {
			w.WriteHeader(http.StatusGone) // a version that the store doesn't have
			s.mu.Unlock()
			return
		}
		var rows []row
		for _, each := range s.log {
			if each.Ver > after && each.Table == q.Get("table") {
				rows = append(rows, each)
			}
		}
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}
