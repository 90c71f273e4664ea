package forward

import (
	"bufio"
	"bytes"
	"net/textproto"
)

// maxRawHead is the largest head, in bytes.
const maxRawHead = 1 << 20

// ReadHead returns a message's head, or a trailer section, byte for byte, the empty
// line at its end included.
func ReadHead(r *bufio.Reader) ([]byte, error) {
	var head []byte
	for {
		line, err := ReadLine(r, maxRawHead-len(head))
		if err != nil {
			return nil, err
		}
		head = append(head, line...)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return head, nil
		}
	}
}

// ReadLine returns a line of at most limit bytes, its line ending included.
func ReadLine(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, &ProtocolError{What: "line too long"}
		}
		if err == nil {
			return line, nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
	}
}

// http10 begins the heads of HTTP/1.0.
const http10 = "HTTP/1.0"

// CheckRawHead returns an error for a response's head of HTTP/1.0 that states a transfer encoding, which
// HTTP/1.0 doesn't have. net/http ignores it and takes the framing for a part of the body. The error is a
// *ProtocolError.
func CheckRawHead(head []byte) error {
	if !bytes.HasPrefix(head, []byte(http10)) {
		return nil
	}
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := r.ReadLine(); err != nil {
		return &ProtocolError{What: "status line"}
	}
	fields, err := r.ReadMIMEHeader()
	if err != nil {
		return &ProtocolError{What: "field"}
	}
	if fields["Transfer-Encoding"] != nil {
		return &ProtocolError{What: "transfer encoding in HTTP/1.0"}
	}
	return nil
}
