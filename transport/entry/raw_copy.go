package entry

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strconv"

	"github.com/jacinthgate/jacinthgate/transport/forward"
)

// maxChunkLine is the longest chunk-size line, extensions included, in bytes.
const maxChunkLine = 4 << 10

// FramingError reports bytes that violate the framing of HTTP/1.1.
type FramingError struct {
	// What names the invalid element.
	What string
}

// Error implements error.
func (e *FramingError) Error() string { return "framing: " + e.What }

// copyChunked copies a chunked body and its trailers byte for byte. check may reject the trailer section
// before it is copied.
func copyChunked(w io.Writer, r *bufio.Reader, check func(trailers []byte) error) error {
	for {
		line, err := forward.ReadLine(r, maxChunkLine)
		if err != nil {
			return err
		}
		if _, err := w.Write(line); err != nil {
			return err
		}
		size, err := chunkSize(line)
		if err != nil {
			return err
		}
		if size == 0 {
			return copyTrailers(w, r, check)
		}
		// A line ending follows the chunk's data.
		if _, err := io.CopyN(w, r, size); err != nil {
			return err
		}
		end, err := forward.ReadLine(r, len("\r\n"))
		if err != nil {
			return err
		}
		if _, err := w.Write(end); err != nil {
			return err
		}
	}
}

func chunkSize(line []byte) (int64, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 62)
	if err != nil {
		return 0, &FramingError{What: "chunk size"}
	}
	return int64(size), nil
}

func copyTrailers(w io.Writer, r *bufio.Reader, check func(trailers []byte) error) error {
	trailers, err := forward.ReadHead(r)
	if err == nil {
		err = check(trailers)
	}
	if err != nil {
		return err
	}
	_, err = w.Write(trailers)
	return err
}

// anyTrailers leaves the check of a request's trailers to the older system.
func anyTrailers([]byte) error { return nil }

// checkTrailers returns an error for a trailer section that violates HTTP/1.1.
func checkTrailers(section []byte) error {
	fields, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(section))).ReadMIMEHeader()
	if err != nil {
		return err
	}
	return forward.CheckNames(http.Header(fields))
}
