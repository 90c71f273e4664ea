package sidecar

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// heldPath begins the paths whose requests wait at the backend server.
const heldPath = "/status/held"

// first ends the path of a held request that ends before the others.
const first = "first"

// versionsFleet is a fleet whose backend servers hold some requests.
type versionsFleet struct {
	*fleet
	version int
	// gates are closed to let requests end: round -> chan struct{}, with those that end before
	// the others under a name of their own.
	gates sync.Map
}

// newVersionsFleet starts nodes whose backend servers have slots.
func newVersionsFleet(t *testing.T, nodes, slots int) *versionsFleet {
	f := &versionsFleet{fleet: newAdaptedFleet(t, nodes, func(s *Settings) {
		s.Quota = QuotaSettings{WindowSeconds: 1, Over: 0.2, Slack: 5}
		s.Zones = map[model.Zone]model.Region{"z0": "r", "z1": "r"}
	}), version: 1}
	for _, m := range f.nodes {
		m.backend.Answer, m.backend.Slots = f.answer, slots
	}
	f.beat()
	f.put(versionsBase())
	f.eventually("slots and quotas are known", func() bool {
		for _, m := range f.nodes {
			if m.node.gate.Load().Slots != slots || !f.within(m) {
				return false
			}
		}
		return true
	})
	return f
}

// within reports whether the quota lets some requests in that come together.
func (f *versionsFleet) within(m *site) bool {
	k := f.dial(m)
	for i := range 8 {
		k.ask(fmt.Sprintf("/status/quota-%d", i))
	}
	ok := true
	for range k.paths {
		resp, err := http.ReadResponse(k.br, nil)
		must.NoError(f.t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(f.t, err)
		ok = ok && resp.StatusCode == http.StatusOK
	}
	return ok
}

// answer holds some requests, and answers some of the others without a length.
func (f *versionsFleet) answer(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, heldPath) {
		round, which, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, heldPath), "-")
		if which == first {
			round += which
		}
		select {
		case <-f.gate(round):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	platformtest.Stamp(w)
	if strings.HasSuffix(r.URL.Path, "stream") {
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

func (f *versionsFleet) gate(round string) chan struct{} {
	g, _ := f.gates.LoadOrStore(round, make(chan struct{}))
	return g.(chan struct{})
}

// put brings a configuration into force on every node.
func (f *versionsFleet) put(c map[string]any) {
	f.version++
	c["version"] = fmt.Sprintf("r%d", f.version)
	body, err := json.Marshal(c)
	must.NoError(f.t, err)
	f.configure(body, f.version)
}

// kept is a caller's connection with the requests that wait for their answers on it.
type kept struct {
	f     *versionsFleet
	conn  net.Conn
	br    *bufio.Reader
	paths []string
}

func (f *versionsFleet) dial(m *site) *kept {
	c, err := net.Dial("tcp", m.node.set.Listen.Callers)
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	must.NoError(f.t, c.SetDeadline(time.Now().Add(time.Minute)))
	return &kept{f: f, conn: c, br: bufio.NewReader(c)}
}

func (k *kept) write(text string) {
	_, err := io.WriteString(k.conn, text)
	must.NoError(k.f.t, err)
}

// head returns the head of a request but for the empty line at its end.
func (k *kept) head(method, path string) string {
	k.paths = append(k.paths, path)
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: 60000\r\n",
		method, path, host, clinicKey, platformtest.HeaderRequestID, path, platformtest.HeaderWait)
}

func (k *kept) ask(paths ...string) {
	text := ""
	for _, path := range paths {
		text += k.head("GET", path) + "\r\n"
	}
	k.write(text)
}

// proceed reads that the body of a request is expected.
func (k *kept) proceed() {
	for _, want := range []string{"HTTP/1.1 100 Continue\r\n", "\r\n"} {
		line, err := k.br.ReadString('\n')
		must.NoError(k.f.t, err)
		must.Eq(k.f.t, want, line)
	}
}

// answers reads all answers in order.
func (k *kept) answers() { k.some(len(k.paths)) }

// some reads the next n answers in order.
func (k *kept) some(n int) {
	k.f.t.Helper()
	for _, path := range k.paths[:n] {
		resp, err := http.ReadResponse(k.br, nil)
		must.NoError(k.f.t, err, must.Sprint(path))
		body, err := io.ReadAll(resp.Body)
		must.NoError(k.f.t, err, must.Sprint(path))
		must.Eq(k.f.t, http.StatusOK, resp.StatusCode, must.Sprint(path))
		must.Eq(k.f.t, path, string(body))
		must.False(k.f.t, resp.Close, must.Sprint(path))
	}
	k.paths = k.paths[n:]
}

// use are connections in all the states that a change of the configuration may meet.
type use struct {
	waiting, ready, head, body, idle *kept
}

// begin brings connections into use.
func (f *versionsFleet) begin(name string) use {
	m := f.nodes[0]
	u := use{waiting: f.dial(m), ready: f.dial(m), head: f.dial(m), body: f.dial(m), idle: f.dial(m)}
	u.idle.ask("/status/" + name + "-before")
	u.idle.answers()
	u.waiting.ask(heldPath+name+"-"+first, heldPath+name+"-2", heldPath+name+"-3")
	u.ready.ask(heldPath+name+"-4", "/status/"+name+"-5", "/status/"+name+"-6-stream", "/status/"+name+"-7")
	u.head.write(u.head.head("GET", "/status/"+name+"-8"))
	u.body.write(u.body.head("POST", "/book/"+name+"-9") + "Expect: 100-continue\r\nContent-Length: 6\r\n\r\n")
	u.body.proceed()
	u.body.write("abc")
	f.eventually("requests are held and answers wait for their turn", func() bool { return f.count(name) == 8 })
	return u
}

// count returns how many requests of a round have reached backend servers.
func (f *versionsFleet) count(name string) int {
	n := 0
	for _, s := range f.seen() {
		if strings.Contains(s.Path, name+"-") {
			n++
		}
	}
	return n
}

// answerFirst lets a request end behind which others wait.
func (f *versionsFleet) answerFirst(u use, name string) {
	close(f.gate(name + first))
	u.waiting.some(1)
}

// answerHeld lets the requests at the backend servers end.
func (f *versionsFleet) answerHeld(u use, name string) {
	close(f.gate(name))
	u.waiting.answers()
	u.ready.answers()
}

// end completes the requests that are arriving, and looks whether any was cut.
func (f *versionsFleet) end(u use, name string, endsIdle bool) {
	u.head.write("\r\n")
	u.head.answers()
	u.body.write("def")
	u.body.answers()
	if !endsIdle {
		u.idle.ask("/status/" + name + "-after")
		u.idle.answers()
	}
	f.nothingCut()
}

func (f *versionsFleet) nothingCut() {
	f.t.Helper()
	for _, m := range f.nodes {
		for _, event := range []string{"event=request_cut", "event=answer_cut", "event=bytes_unread", "event=request_unreadable"} {
			must.StrNotContains(f.t, m.logs.String(), event)
		}
	}
}
