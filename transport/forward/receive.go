package forward

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"
)

const (
	// maxHeads is the maximum number of response heads that are read for one request,
	// including those of interim and foreign responses.
	maxHeads = 16
	// maxHeadTime bounds the time from the first byte of a head to its end.
	maxHeadTime = 500 * time.Millisecond
	// maxForeign is the maximum size of a foreign response's body, in bytes.
	maxForeign = 2 << 20
	// maxForeignTime bounds the time in which a foreign response's body arrives.
	maxForeignTime = 250 * time.Millisecond
)

// headEnd ends a head.
var headEnd = []byte("\r\n\r\n")

// read reads the response's head. It passes on interim responses and skips foreign ones.
func (x *roundTrip) read() (*http.Response, error) {
	x.conn.headLeft = maxResponseHead + 1
	for range maxHeads {
		resp, err := x.readHead()
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, &ProtocolError{What: "unrequested protocol upgrade"}
		case resp.StatusCode >= http.StatusOK && x.foreign(resp):
			if err := x.skip(resp); err != nil {
				return nil, err
			}
		case resp.StatusCode >= http.StatusOK:
			x.conn.headLeft = 0
			return resp, nil
		case resp.StatusCode == http.StatusContinue:
			x.proceed()
		case x.w != nil:
			passInterim(x.w, resp)
		}
	}
	return nil, &ProtocolError{What: "too many interim responses"}
}

// readHead reads and checks one head.
func (x *roundTrip) readHead() (*http.Response, error) {
	resp, err := x.parseHead()
	if err == nil {
		err = CheckHead(resp)
	}
	return resp, err
}

// parseHead reads one head. A head that has begun must end soon: the time in which a server may answer
// isn't spent on one that doesn't end.
func (x *roundTrip) parseHead() (*http.Response, error) {
	br := x.conn.br
	if _, err := br.Peek(1); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF // as of http.ReadResponse
		}
		return nil, err
	}
	begin, _ := br.Peek(br.Buffered()) // can't fail
	if bytes.Contains(begin, headEnd) {
		return x.parseResponse()
	}
	var resp *http.Response
	err := x.within(maxHeadTime, "response head doesn't end", func() (err error) {
		resp, err = x.parseResponse()
		return err
	})
	return resp, err
}

// parseResponse reads one head, of either version of HTTP/1.
func (x *roundTrip) parseResponse() (*http.Response, error) {
	br := x.conn.br
	if version, _ := br.Peek(len(http10)); string(version) != http10 { // reading returns the error
		return http.ReadResponse(br, x.req)
	}
	head, err := ReadHead(br)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF // as of http.ReadResponse
	}
	if err != nil {
		return nil, err
	}
	if err := CheckRawHead(head); err != nil {
		return nil, err
	}
	x.noReuse = true // bytes behind the response may be in either reader
	x.conn.br = bufio.NewReader(io.MultiReader(bytes.NewReader(head), br))
	return http.ReadResponse(x.conn.br, x.req)
}

// within reads from the connection by f, which fails with a *ProtocolError once the time is over.
func (x *roundTrip) within(d time.Duration, what string, f func() error) error {
	timer := time.AfterFunc(d, x.abort)
	err := f()
	if !timer.Stop() {
		return &ProtocolError{What: what}
	}
	return err
}

// foreign reports whether resp belongs to another request.
func (x *roundTrip) foreign(resp *http.Response) bool {
	return x.client.cfg.Foreign != nil && x.client.cfg.Foreign(x.req, resp)
}

// skip reads and discards a response that belongs to another request. The
// connection is not reused after it, since the server may send more of them.
func (x *roundTrip) skip(resp *http.Response) error {
	const endless = "response to another request doesn't end"
	x.noReuse = true
	x.conn.headLeft = 0
	if resp.ContentLength > maxForeign {
		return &ProtocolError{What: endless}
	}
	err := x.within(maxForeignTime, endless, func() error {
		n, err := io.CopyN(io.Discard, resp.Body, maxForeign+1)
		switch {
		case n > maxForeign:
			return &ProtocolError{What: endless}
		case err == io.EOF:
			return nil
		}
		return err
	})
	x.conn.headLeft = maxResponseHead + 1
	if err != nil {
		return err
	}
	_ = resp.Body.Close() // already read to its end
	if resp.Close {
		return &ProtocolError{What: "connection closed after the response to another request"}
	}
	return nil
}
