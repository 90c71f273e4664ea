package forward

import (
	"context"
	"net"
	"net/http"

	"github.com/jacinthgate/jacinthgate/transport/sockopt"
)

// CheckedTransport returns a RoundTripper that sends by t, which must not be used otherwise, and takes as
// few broken responses for whole ones as Client does: it checks heads, and the ends of connections.
func CheckedTransport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &sockopt.CheckedConn{Conn: conn}, nil
	}
	return &checkedTransport{t}
}

type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close()    // nothing of it is of use
		t.CloseIdleConnections() // the response's may be among them
		return nil, err
	}
	return resp, nil
}
