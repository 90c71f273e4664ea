package logging

import (
	"bytes"
	stdlog "log"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

func TestLibrariesWriteEvents(t *testing.T) {
	t.Cleanup(func() { stdlog.SetOutput(os.Stderr) })
	var out bytes.Buffer
	CatchLibraries(New(&out, "info"))
	stdlog.Printf("small buffer:\n%d KiB", 208)
	line := out.String()
	must.StrContains(t, line, `level=warn event=library_warning message="small buffer:\n208 KiB"`)
	must.Eq(t, 1, bytes.Count(out.Bytes(), []byte("\n")))
}
