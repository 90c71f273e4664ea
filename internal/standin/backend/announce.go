package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// AnnounceConfig configures an Announcer.
type AnnounceConfig struct {
	// NodeURL is the base URL of the host's node, such as
	// "http://127.0.0.1:7001".
	NodeURL string
	// Service, Addr, Slots and Connections are what is announced.
	Service     string
	Addr        string
	Slots       int
	Connections int
	// Interval is the time between renewals.
	Interval time.Duration
}

// Announcer announces a server to its host's node.
type Announcer struct {
	cfg    AnnounceConfig
	client *http.Client
}

// announceTimeout bounds one call to the node.
const announceTimeout = time.Second

// NewAnnouncer returns an announcer.
func NewAnnouncer(cfg AnnounceConfig) *Announcer {
	return &Announcer{cfg: cfg, client: &http.Client{Timeout: announceTimeout}}
}

// Run announces and renews until ctx ends. onError gets each failed attempt.
func (a *Announcer) Run(ctx context.Context, onError func(error)) error {
	t := time.NewTicker(a.cfg.Interval)
	defer t.Stop()
	for {
		if err := a.Announce(ctx); err != nil && ctx.Err() == nil {
			onError(err)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type announceBody struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Announce announces the server once. The error is a *NodeError or one of
// net/http.
func (a *Announcer) Announce(ctx context.Context) error {
	b, err := json.Marshal(announceBody{a.cfg.Service, a.cfg.Addr, a.cfg.Slots, a.cfg.Connections})
	if err != nil {
		return err
	}
	return a.post(ctx, "/announce", b)
}

// Drain tells the node to send no new work.
func (a *Announcer) Drain(ctx context.Context) error { return a.post(ctx, "/drain", nil) }

// Withdraw removes the announcement.
func (a *Announcer) Withdraw(ctx context.Context) error { return a.post(ctx, "/withdraw", nil) }

func (a *Announcer) post(ctx context.Context, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.cfg.NodeURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // lets the connection be used again
	if resp.StatusCode != http.StatusOK {
		return &NodeError{Path: path, Status: resp.StatusCode}
	}
	return nil
}

// NodeError reports a call that the node refused.
type NodeError struct {
	// Path is the path called.
	Path string
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *NodeError) Error() string {
	return "node refused " + e.Path + ": " + http.StatusText(e.Status)
}
