package headpack

import (
	"golang.org/x/net/http2/hpack"
)

// maxHead bounds a decoded head, in bytes. Writers pack smaller ones only; a
// block may refer to large fields many times.
const maxHead = 2 * maxPacked

// decoder decodes heads. It is not safe for concurrent use.
type decoder struct {
	hpack *hpack.Decoder
	head  []byte // the head so far
	fault error
}

func newDecoder() *decoder {
	d := &decoder{}
	d.hpack = hpack.NewDecoder(tableBytes, d.emit)
	d.hpack.SetMaxStringLength(maxHead)
	return d
}

// decode returns the head of a block, which is valid until the next call. The
// error is a *FrameError.
func (d *decoder) decode(block []byte) ([]byte, error) {
	d.head, d.fault = d.head[:0], nil
	_, err := d.hpack.Write(block)
	if err == nil {
		err = d.hpack.Close()
	}
	if err != nil {
		return nil, &FrameError{What: "a block that can't be decoded", Err: err}
	}
	if d.fault != nil {
		return nil, d.fault
	}
	return append(d.head, lineEnd...), nil
}

// emit appends a field to the head.
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
