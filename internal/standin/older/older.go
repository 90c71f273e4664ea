// Package older is a stand-in for the older system: it answers each request
// with the hash of the exact bytes that it received, and counts them. It can
// hold slots of a backend server that it shares with the mesh.
//
// It is for tests and trials only.
package older

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	requests    atomic.Int64
	connections atomic.Int64

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
	wait   sync.WaitGroup
}

// New returns a server.
func New() *Server { return &Server{conns: make(map[net.Conn]struct{})} }

// Answer is the JSON body of an answer.
type Answer struct {
	// Hash is the SHA-256, in hexadecimal, of the request's bytes as they
	// arrived, the body's framing included.
	Hash string `json:"hash"`
	// Size is their number.
	Size int `json:"size"`
	// Request counts the requests of the server, this one included.
	Request int64 `json:"request"`
	// Connection counts the server's connections when this one was opened.
	Connection int64 `json:"connection"`
}

// Requests returns the number of requests received whole.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Serve accepts connections until l is closed; it returns that error.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		s.add(c)
	}
}

func (s *Server) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close() // a connection that came too late
		return
	}
	s.conns[c] = struct{}{}
	number := s.connections.Add(1)
	s.wait.Go(func() {
		s.serveConn(c, number)
		s.remove(c)
	})
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close() // nothing is left to send
}

// Close closes all connections and waits for their ends.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close() // ends its read
	}
	s.mu.Unlock()
	s.wait.Wait()
}

func (s *Server) serveConn(c net.Conn, number int64) {
	r := bufio.NewReader(c)
	for {
		raw, req, err := readRequest(r)
		if err != nil {
			return
		}
		sum := sha256.Sum256(raw)
		b, err := json.Marshal(Answer{
			Hash:       hex.EncodeToString(sum[:]),
			Size:       len(raw),
			Request:    s.requests.Add(1),
			Connection: number,
		})
		if err != nil {
			return
		}
		if _, err := c.Write(response(b)); err != nil || req.Close {
			return
		}
	}
}

// response has headers in an order and spelling that net/http would change.
func response(body []byte) []byte {
	head := "HTTP/1.1 200 Fine\r\nx-older-system: Yes\r\nContent-type: application/json\r\n" +
		"A-first: 1\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	return append([]byte(head), body...)
}

// readRequest returns a request's exact bytes, and the request for its framing.
func readRequest(r *bufio.Reader) ([]byte, *http.Request, error) {
	var raw bytes.Buffer
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return nil, nil, err
		}
		raw.Write(line)
		if len(bytes.TrimSpace(line)) == 0 {
			break
		}
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw.Bytes())))
	if err != nil {
		return nil, nil, err
	}
	if slices.Contains(req.TransferEncoding, "chunked") {
		err = readChunks(&raw, r)
	} else {
		_, err = io.CopyN(&raw, r, max(0, req.ContentLength))
	}
	return raw.Bytes(), req, err
}

// readChunks copies a chunked body with its framing. It takes no trailers.
func readChunks(raw *bytes.Buffer, r *bufio.Reader) error {
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return err
		}
		raw.Write(line)
		digits, _, _ := strings.Cut(strings.TrimSpace(string(line)), ";")
		size, err := strconv.ParseUint(digits, 16, 31)
		if err != nil {
			return err
		}
		// Each chunk, and the last line, is followed by an end of line.
		if _, err := io.CopyN(raw, r, int64(size)+2); err != nil || size == 0 {
			return err
		}
	}
}
