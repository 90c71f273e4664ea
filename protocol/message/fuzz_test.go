package message

import (
	"math"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/state/endpoint"
	"github.com/jacinthgate/jacinthgate/state/suspect"
)

func FuzzDecode(f *testing.F) {
	for k := Kind(0); k <= KindEvacuations+1; k++ {
		f.Add([]byte{byte(k), 0xa0})
	}
	for _, m := range []Message{
		&Hello{Protocol: 1, Record: endpoint.Record{Node: "csepel-1"}, Digest: []ZoneDigest{{Zone: "csepel", Hash: 7}}},
		&Full{Count: 2, Body: []byte("body")},
		&ZoneStatus{Zone: "csepel", Rejections: []Rejection{{Node: "a", Reason: "hash"}}},
		&Suspects{Entries: []suspect.Entry{{Fingerprint: 7, Evidence: []suspect.Evidence{{Crash: suspect.Crash{ID: 9, At: 1}, Refuted: true}}}}},
		&Freshness{Version: 7, Stamp: 1 << 40, Echo: 1 << 41, Offset: -1200, Epoch: 3},
		&Demand{Items: []DemandItem{{Limit: "clinic/screens", PerSecond: 1.5}}},
	} {
		b, err := Encode(m)
		must.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		encoded, err := Encode(m)
		must.NoError(t, err)
		decoded, err := Decode(encoded)
		must.NoError(t, err)
		must.Eq(t, m.Kind(), decoded.Kind())
	})
}

// encodeUnchecked encodes a message as a sender that doesn't check its values.
func encodeUnchecked(t testing.TB, m Message) []byte {
	body, err := encMode.Marshal(m)
	must.NoError(t, err)
	return append([]byte{byte(m.Kind())}, body...)
}

func TestDecodeRefusesHostileBodies(t *testing.T) {
	nan := encodeUnchecked(t, &Demand{Items: []DemandItem{{PerSecond: math.NaN()}}})
	infinite := encodeUnchecked(t, &Shares{Items: []ShareItem{{Concurrency: math.Inf(1)}}})
	cases := map[string][]byte{
		"not a number": nan,
		"infinite":     infinite,
		"null":         {byte(KindHello), 0xf6},
		"no body":      {byte(KindHello)},
		"trailing":     {byte(KindAdvert), 0xa0, 0xa0},
		"null element": {byte(KindRecords), 0xa1, 0x01, 0x81, 0xf6},
		"same key":     {byte(KindDigest), 0xa2, 0x01, 0x80, 0x01, 0x80},
		"wide offset":  {byte(KindFreshness), 0xa1, 0x04, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"minus stamp":  {byte(KindFreshness), 0xa1, 0x02, 0x20},
		"indefinite":   {byte(KindDigest), 0xbf, 0xff},
		"long array":   {byte(KindDigest), 0xa1, 0x01, 0x9a, 0xff, 0xff, 0xff, 0xff},
	}
	for name, b := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(b)
			var de *DecodeError
			must.True(t, errors.As(err, &de))
		})
	}
}

// Guards against a refusal that doesn't name the field and the text.
func TestRefusalNamesTheTextThatIsNotUTF8(t *testing.T) {
	_, err := Decode(encodeUnchecked(t, &Records{Departures: []Departure{{Node: "csepel-1", Instance: "i-1"}, {Node: "csepel-1", Instance: "i-\xff\xfe"}}}))
	must.EqError(t, err, `message kind 11 can't be decoded: Departures[1].Instance: not UTF-8: "i-\xff\xfe"`)
}
