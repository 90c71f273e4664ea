package callers

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a reset behind the last answer where its goroutine ends after the connection's.
func TestEndOfAnAnswerDoesNotEndTheLingering(t *testing.T) {
	s, _ := startLimited(t, func() Limits { return Limits{IdleTimeout: time.Minute} },
		func(http.ResponseWriter, *http.Request) {})
	c, caller, br := accepted(t, s)
	c.ended, c.ending = true, true // the last answer was sent
	go c.finish()
	_, err := br.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	time.Sleep(20 * time.Millisecond) // until it lingers
	c.armIdle(s.cfg.Limits())
	for range 3 {
		time.Sleep(10 * time.Millisecond) // one that was closed resets what comes
		send(t, caller, get("/behind"))
	}
}
