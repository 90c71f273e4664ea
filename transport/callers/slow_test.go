package callers

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// slowAnswer is the size of an answer of which most waits in the server's kernel, and
	// slowPiece what its caller takes at a time, in bytes.
	slowAnswer = 2 << 20
	slowPiece  = 4 << 10
)

// answerSlowly answers with slowAnswer bytes.
func answerSlowly(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, slowAnswer)) }

// takesAll reads an answer whole after a while in which the caller has taken a part of it at a
// time, and sends a further request in the middle.
func takesAll(t *testing.T, c net.Conn, br *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	got, piece := 0, make([]byte, slowPiece)
	sent := false
	for slow := time.Now().Add(2 * lingerTime); got < slowAnswer; {
		n, err := resp.Body.Read(piece)
		got += n
		must.True(t, err == nil || got == slowAnswer, must.Sprint(got, " bytes of ", slowAnswer, " arrived: ", err))
		if time.Now().Before(slow) {
			time.Sleep(lingerTime / 20)
		} else if !sent {
			sent = true
			_, _ = c.Write([]byte(get("/2"))) // reading reports a closed connection
			time.Sleep(lingerTime / 20)
		}
	}
}

// Guards against an idle timeout that runs while the caller is still taking its answer.
func TestAnswerThatItsCallerTakesSlowlyOutlivesTheIdleTimeout(t *testing.T) {
	_, addr := startLimited(t, func() Limits { return Limits{IdleTimeout: lingerTime / 5} }, answerSlowly)
	c, br := dial(t, addr)
	send(t, c, get("/1"))
	takesAll(t, c, br)
}

// Guards against a reset that takes the last answer on a connection from a caller that takes it
// slowly.
func TestLastAnswerThatItsCallerTakesSlowlyArrivesWhole(t *testing.T) {
	s, addr := startLimited(t, func() Limits { return Limits{IdleTimeout: time.Minute} }, answerSlowly)
	s.Leave()
	c, br := dial(t, addr)
	send(t, c, get("/1"))
	takesAll(t, c, br)
}
