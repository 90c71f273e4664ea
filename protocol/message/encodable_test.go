package message

import (
	"bytes"
	"encoding/binary"
	"math"
	"reflect"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// source supplies the values of an arbitrary message.
type source interface {
	length() int
	number() uint64
	text() string
}

// fill sets all fields of v, whatever their types, to values of a source.
func fill(v reflect.Value, from source) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(from.text())
	case reflect.Bool:
		v.SetBool(from.number()%2 == 1)
	case reflect.Float64:
		v.SetFloat(math.Float64frombits(from.number()))
	case reflect.Slice, reflect.Array:
		if v.Kind() == reflect.Slice {
			n := from.length()
			v.Set(reflect.MakeSlice(v.Type(), n, n))
		}
		for i := range v.Len() {
			fill(v.Index(i), from)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), from)
		}
	default:
		if v.CanInt() {
			v.SetInt(int64(from.number()))
			return
		}
		v.SetUint(from.number()) // panics for a type that this function doesn't know
	}
}

// checkEncodable fails if a message is encoded but can't be decoded, or is decoded as another one.
func checkEncodable(t must.T, m Message) {
	t.Helper()
	encoded, err := Encode(m)
	if err != nil {
		must.True(t, errors.As(err, new(*ValueError)) || errors.As(err, new(*SizeError)), must.Sprint(err))
		return
	}
	decoded, err := Decode(encoded)
	must.NoError(t, err)
	again, err := Encode(decoded)
	must.NoError(t, err)
	must.True(t, bytes.Equal(encoded, again))
}

// drawn draws values with a preference for those at the edges.
type drawn struct{ t *rapid.T }

func (d drawn) length() int { return rapid.IntRange(0, 3).Draw(d.t, "length") }

func (d drawn) number() uint64 {
	edges := []uint64{0, 1, 1<<63 - 1, 1 << 63, math.MaxUint64, math.Float64bits(math.NaN()), math.Float64bits(math.Inf(-1)), math.Float64bits(1.5)}
	return rapid.OneOf(rapid.SampledFrom(edges), rapid.Uint64()).Draw(d.t, "number")
}

func (d drawn) text() string {
	edges := []string{"", "a", "é😀", "\xff", "a\xf0\x9f\x98", "\xed\xa0\x80", "\x00"}
	return rapid.OneOf(rapid.SampledFrom(edges), rapid.String()).Draw(d.t, "text")
}

// Guards against a message that is sent although each peer refuses it.
func TestWhateverIsEncodedCanBeDecoded(t *testing.T) {
	kinds := 0
	for k := Kind(0); k < math.MaxUint8; k++ {
		if newOf(k) == nil {
			continue
		}
		kinds++
		t.Run(reflect.TypeOf(newOf(k)).Elem().Name(), rapid.MakeCheck(func(t *rapid.T) {
			m := newOf(k)
			fill(reflect.ValueOf(m).Elem(), drawn{t})
			checkEncodable(t, m)
		}))
	}
	must.Eq(t, int(KindEvacuations), kinds)
}

// Guards against a list that is sent although it has more elements than peers decode.
func TestListsThatAreTooLongAreNotEncoded(t *testing.T) {
	for _, n := range []int{limits.Elements, limits.Elements + 1} {
		for _, m := range []Message{
			&Shares{Gone: make([]string, n)}, &Demand{Items: make([]DemandItem, n)}, &RecordsRequest{Buckets: make([]uint64, n)},
		} {
			_, err := Encode(m)
			must.Eq(t, n > limits.Elements, err != nil, must.Sprint(err))
			checkEncodable(t, m)
		}
	}
}

// bytesSource takes values from bytes; all are 0 or empty after the last one.
type bytesSource struct{ rest []byte }

func (b *bytesSource) take(n int) []byte {
	taken := make([]byte, n)
	b.rest = b.rest[copy(taken, b.rest):]
	return taken
}

func (b *bytesSource) length() int    { return int(b.take(1)[0] % 4) }
func (b *bytesSource) number() uint64 { return binary.LittleEndian.Uint64(b.take(8)) }
func (b *bytesSource) text() string   { return string(b.take(int(b.take(1)[0] % 32))) }

func FuzzWhateverIsEncodedCanBeDecoded(f *testing.F) {
	for k := KindHello; k <= KindEvacuations; k++ {
		f.Add(byte(k), []byte{1, 2, 0xff, 0xfe, 1, 0, 0, 0, 0, 0, 0, 0xf8, 0x7f})
	}
	f.Fuzz(func(t *testing.T, kind byte, b []byte) {
		m := newOf(Kind(kind))
		if m == nil {
			return
		}
		fill(reflect.ValueOf(m).Elem(), &bytesSource{b})
		checkEncodable(t, m)
	})
}
