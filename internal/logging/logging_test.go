package logging

import (
	"bytes"
	stdlog "log"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func TestLimitDropsExcessEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger := Limit(New(&out, "info"), 3)
		for range 5 {
			must.NoError(t, logger.Log("event", "e"))
		}
		must.Eq(t, 3, bytes.Count(out.Bytes(), []byte("\n")))
		time.Sleep(time.Second)
		must.NoError(t, logger.Log("event", "e"))
		must.Eq(t, 4, bytes.Count(out.Bytes(), []byte("\n")))
	})
}

func TestLibrariesWriteEvents(t *testing.T) {
	t.Cleanup(func() { stdlog.SetOutput(os.Stderr) })
	var out bytes.Buffer
	CatchLibraries(New(&out, "info"))
	stdlog.Printf("small buffer:\n%d KiB", 208)
	line := out.String()
	must.StrContains(t, line, `level=warn event=library_warning message="small buffer:\n208 KiB"`)
	must.Eq(t, 1, bytes.Count(out.Bytes(), []byte("\n")))
}
