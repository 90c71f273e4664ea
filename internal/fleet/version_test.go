package fleet

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/internal/version"
)

func TestProgramsTellTheirVersion(t *testing.T) {
	t.Parallel()
	asked := map[string]string{
		"jacinthgate-node":     "version",
		"jacinthgate-platform": "-version",
		"jacinthgate-backend":  "-version",
		"jacinthgate-older":    "-version",
	}
	for program, word := range asked {
		out, err := exec.Command(filepath.Join(bin, program), word).Output()
		must.NoError(t, err, must.Sprint(program))
		must.StrHasPrefix(t, program+" "+version.Number, string(out))
	}
}
