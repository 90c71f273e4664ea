package sidecar

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/budget"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// configOf returns a configuration of about the users' size: 300 routes.
func configOf(version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"r%d","routes":{"columns":["name","hostname","prefix"],"rows":[`, version)
	for i := range 300 {
		fmt.Fprintf(&b, `["r-%x","host-%x.example","/p%xq%x/","idempotent",2000,600,2,"service-a",2,null],`, i*7919, i%7, i*104729, i)
	}
	b.WriteString(`]}}`)
	return []byte(b.String())
}

// In kalo-kit trouble-1, seed 249019417091, the reader of a zone ran out of its
// budget of bytes 2 s into a storm of configurations; its peers got versions
// late and from other zones, and records of leaving backend servers would have
// waited as well.
func TestStormOfConfigurationsFitsTheBudgetOfBytes(t *testing.T) {
	const (
		peers = 6
		gap   = 260 * time.Millisecond
		storm = 30 * time.Second
	)
	now := time.Unix(1_000_000, 0)
	s := budget.New(linkBudget(), now)
	for version := 1; time.Duration(version)*gap < storm; version++ {
		now = now.Add(gap)
		payload, err := message.Encode(&message.Document{Version: uint64(version), Body: pack(configOf(version))})
		must.NoError(t, err)
		for p := range peers {
			s.Push(budget.Item{Peer: model.NodeID(fmt.Sprint(p)), Priority: message.Urgent, Key: "document", Payload: payload})
		}
		for range peers {
			_, wait, ok := s.Pop(now)
			must.True(t, ok, must.Sprintf("version %d waits %v", version, wait))
		}
	}
}

func TestPackedConfigurationIsUnpacked(t *testing.T) {
	body := configOf(1)
	packed := pack(body)
	must.Less(t, len(body)/2, len(packed))
	got, err := unpack(packed)
	must.NoError(t, err)
	must.Eq(t, string(body), string(got))
}

func TestUnpackRefusesWhatIsNoConfiguration(t *testing.T) {
	_, err := unpack([]byte("\xff\xff\xff\xff\xff\xff\xff"))
	must.Error(t, err)
	_, err = unpack(pack(make([]byte, maxDocument+1)))
	_, ok := errors.AsType[*SizeError](err)
	must.True(t, ok)
}
