package link

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/protocol/message"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/peer/quic"
	"github.com/jacinthgate/jacinthgate/transport/security"
)

// listen opens a QUIC transport for the node with a certificate of the
// authority in dir.
func listen(t *testing.T, dir string, id model.NodeID) *quic.Transport {
	out := t.TempDir()
	must.NoError(t, security.IssueNode(dir, string(id), out, time.Hour))
	keys := security.DefaultConfig()
	keys.AuthorityFile = filepath.Join(out, security.AuthorityFile)
	keys.CertificateFile = filepath.Join(out, security.CertificateFile)
	keys.KeyFile = filepath.Join(out, security.KeyFile)
	k, err := security.Load(keys)
	must.NoError(t, err)
	cfg := quic.DefaultConfig()
	cfg.ListenAddr = "127.0.0.1:0"
	cfg.ServerTLS, cfg.ClientTLS = k.ServerConfig(), k.ClientConfig("")
	tr, err := quic.New(cfg)
	must.NoError(t, err)
	return tr
}

// nextEvent returns the next event, which must be of type E.
func nextEvent[E core.Event](t *testing.T, n *node) E {
	t.Helper()
	select {
	case e := <-n.Events():
		wanted, ok := e.(E)
		must.True(t, ok, must.Sprint(describe(e)))
		return wanted
	case <-t.Context().Done():
		t.FailNow()
	}
	panic("not reached")
}

func TestOverQUIC(t *testing.T) {
	dir := t.TempDir()
	must.NoError(t, security.InitAuthority(dir, "site", time.Hour))
	trA, trB := listen(t, dir, "node-a"), listen(t, dir, "node-b")
	a, b := start(t, trA, "node-a", nil), start(t, trB, "node-b", nil)
	a.Connect("node-b", trB.Addr())
	must.True(t, nextEvent[core.PeerUp](t, a).Welcomed)
	must.False(t, nextEvent[core.PeerUp](t, b).Welcomed)
	body := make([]byte, message.MaxSize/2)
	must.NoError(t, b.Send("node-a", message.Normal, &message.Full{Body: body}))
	full := nextEvent[core.Received](t, a).Message.(*message.Full)
	must.Eq(t, len(body), len(full.Body))

	// The peer's certificate names node-c, but its record names node-d.
	impostor := start(t, listen(t, dir, "node-c"), "node-d", nil)
	impostor.Connect("node-b", trB.Addr())
	nextEvent[core.DialFailed](t, impostor)

	a.stop()
	must.Eq(t, "node-a", string(nextEvent[core.PeerDown](t, b).Node))
}
