// Package process starts programs as child processes, for tools that observe a site
// of real processes. All children are killed when the process that started them ends.
package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a child process created by Start.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// Start starts a program, with its output appended to dir/NAME.log.
func Start(dir, name, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(LogFile(dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	// A child must not outlive the process that started it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close() // the start failed already
		return nil, errors.Wrap(err, "start "+name)
	}
	p := &Process{name: name, cmd: cmd, log: out, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

// wait waits for the process to end, then closes its log and done.
func (p *Process) wait() {
	_ = p.cmd.Wait() // Failed reads the result from cmd.ProcessState
	_ = p.log.Close()
	close(p.done)
}

// Alive reports whether the process is running. It returns false on nil.
func (p *Process) Alive() bool {
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

// Failed reports whether the process was ended by a signal or exited with an error.
func (p *Process) Failed() bool { return !p.Alive() && !p.cmd.ProcessState.Success() }

// Signal sends a signal to this process only. It does nothing once the process has ended.
func (p *Process) Signal(s os.Signal) error {
	if !p.Alive() {
		return nil
	}
	return p.cmd.Process.Signal(s)
}

// Kill kills the process with SIGKILL and waits until it has ended.
func (p *Process) Kill() {
	if !p.Alive() {
		return
	}
	_ = p.cmd.Process.Kill() // it may just have ended
	<-p.done
}

// Terminate sends SIGTERM, and kills the process if it still runs after the timeout.
// It reports whether the process ended without being killed.
func (p *Process) Terminate(timeout time.Duration) bool {
	if !p.Alive() {
		return true
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may just have ended
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.done }

// LogFile returns the path of the file with the output of the processes of one name.
func LogFile(dir, name string) string { return filepath.Join(dir, name+".log") }
