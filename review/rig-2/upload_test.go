package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"
)

// The case "upload": clients send bookings with a long body. The server checks each for 1.2 s by its
// head alone (the longest work of such a request at tabla-mesh is 1.7 s), then reads the body. The
// machine of the clients gets SIGTERM shortly before. The control PAUSE sets another time.
const (
	uploads        = 4
	uploadBytes    = 360000
	uploadDeadline = 5 * time.Second
	sinceTerm      = 300 * time.Millisecond
)

// beforeBody is how long the server works on a request before it reads the body.
var beforeBody = 1200 * time.Millisecond

// upload judges LOST.
func upload(g *rig) int {
	if v := os.Getenv("PAUSE"); v != "" {
		beforeBody, _ = time.ParseDuration(v)
	}
	entry, err := g.add(1, "zone-a", "page")
	if err != nil {
		return g.fail(err)
	}
	target, err := g.add(2, "zone-b", "booking")
	if err != nil {
		return g.fail(err)
	}
	if _, err := g.serve(entry, "i-page", func(c call) bool { return c.answer("page") }); err != nil {
		return g.fail(err)
	}
	if _, err := g.serve(target, "i-booking", takeUpload); err != nil {
		return g.fail(err)
	}
	g.store.put("op", "config", configuration(1, [][]any{
		{"page", "/page/", "idempotent", 3000, "page", 2},
		{"booking", "/booking/", "non_idempotent", 5000, "booking", 2},
	}, "page", "booking"))
	if err := g.start(); err != nil {
		return g.fail(err)
	}
	planned := os.Getenv("TROUBLE") != "0"
	if planned {
		entry.signal(syscall.SIGTERM)
		g.rec.note("%s gets SIGTERM", entry.name)
		time.Sleep(sinceTerm)
	}
	lost := 0
	results := make(chan result, uploads)
	for i := range uploads {
		id := fmt.Sprintf("u%d", i)
		go func() {
			r := send(entry, id)
			g.rec.note("answer %s: %v; runs %d", id, r, g.rec.runs(id))
			results <- r
		}()
	}
	for range uploads {
		if r := <-results; r.status != 200 {
			lost++
		}
	}
	g.rec.note("requests broken off while their server was at work: %d", lost)
	fmt.Printf("broken off %d, planned work: %v\n", lost, planned)
	if planned && lost > 0 { // the rule speaks of such answers only around planned work
		return broken
	}
	return held
}

func takeUpload(c call) bool {
	time.Sleep(beforeBody)
	n, err := io.Copy(io.Discard, c.req.Body)
	c.server.rec.note("read %s: %d of %d bytes, %v", c.id, n, c.req.ContentLength, err)
	return err == nil && c.answer("booked")
}

func send(n *node, id string) result {
	c, err := dial(n, uploadDeadline+time.Second)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	if _, err := io.WriteString(c, head(http.MethodPost, "/booking/x", id, uploadDeadline, uploadBytes)); err != nil {
		return result{err: err}
	}
	if _, err := c.Write(make([]byte, uploadBytes)); err != nil {
		return result{err: err}
	}
	r, _ := read(bufio.NewReader(c))
	return r
}
