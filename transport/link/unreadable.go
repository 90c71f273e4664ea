package link

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"

	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer"
)

const (
	// unreadableLogInterval and unreadableLogBurst limit the lines on messages that can't be decoded.
	unreadableLogInterval = time.Second
	unreadableLogBurst    = 10
)

// unreadableLog logs messages that can't be decoded, at a limited rate. It is safe for concurrent use.
type unreadableLog struct {
	to    log.Logger
	limit *rate.Limiter

	mu sync.Mutex
	// unlogged is the number of messages since the last line.
	unlogged int
}

func newUnreadableLog(to log.Logger) *unreadableLog {
	return &unreadableLog{to: to, limit: rate.NewLimiter(rate.Every(unreadableLogInterval), unreadableLogBurst)}
}

// write logs a message of a peer at an address. salvaged is set if a part of the message was used.
func (u *unreadableLog) write(kind message.Kind, from model.NodeID, addr string, err error, salvaged bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.limit.Allow() {
		u.unlogged++
		return
	}
	u.to.Log("event", "message_unreadable", "kind", kindName(kind), "node", string(from), "addr", addr,
		"salvaged", salvaged, "unlogged", u.unlogged, "err", err)
	u.unlogged = 0
}

// decode decodes a message of a peer, which is empty if it isn't known yet. A message that can't be
// decoded is counted and logged, and what is usable of it is returned in its place.
func (m *Manager) decode(payload []byte, c peer.Conn, from model.NodeID) (message.Message, error) {
	msg, err := message.Decode(payload)
	if !isUnreadable(err) {
		return msg, err
	}
	kind := message.Kind(payload[0])
	salvaged := message.Salvage(payload)
	m.meter.unreadable(kind)
	m.unreadable.write(kind, from, c.RemoteAddr(), err, salvaged != nil)
	if salvaged != nil {
		return salvaged, nil
	}
	return nil, err
}
