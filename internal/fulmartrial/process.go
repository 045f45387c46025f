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
	stopWithin = 5 * time.Second
	// userTick is the unit of CPU time in /proc, which Linux fixes at 100 a second.
	userTick = 10 * time.Millisecond
)

// stop ends processes within a bounded time.
func stop(processes []*fulmarprocess.Process) {
	limit := time.After(stopWithin)
	for _, p := range processes {
		p.Terminate()
	}
	for _, p := range processes {
		select {
		case <-p.Done():
		case <-limit:
			p.Kill()
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

// usageOf reads the figures of a process from /proc.
func usageOf(id int) (usage, error) {
	folder := fmt.Sprintf("/proc/%d/", id)
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
