package fulmartrial

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarprocess"
)

const (
	stopTimeout = 5 * time.Second
	// cpuTick is the unit of CPU times in /proc: Linux reports 100 ticks a second.
	cpuTick = 10 * time.Millisecond
)

// stopProcesses terminates processes and kills those that have not ended
// within stopTimeout.
func stopProcesses(processes []*fulmarprocess.Process) {
	timeout := time.After(stopTimeout)
	for _, p := range processes {
		p.Terminate()
	}
	for _, p := range processes {
		select {
		case <-p.Done():
		case <-timeout:
			p.Kill()
			timeout = time.After(0)
		}
	}
}

// usage is the resource usage of a process since its start.
type usage struct {
	cpu           time.Duration
	residentBytes uint64
	readBytes     uint64 // by read calls on files and sockets
	writtenBytes  uint64 // by write calls on files and sockets
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (usage, error) {
	folder := fmt.Sprintf("/proc/%d/", pid)
	var u usage
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return u, errors.Wrap(err, "fulmartrial: read usage")
	}
	// The command name in parentheses may contain spaces. User and system time
	// are the 12th and 13th fields after it.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, text := range fields[11:13] {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return u, errors.Wrap(err, "fulmartrial: parse CPU time")
		}
		u.cpu += time.Duration(n) * cpuTick
	}
	memory, err := os.ReadFile(folder + "statm")
	if err != nil {
		return u, errors.Wrap(err, "fulmartrial: read usage")
	}
	pages, err := strconv.ParseUint(strings.Fields(string(memory))[1], 10, 64)
	if err != nil {
		return u, errors.Wrap(err, "fulmartrial: parse memory")
	}
	u.residentBytes = pages * uint64(os.Getpagesize())
	io, err := os.ReadFile(folder + "io")
	if err != nil {
		return u, errors.Wrap(err, "fulmartrial: read usage")
	}
	_, err = fmt.Sscanf(string(io), "rchar: %d\nwchar: %d", &u.readBytes, &u.writtenBytes)
	return u, errors.Wrap(err, "fulmartrial: parse read and written bytes")
}

// loadAverage returns the machine's load average of the last minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

// Servers listen on ports below the range from which Linux takes the local ports
// of outgoing connections. Otherwise such a connection could occupy a port before
// its server listens on it.
const firstPort, lastPort = 15000, 32000

// portCounter starts at a random offset, so that trials that run at the same
// time try different ports.
var portCounter = func() *atomic.Int64 {
	n := new(atomic.Int64)
	n.Store(rand.Int64N(lastPort - firstPort))
	return n
}()

// freeAddress returns a loopback address whose port was free when checked.
func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	for range lastPort - firstPort {
		port := firstPort + portCounter.Add(1)%(lastPort-firstPort)
		l, err := config.Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			return l.Addr().String(), nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return "", errors.New("fulmartrial: no free port")
}
