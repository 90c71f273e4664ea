package quota

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/jacinthgate/jacinthgate/coordination/quota"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// Caller sends a message to another node and returns the response.
type Caller interface {
	Call(ctx context.Context, to quota.Member, m *Message) (*Response, error)
}

// HTTPCaller is the Caller that sends messages over HTTP.
type HTTPCaller struct {
	// Zone is the node's own availability zone.
	Zone model.Zone
	// SameZone sends to gates in the node's own zone, OtherZones to gates in other zones.
	SameZone, OtherZones http.RoundTripper
}

// StatusError reports a response with an HTTP status other than 200.
type StatusError struct {
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "quota message: response status " + http.StatusText(e.Status)
}

// messagePath is the path of messages. Requests may have the same path; only the header differs.
const messagePath = "/quota"

// Call implements Caller. The error is a *forward.SendError, *StatusError or *MessageError.
func (w *HTTPCaller) Call(ctx context.Context, to quota.Member, m *Message) (*Response, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, &MessageError{Reason: "body could not be encoded", Err: err}
	}
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: to.Addr, Path: messagePath}, Host: to.Addr,
		Header:        http.Header{outcome.HeaderQuota: {"1"}, "User-Agent": {""}},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	transport := w.SameZone
	if to.Zone != w.Zone {
		transport = w.OtherZones
	}
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		forward.Drain(resp)
		return nil, &StatusError{Status: resp.StatusCode}
	}
	a := new(Response)
	err = decode(resp.Body, a)
	_ = resp.Body.Close() // it has been read completely
	if err == nil {
		err = a.check()
	}
	if err != nil {
		return nil, err
	}
	return a, nil
}

// Handler handles messages of other nodes and forwards all requests to the gate.
func Handler(l *Limiter, gate http.Handler, logger log.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header[outcome.HeaderQuota] == nil {
			gate.ServeHTTP(w, r)
			return
		}
		m := new(Message)
		err := decode(r.Body, m)
		if err == nil {
			err = m.check()
		}
		if err != nil {
			_ = level.Warn(logger).Log("event", "quota_message_refused", "from", r.RemoteAddr, "err", err)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body, err := encMode.Marshal(l.HandleMessage(r.Context(), m))
		if err != nil {
			_ = level.Error(logger).Log("event", "quota_answer_not_sent", "err", err)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(body) // if the sender has disconnected, the granted tokens are lost
	})
}
