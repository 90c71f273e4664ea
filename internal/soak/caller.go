package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

// dialWait is how long a caller waits for a connection.
const dialWait = time.Second

// caller sends requests over one connection, which it keeps until the node closes it. It
// reads and writes HTTP/1.1 by itself: a client library would repeat requests, and hide when
// one was written whole and how its connection ended.
type caller struct {
	addr string
	// fresh closes the connection after each exchange.
	fresh bool
	habit habit
	// leaveAfter is how long after it has begun to send a caller leaves; 0 is never.
	leaveAfter time.Duration

	conn net.Conn
	br   *bufio.Reader
}

// exchange sends requests, each behind the one before it, and notes what becomes of them.
func (c *caller) exchange(batch ...*Request) {
	for i, r := range batch {
		r.Sent, r.Behind, r.First = time.Now(), i > 0, batch[0].ID
	}
	if err := c.open(mostPatient(batch) * 3 / 2); err != nil {
		batch[0].End = err.Error()
	} else {
		c.pipeline(batch)
	}
	now := time.Now()
	for i, r := range batch {
		if r.Done.IsZero() {
			r.Done = now
		}
		// One that was sent after the answers before it stands behind nothing.
		r.Behind = i > 0 && (batch[i-1].Status == 0 || !batch[i-1].Done.Before(r.Sent))
		// A caller that waits no longer for an answer looks for none behind it.
		r.GaveUp = r.GaveUp || i > 0 && batch[i-1].GaveUp
	}
	if c.fresh {
		c.close()
	}
}

// pipeline writes requests, and reads their answers meanwhile.
func (c *caller) pipeline(batch []*Request) {
	written := make(chan *Request, len(batch))
	go writeAll(c.conn, batch, written)
	leave, left := c.leave()
	goesOn := true
	for r := range written {
		if goesOn && (r.Written.IsZero() || !c.read(r)) {
			goesOn = false
			c.close() // the writing ends as well
		}
	}
	if leave.Stop() {
		return
	}
	<-left
	c.close()
	for _, r := range batch {
		r.Left = r.Status == 0
	}
}

// leave closes the connection in a while, every second time by a reset. left is closed then.
func (c *caller) leave() (leave *time.Timer, left chan struct{}) {
	left = make(chan struct{})
	after, conn := c.leaveAfter, c.conn
	if after == 0 {
		after = time.Hour
	}
	return time.AfterFunc(after, func() {
		if after%2 == 0 {
			reset(conn)
		}
		_ = conn.Close() // the reading reports it
		close(left)
	}), left
}

// writeAll writes requests until one can't be written, and passes each on then.
func writeAll(conn net.Conn, batch []*Request, written chan<- *Request) {
	defer close(written)
	for _, r := range batch {
		if r.Gap > 0 {
			time.Sleep(r.Gap)
			r.Sent = time.Now()
		}
		err := write(conn, r)
		if err != nil {
			r.End = err.Error()
		}
		written <- r
		if err != nil {
			return // what was written before may still be answered
		}
	}
}

// mostPatient returns how long the most patient caller of some requests waits.
func mostPatient(batch []*Request) time.Duration {
	most := time.Duration(0)
	for _, r := range batch {
		most = max(most, r.Wait)
	}
	return most
}

// open opens a connection unless there is one, and bounds the time of an exchange.
func (c *caller) open(bound time.Duration) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, dialWait)
		if err != nil {
			return err
		}
		if c.habit == habitSlow {
			conn = newSlowConn(conn)
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	return c.conn.SetDeadline(time.Now().Add(bound))
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing is expected of it any more
		c.conn = nil
	}
}

// write writes a request.
func write(conn net.Conn, r *Request) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.Method, r.Path, routeHost,
		platformtest.HeaderRequestID, r.ID, platformtest.HeaderWait, r.Wait.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.Key)
	}
	if r.Closes {
		b.WriteString("Connection: close\r\n")
	}
	if r.BodyBytes > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", r.BodyBytes)
	}
	b.WriteString("\r\n")
	b.WriteString(strings.Repeat("b", r.BodyBytes))
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return err
	}
	r.Written = time.Now()
	return nil
}

// read reads an answer, and reports whether the next one may follow.
func (c *caller) read(r *Request) bool {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		r.fail(err)
		return false
	}
	r.Headed = true
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // it was read to its end
	if err != nil {
		r.fail(err)
		return false
	}
	r.Done = time.Now()
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.After = time.Duration(after * float64(time.Second))
	}
	r.Status, r.Stamped, r.Body = resp.StatusCode, platformtest.Stamped(resp.Header), string(body)
	r.Limited, r.Leaving = resp.Header[platformtest.HeaderLimit] != nil, resp.Header[platformtest.HeaderLeaving] != nil
	return !resp.Close
}

// fail notes that a request's connection ended before its answer was whole.
func (r *Request) fail(err error) {
	r.Done, r.End, r.GaveUp = time.Now(), err.Error(), errors.Is(err, os.ErrDeadlineExceeded)
}
