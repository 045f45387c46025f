package fulmartrial

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	stopWithin = 5 * time.Second
	// userTick is the unit of CPU time in /proc, which Linux fixes at 100 a second.
	userTick = 10 * time.Millisecond
)

// process is a server that the trial started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// spawn starts a process whose output is appended to the file named log.
func spawn(log, path string, args ...string) (*process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "fulmartrial: open log")
	}
	defer func() { _ = file.Close() }()
	// The fleet ends its processes itself, in order, also after an interrupt.
	cmd := exec.CommandContext(context.Background(), path, args...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "fulmartrial: start process")
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// kill ends the process without notice and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// stop ends processes within a bounded time.
func stop(processes []*process) {
	limit := time.After(stopWithin)
	for _, p := range processes {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range processes {
		select {
		case <-p.done:
		case <-limit:
			p.kill()
			limit = time.After(0)
		}
	}
}

// usage is what a process has used so far.
type usage struct {
	cpu     time.Duration
	memory  uint64 // resident bytes
	read    uint64 // bytes of all read calls, of sockets as well
	written uint64
}

// usage reads the process's figures from /proc.
func (p *process) usage() (usage, error) {
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	var u usage
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return u, errors.Wrap(err, "fulmartrial: read usage")
	}
	// The name in brackets may have spaces; user and system time are the 12th
	// and 13th fields after it.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, text := range fields[11:13] {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return u, errors.Wrap(err, "fulmartrial: parse CPU time")
		}
		u.cpu += time.Duration(n) * userTick
	}
	memory, err := os.ReadFile(folder + "statm")
	if err != nil {
		return u, errors.Wrap(err, "fulmartrial: read usage")
	}
	pages, err := strconv.ParseUint(strings.Fields(string(memory))[1], 10, 64)
	if err != nil {
		return u, errors.Wrap(err, "fulmartrial: parse memory")
	}
	u.memory = pages * uint64(os.Getpagesize())
	io, err := os.ReadFile(folder + "io")
	if err != nil {
		return u, errors.Wrap(err, "fulmartrial: read usage")
	}
	_, err = fmt.Sscanf(string(io), "rchar: %d\nwchar: %d", &u.read, &u.written)
	return u, errors.Wrap(err, "fulmartrial: parse bytes")
}

// load returns the machine's load average of the last minute.
func load() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

// The ports of servers are below those that Linux gives to outgoing connections,
// one of which could otherwise take a port before its server listens.
const firstPort, lastPort = 15000, 32000

// ports counts up from a start that differs between trials that run at a time.
var ports = func() *atomic.Int64 {
	n := new(atomic.Int64)
	n.Store(rand.Int64N(lastPort - firstPort))
	return n
}()

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	for range lastPort - firstPort {
		port := firstPort + ports.Add(1)%(lastPort-firstPort)
		l, err := config.Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			return l.Addr().String(), nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return "", errors.New("fulmartrial: no port is free")
}
