// Package operatorclient is the client of a node's operator interface.
package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
)

// Client calls one node. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the node at base, such as "https://127.0.0.1:7004".
// The http.Client carries the operator's certificate and the call's timeout.
func New(base string, hc *http.Client) *Client {
	return &Client{base: base, http: hc}
}

// UnreachableError reports a call that brought no answer. A change may
// nevertheless have been taken.
type UnreachableError struct {
	// Path is the path called.
	Path string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnreachableError) Error() string { return "no answer to " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Apply sends a change. The error is an *operator.Problem or an
// *UnreachableError.
func (c *Client) Apply(ctx context.Context, req *operator.ApplyRequest) (*operator.ApplyResponse, error) {
	return call[operator.ApplyResponse](ctx, c, http.MethodPost, operator.PathApply, req)
}

// Documents reads documents. An empty kind or name selects all.
func (c *Client) Documents(ctx context.Context, kind, name string) (*operator.Documents, error) {
	q := url.Values{}
	if kind != "" {
		q.Set("kind", kind)
	}
	if name != "" {
		q.Set("name", name)
	}
	return call[operator.Documents](ctx, c, http.MethodGet, withQuery(operator.PathDocuments, q), nil)
}

// History reads the accepted changes, newest first. An empty changeID selects
// all, a limit of 0 as many as the node gives.
func (c *Client) History(ctx context.Context, changeID string, limit int) (*operator.History, error) {
	q := url.Values{}
	if changeID != "" {
		q.Set("change", changeID)
	}
	if limit > 0 {
		q.Set("limit", strconv.Itoa(limit))
	}
	return call[operator.History](ctx, c, http.MethodGet, withQuery(operator.PathHistory, q), nil)
}

// Status reads what the node knows of the mesh.
func (c *Client) Status(ctx context.Context) (*operator.Status, error) {
	return call[operator.Status](ctx, c, http.MethodGet, operator.PathStatus, nil)
}

// Progress reads how far the fleet is with a version. The node holds its answer
// until the version is in force, at most for wait.
func (c *Client) Progress(ctx context.Context, version uint64, wait time.Duration) (*operator.Progress, error) {
	q := url.Values{
		"version": {strconv.FormatUint(version, 10)},
		"wait":    {wait.String()},
	}
	return call[operator.Progress](ctx, c, http.MethodGet, withQuery(operator.PathProgress, q), nil)
}

// Drain takes a node's backend server out of service, or back.
func (c *Client) Drain(ctx context.Context, req *operator.DrainRequest) error {
	_, err := call[struct{}](ctx, c, http.MethodPost, operator.PathDrain, req)
	return err
}

func withQuery(path string, q url.Values) string {
	if len(q) == 0 {
		return path
	}
	return path + "?" + q.Encode()
}

// call sends one request and decodes the answer into a T.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (*T, error) {
	req, err := newRequest(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &UnreachableError{Path: path, Err: causeOf(err)}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, &UnreachableError{Path: path, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, problemOf(resp.StatusCode, raw)
	}
	out := new(T)
	if err := json.Unmarshal(raw, out); err != nil {
		return nil, &UnreachableError{Path: path, Err: err}
	}
	return out, nil
}

// causeOf leaves out the method and URL that net/http puts before the cause.
func causeOf(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// maxAnswer is the largest answer in bytes; 4,300 nodes' status takes about 1 MB.
const maxAnswer = 64 << 20

func newRequest(ctx context.Context, method, target string, body any) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		r = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, r)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// problemOf reads the problem in an answer. An answer without one, from
// something that is no node, becomes a problem that names the status.
func problemOf(status int, raw []byte) error {
	p := new(operator.Problem)
	if err := json.Unmarshal(raw, p); err != nil || p.Code == "" {
		p = &operator.Problem{
			Code:    operator.CodeMalformed,
			Message: "status " + strconv.Itoa(status) + " without a problem",
		}
	}
	return p
}
