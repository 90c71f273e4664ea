package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a client.
type sent struct {
	id      string
	machine string
	method  string
	at      time.Time
	key     string
	status  int // 0 without an answer
	ended   time.Time
}

// clients send requests and keep what became of them.
type clients struct {
	rec  *recorder
	mu   sync.Mutex
	all  map[string]*sent
	next atomic.Uint64
}

func newClients(rec *recorder) *clients { return &clients{rec: rec, all: make(map[string]*sent)} }

func (c *clients) taken() map[string]sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]sent)
	for id, s := range c.all {
		all[id] = *s
	}
	return all
}

// load sends requests of one kind to a machine at a steady rate until ctx ends.
func (c *clients) load(ctx context.Context, m *machine, method, hostname, path, key string, perSecond float64) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     4 * time.Second,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 4 * time.Second}
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			go c.one(client, m, method, hostname, path, key)
		}
	}
}

// one sends one request.
func (c *clients) one(client *http.Client, m *machine, method, hostname, path, key string) {
	id := fmt.Sprintf("%s-%06d", m.name, c.next.Add(1))
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	req, err := http.NewRequest(method, "http://"+m.at(portCallers)+path+id, body)
	if err != nil {
		panic(err)
	}
	req.Host = hostname
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "4000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	s := &sent{id: id, machine: m.name, method: method, at: time.Now(), key: key}
	c.mu.Lock()
	c.all[id] = s
	c.mu.Unlock()
	resp, err := client.Do(req)
	status, note := 0, "no answer"
	if err == nil {
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, note = resp.StatusCode, fmt.Sprintf("%d %q", resp.StatusCode, b)
	}
	c.mu.Lock()
	s.status, s.ended = status, time.Now()
	c.mu.Unlock()
	c.rec.note(m.name, "client sent %s %s%s %s at %.3f: %s", method, hostname, path, id, s.at.Sub(c.rec.began).Seconds(), note)
}
