package fulmardemo

import (
	"context"
	"net"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const stopWithin = 5 * time.Second

// process is a server that the demonstration started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// spawn starts a process whose output goes to the file named log.
func (d *Demo) spawn(log, path string, args ...string) (*process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "fulmardemo: open log")
	}
	defer func() { _ = file.Close() }()
	// The context is not tied to the caller's, so that stopAll can end the
	// processes in order after an interrupt.
	cmd := exec.CommandContext(context.Background(), path, args...)
	cmd.Stdout, cmd.Stderr = file, file
	// A process group of its own keeps a terminal's interrupt from the process.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "fulmardemo: start process")
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = append(d.processes, p)
	return p, nil
}

// kill ends the process without notice and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// stopAll ends the processes in the reverse order of their start.
func (d *Demo) stopAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := time.After(stopWithin)
	for i := len(d.processes) - 1; i >= 0; i-- {
		_ = d.processes[i].cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range d.processes {
		select {
		case <-p.done:
		case <-limit:
			p.kill()
			limit = time.After(0)
		}
	}
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "fulmardemo: find a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
