// Package loggingtest has helpers for tests of programs that write logs.
package loggingtest

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// FillPipe fills the pipe that is open as a descriptor of a process, so that the process's next write
// to it blocks.
func FillPipe(t *testing.T, pid, descriptor int) {
	t.Helper()
	pipe, err := os.OpenFile(fmt.Sprintf("/proc/%d/fd/%d", pid, descriptor), os.O_WRONLY|syscall.O_NONBLOCK, 0)
	must.NoError(t, err)
	defer func() { must.NoError(t, pipe.Close()) }()
	raw, err := pipe.SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) {
		for n := 1; n > 0; {
			n, _ = syscall.Write(int(fd), make([]byte, 4096))
		}
	}))
}
