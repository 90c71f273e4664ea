package headpack

import (
	"golang.org/x/net/http2/hpack"
)

// maxHead bounds a decoded head, in bytes. Writers only pack smaller heads, but a
// received block may refer to a large table entry many times.
const maxHead = 2 * maxPacked

// decoder restores the heads that a connection receives from their HPACK blocks. It
// is not safe for concurrent use.
type decoder struct {
	hpack *hpack.Decoder
	head  []byte // the part of the current head decoded so far
	fault error
}

func newDecoder() *decoder {
	d := &decoder{}
	d.hpack = hpack.NewDecoder(tableBytes, d.emit)
	d.hpack.SetMaxStringLength(maxHead)
	return d
}

// decode returns the head that a block encodes; the head is valid until the next
// call. The error is a *FrameError.
func (d *decoder) decode(block []byte) ([]byte, error) {
	d.head, d.fault = d.head[:0], nil
	_, err := d.hpack.Write(block)
	if err == nil {
		err = d.hpack.Close()
	}
	if err != nil {
		return nil, &FrameError{What: "HPACK block can't be decoded", Err: err}
	}
	if d.fault != nil {
		return nil, d.fault
	}
	return append(d.head, lineEnd...), nil
}

// emit appends a decoded field to the head, or sets d.fault if the head would
// exceed maxHead.
func (d *decoder) emit(f hpack.HeaderField) {
	if len(d.head)+len(f.Name)+len(f.Value) > maxHead {
		d.fault = lengthError(uint64(len(d.head) + len(f.Value)))
		return
	}
	switch f.Name {
	case fieldMethod:
		d.add(f.Value, " ")
	case fieldDir:
		d.add(f.Value)
	case fieldRest:
		d.add(f.Value, " ", version, lineEnd)
	case fieldStatus:
		d.add(version, " ", f.Value, lineEnd)
	default:
		d.add(f.Name, valueSep, f.Value, lineEnd)
	}
}

func (d *decoder) add(texts ...string) {
	for _, t := range texts {
		d.head = append(d.head, t...)
	}
}
