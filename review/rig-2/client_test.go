package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// host is the name that all clients ask for.
const host = "a.example"

// result is how a client attempt ended. Without an answer status is 0.
type result struct {
	status int
	body   int // bytes
	err    error
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v", r.status, r.body, r.err)
	}
	return fmt.Sprintf("status %d, %d bytes", r.status, r.body)
}

// dial connects to the sidecar of the client's machine.
func dial(n *node, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", n.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return c, c.SetDeadline(time.Now().Add(timeout))
}

// head returns the head of a request; length is that of its body.
func head(method, path, id string, deadline time.Duration, length int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if length > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

// read reads one answer.
func read(in *bufio.Reader) (result, bool) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return result{err: err}, false
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return result{status: resp.StatusCode, body: int(n), err: err}, err == nil && !resp.Close
}

// get sends one request on a new connection.
func get(n *node, path, id string, deadline time.Duration) result {
	c, err := dial(n, deadline+time.Second)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()
	if _, err := io.WriteString(c, head(http.MethodGet, path, id, deadline, 0)); err != nil {
		return result{err: err}
	}
	r, _ := read(bufio.NewReader(c))
	return r
}
