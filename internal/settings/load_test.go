package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestEachFaultNamesItsFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "ctl.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"node":1,"other":2}`), 0o600))
	_, err := LoadCtl(file)
	lines := strings.Split(err.Error(), "\n")
	must.SliceLen(t, 2, lines)
	for _, line := range lines {
		must.StrHasPrefix(t, "settings "+file+": ", line)
	}
}
