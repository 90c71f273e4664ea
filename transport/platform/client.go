package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// maxErrorText bounds the part of an error's body that is kept, in bytes.
const maxErrorText = 200

// Config configures a Client.
type Config struct {
	// URL is the platform's base URL, such as http://127.0.0.1:7000.
	URL string
	// Prefix is put before every item's and object's key, so that nothing of
	// another system that shares the platform can be read or written.
	Prefix string
	// Timeout bounds one call. A write that exceeds it has an unknown
	// outcome.
	Timeout time.Duration
	// DialTimeout bounds the opening of a connection. It is short because
	// callers have another try when nothing was sent.
	DialTimeout time.Duration
	// MaxConns bounds the connections to the platform, so that a slow
	// platform is not met with ever more of them.
	MaxConns int
	// MaxTable is the largest answer of the table service, in bytes.
	MaxTable int64
	// MaxObject is the largest object, in bytes.
	MaxObject int64
}

// DefaultConfig returns the defaults for the platform at the given URL.
func DefaultConfig(url string) Config {
	return Config{
		URL:         url,
		Prefix:      "jacinthgate/",
		Timeout:     2 * time.Second,
		DialTimeout: 500 * time.Millisecond,
		MaxConns:    8,
		MaxTable:    8 << 20,
		MaxObject:   64 << 20,
	}
}

// Client calls the platform over HTTP. It is safe for concurrent use.
type Client struct {
	cfg  Config
	base string
	http *http.Client
}

// New returns a client. It opens no connection yet.
func New(cfg Config) *Client {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     cfg.MaxConns,
		MaxIdleConnsPerHost: cfg.MaxConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{
		cfg:  cfg,
		base: strings.TrimSuffix(cfg.URL, "/"),
		http: &http.Client{Transport: transport},
	}
}

// Table returns the table service.
func (c *Client) Table() Table { return &tableClient{c} }

// Objects returns the object store.
func (c *Client) Objects() Objects { return &objectsClient{c} }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one call of the platform.
type call struct {
	op     string // for errors
	write  bool   // has an effect
	method string
	path   string
	query  url.Values
	body   []byte
	limit  int64 // of the answer, in bytes
}

// answer is a complete answer.
type answer struct {
	status int
	body   []byte
}

// do carries out a call. Its error is an *UnavailableError when the call
// certainly had no effect, else an *UnknownError.
func (c *Client) do(ctx context.Context, k call) (answer, error) {
	if err := ctx.Err(); err != nil {
		return answer{}, &UnavailableError{Op: k.op, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	// Until a connection was handed out, nothing can have been sent.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	a, err := c.roundTrip(ctx, k)
	if err == nil {
		return a, nil
	}
	if k.write && sent.Load() {
		return answer{}, &UnknownError{Op: k.op, Err: err}
	}
	return answer{}, &UnavailableError{Op: k.op, Err: err}
}

func (c *Client) roundTrip(ctx context.Context, k call) (answer, error) {
	u := c.base + (&url.URL{Path: k.path, RawQuery: k.query.Encode()}).String()
	req, err := http.NewRequestWithContext(ctx, k.method, u, bytes.NewReader(k.body))
	if err != nil {
		return answer{}, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, k.limit+1))
	if err != nil {
		return answer{}, err
	}
	if int64(len(body)) > k.limit {
		return answer{}, &SizeError{Limit: k.limit}
	}
	return answer{status: resp.StatusCode, body: body}, nil
}

// failure returns the error for an answer whose status is not a success.
func (k call) failure(a answer) error {
	text := string(a.body[:min(len(a.body), maxErrorText)])
	err := &StatusError{Status: a.status, Text: strings.TrimSpace(text)}
	switch {
	case a.status == http.StatusTooManyRequests, a.status == http.StatusServiceUnavailable:
		return &UnavailableError{Op: k.op, Err: err}
	case a.status < http.StatusInternalServerError:
		return err // refused as malformed
	case k.write:
		return &UnknownError{Op: k.op, Err: err}
	default:
		return &UnavailableError{Op: k.op, Err: err}
	}
}

// decode reads a JSON answer. A write whose answer can't be read has an
// unknown outcome.
func (k call) decode(a answer, v any) error {
	err := json.Unmarshal(a.body, v)
	if err == nil {
		return nil
	}
	if k.write {
		return &UnknownError{Op: k.op, Err: err}
	}
	return &UnavailableError{Op: k.op, Err: err}
}

func listQuery(prefix, after string, limit int) url.Values {
	return url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
}
