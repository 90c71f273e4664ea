package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// process is one process that the fleet started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// start starts a binary with its output appended to the log file NAME.log.
func (f *Fleet) start(name, binary string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(f.cfg.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	cmd := exec.Command(filepath.Join(f.cfg.Bin, binary), args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The processes must not outlive the one that started them.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close() // the start failed already
		return nil, errors.Wrap(err, "start "+name)
	}
	p := &process{name: name, cmd: cmd, log: out, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *process) wait() {
	_ = p.cmd.Wait() // how it ended is in Exited
	_ = p.log.Close()
	close(p.done)
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to this very process.
func (p *process) signal(s os.Signal) error {
	if !p.alive() {
		return nil
	}
	return p.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if !p.alive() {
		return
	}
	_ = p.cmd.Process.Kill() // it may just have ended
	<-p.done
}

// terminate ends the process gracefully, or at once after the timeout. It
// reports whether it ended by itself.
func (p *process) terminate(timeout time.Duration) bool {
	if !p.alive() {
		return true
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may just have ended
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		p.kill()
		return false
	}
}
