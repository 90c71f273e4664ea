package fleet

import (
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/outcome"
)

func TestHangUpDoesNotEndANode(t *testing.T) {
	f := start(t, hosts(1))
	first(t, f)
	m := f.Members[0]
	for range 5 {
		must.NoError(t, m.node.Signal(syscall.SIGHUP))
		out, _ := ask(m, "/rooms/1")
		must.Eq(t, outcome.Answered, out)
	}
	must.NoError(t, m.node.Signal(syscall.SIGTERM))
	eventually(t, "the shutdown is over", func() bool { return events(t, m, "event=shutdown_finished") == 1 })
}
