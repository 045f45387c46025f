package fulmarprocess

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// Process is a started process.
type Process struct {
	LogPath string // path of the file that holds its output
	cmd     *exec.Cmd
	done    chan struct{}
	stopped atomic.Bool // Kill or Terminate was called
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// ExitCode waits until the process has ended and returns its exit code, -1 if a signal ended it.
func (p *Process) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// ExitStatus waits until the process has ended and describes its exit code or signal.
func (p *Process) ExitStatus() string {
	<-p.done
	return p.cmd.ProcessState.String()
}

// EndedByItself waits until the process has ended and reports whether neither Kill nor Terminate had been called.
func (p *Process) EndedByItself() bool {
	<-p.done
	return !p.stopped.Load()
}

// PeakMemory returns the greatest resident memory of the running process so far, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, errors.Wrap(err, "fulmarprocess: read memory")
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return kilobytes << 10, errors.Wrap(err, "fulmarprocess: parse memory")
		}
	}
	return 0, errors.New("fulmarprocess: peak memory is not known")
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.stopped.Store(true)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate sends SIGTERM.
func (p *Process) Terminate() {
	p.stopped.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// Freeze suspends the process with SIGSTOP until Resume.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume resumes a frozen process with SIGCONT.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Reload sends SIGHUP, which makes a daemon read its settings again.
func (p *Process) Reload() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

// Start starts a process and appends its output to the file log. It adds env to the environment.
func Start(log string, env []string, path string, args ...string) (*Process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "fulmarprocess: open log")
	}
	defer func() { _ = file.Close() }()
	// The process does not end with the caller's context, so that the caller can
	// stop several processes in order after an interrupt.
	cmd := exec.CommandContext(context.Background(), path, args...)
	cmd.Stdout, cmd.Stderr = file, file
	if len(env) > 0 {
		cmd.Env = append(os.Environ(), env...)
	}
	// In its own process group, the process does not get an interrupt from the terminal.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "fulmarprocess: start process")
	}
	p := &Process{LogPath: log, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}
