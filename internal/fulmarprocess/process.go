package fulmarprocess

import (
	"context"
	"os"
	"os/exec"
	"syscall"

	"github.com/pkg/errors"
)

// Process is a server that a test started.
type Process struct {
	LogPath string // path of its output
	cmd     *exec.Cmd
	done    chan struct{}
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// ExitCode returns the exit code of a process that has ended, -1 if a signal ended it.
func (p *Process) ExitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// State describes how a process has ended.
func (p *Process) ExitStatus() string {
	<-p.done
	return p.cmd.ProcessState.String()
}

// Kill ends the process without notice and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate asks the process to end.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Freeze stops the process until Resume.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Reload tells the process that its settings have changed.
func (p *Process) Reload() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

// Start starts a process whose output goes to the file named log. env is added to the environment.
func Start(log string, env []string, path string, args ...string) (*Process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "fulmarprocess: open log")
	}
	defer func() { _ = file.Close() }()
	// The context is not tied to the caller's, so that stop can end the
	// processes in order after an interrupt.
	cmd := exec.CommandContext(context.Background(), path, args...)
	cmd.Stdout, cmd.Stderr = file, file
	if len(env) > 0 {
		cmd.Env = append(os.Environ(), env...)
	}
	// A process group of its own keeps a terminal's interrupt from the process.
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
