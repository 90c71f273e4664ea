package fleet

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/standin/backend"
	"github.com/jacinthgate/jacinthgate/internal/standin/older"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// The organisation that the older system handles at first.
const (
	olderOrganisation = "town-hall-obuda"
	olderHost         = "town-hall.rooms.example"
)

// olderHead is the head of the older system's answers, up to the length.
const olderHead = "HTTP/1.1 200 Fine\r\nx-older-system: Yes\r\nContent-type: application/json\r\n" +
	"A-first: 1\r\nContent-Length: "

// untouched sends two requests, in an order and spelling of headers that a
// proxy would change, over one connection, and checks that the older system got
// just these bytes and that its own bytes came back. It returns the last answer.
func untouched(t *testing.T, addr string) older.Answer {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(time.Now().Add(deadline)))
	r := bufio.NewReader(c)
	var a older.Answer
	for _, body := range []string{"hello", "again, and longer"} {
		sent := fmt.Sprintf("POST /rooms/%%41?b=2&a=1 HTTP/1.1\r\nx-ODD: b\r\nhost: %s\r\nAccept:  */*\r\nX-odd: a\r\nContent-length: %d\r\n\r\n%s",
			olderHost, len(body), body)
		_, err = io.WriteString(c, sent)
		must.NoError(t, err)
		head := make([]byte, len(olderHead))
		_, err = io.ReadFull(r, head)
		must.NoError(t, err)
		must.Eq(t, olderHead, string(head))
		var size int
		_, err = fmt.Fscanf(r, "%d\r\n\r\n", &size)
		must.NoError(t, err)
		raw := make([]byte, size)
		_, err = io.ReadFull(r, raw)
		must.NoError(t, err)
		must.NoError(t, json.Unmarshal(raw, &a))
		sum := sha256.Sum256([]byte(sent))
		must.Eq(t, hex.EncodeToString(sum[:]), a.Hash)
	}
	return a
}

// mover sends requests of an organisation that is being moved, each once, and notes
// which system answered.
type mover struct {
	f    *Fleet
	stop chan struct{}
	wait sync.WaitGroup
	mu   sync.Mutex
	// mesh and older hold the ids that either system answered; faults are the
	// requests without a whole answer.
	mesh, older, faults []string
}

func move(f *Fleet) *mover {
	v := &mover{f: f, stop: make(chan struct{})}
	for worker := range 6 {
		v.wait.Go(func() { v.work(worker) })
	}
	return v
}

func (v *mover) end() {
	close(v.stop)
	v.wait.Wait()
}

func (v *mover) work(worker int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: deadline}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-v.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		id := fmt.Sprintf("move-%d-%d", worker, i)
		system, err := v.send(client, v.f.Members[(worker+i)%len(v.f.Members)], id)
		v.mu.Lock()
		switch {
		case err != nil:
			v.faults = append(v.faults, id+": "+err.Error())
		case system == model.SystemMesh:
			v.mesh = append(v.mesh, id)
		default:
			v.older = append(v.older, id)
		}
		v.mu.Unlock()
	}
}

// send sends one request; its body keeps the client from sending it twice.
func (v *mover) send(client *http.Client, m *Member, id string) (model.System, error) {
	req, err := http.NewRequest(http.MethodGet, m.CallerURL()+"/rooms/"+id, io.NopCloser(strings.NewReader("")))
	if err != nil {
		return "", err
	}
	req.Host, req.ContentLength = olderHost, 0
	req.Header.Set(backend.HeaderRequestID, id)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "", err
	case resp.Header.Get("X-Older-System") == "Yes":
		return model.SystemOlder, nil
	case resp.Header.Get(outcome.HeaderOutcome) == string(outcome.Answered) && strings.Contains(string(raw), id):
		return model.SystemMesh, nil
	default:
		return "", fmt.Errorf("status %d, outcome %s, reason %s", resp.StatusCode,
			resp.Header.Get(outcome.HeaderOutcome), resp.Header.Get(outcome.HeaderReason))
	}
}

// handle lets a system handle the organisation, and returns the version.
func handle(t *testing.T, f *Fleet, docs model.Batch, by model.System, base uint64) uint64 {
	t.Helper()
	contract := *contractOf(docs, olderOrganisation)
	contract.HandledBy = by
	resp, err := f.Members[0].Operator().Apply(context.Background(), &operator.ApplyRequest{
		ChangeID: "to-" + string(by), Batch: model.Batch{Contracts: []*model.Contract{&contract}},
		Base: map[string]uint64{"contract/" + olderOrganisation: base},
	})
	must.NoError(t, err)
	inForce(t, f.Members[0], resp.Version)
	return resp.Version
}

// Requests of the older system pass byte for byte, before there is a
// configuration and under each fault; the nodes that return hold none yet. An
// organisation is moved to the mesh and back under load: nothing is lost or doubled.
func TestOlderSystemIsLeftAlone(t *testing.T) {
	f := start(t, hosts(6), relayed, func(c *Config) { c.Older = true })
	for _, m := range f.Members {
		untouched(t, m.CallerAddr())
	}
	docs := documents(t)
	version := apply(t, f.Members[0], "first", docs, nil).Version
	allAnswer(t, f)
	for _, fault := range faults {
		fault.begin(t, f)
		for i, m := range f.Members {
			if i != badNode { // it may be down or frozen
				untouched(t, m.CallerAddr())
			}
		}
		fault.end(t, f)
		untouched(t, f.Members[badNode].CallerAddr())
	}
	allAnswer(t, f)

	before := untouched(t, f.OlderAddr()).Request
	v := move(f)
	answered := func(ids *[]string, n int) {
		eventually(t, "answers of the system", func() bool {
			v.mu.Lock()
			defer v.mu.Unlock()
			return len(*ids) >= n
		})
	}
	answered(&v.older, 50)
	version = handle(t, f, docs, model.SystemMesh, version)
	answered(&v.mesh, 100)
	handle(t, f, docs, model.SystemOlder, version)
	time.Sleep(200 * time.Millisecond) // all nodes answer for the older system again
	v.end()
	must.SliceEmpty(t, v.faults, must.Sprint(v.faults))
	must.Eq(t, int64(len(v.older)), untouched(t, f.OlderAddr()).Request-before-2)
	ran := make(map[string]int)
	for _, m := range f.Members {
		for id, n := range runs(t, m).ByID {
			ran[id] += n
		}
	}
	for id, n := range ran {
		must.True(t, slices.Contains(v.mesh, id) && n == 1, must.Sprint(id, n))
	}
	must.MapLen(t, len(v.mesh), ran)
}
