package fulmarfleet

import (
	"context"
	"math/rand/v2"
	"net"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarprocess"
)

// module is the path of the Go module that contains the programs.
const module = "github.com/fulmarbend/fulmarbend"

// Programs holds the paths of the programs that a fleet runs.
type Programs struct {
	Daemon string
	Lab    string // with the commands platform and target
}

// Build builds the programs into folder. The working directory must be within the module.
func Build(ctx context.Context, folder string) (Programs, error) {
	p := Programs{Daemon: filepath.Join(folder, "fulmarbend"), Lab: filepath.Join(folder, "fulmarlab")}
	for _, path := range []string{p.Daemon, p.Lab} {
		build := exec.CommandContext(ctx, "go", "build", "-o", path, module+"/cmd/"+filepath.Base(path))
		if out, err := build.CombinedOutput(); err != nil {
			return p, errors.Wrapf(err, "fulmarfleet: build %s: %s", filepath.Base(path), out)
		}
	}
	return p, nil
}

// processes holds the processes that a fleet started, in the order of their start.
type processes struct {
	mu   sync.Mutex
	list []*fulmarprocess.Process
}

// spawn starts a process whose output goes to the file with the path log.
func (l *processes) spawn(log, path string, args ...string) (*fulmarprocess.Process, error) {
	p, err := fulmarprocess.Start(log, nil, path, args...)
	if err != nil {
		return nil, errors.Wrap(err, "fulmarfleet: start process")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, p)
	return p, nil
}

// stop resumes and terminates the processes in the reverse order of their start,
// and kills those that have not ended within grace. Unless grace is positive, it
// kills them without terminating them first.
func (l *processes) stop(grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout := time.After(grace)
	for i := len(l.list) - 1; i >= 0 && grace > 0; i-- {
		l.list[i].Resume()
		l.list[i].Terminate()
	}
	for _, p := range l.list {
		select {
		case <-p.Done():
		case <-timeout:
			p.Kill()
			timeout = time.After(0)
		}
	}
	l.list = nil
}

// Servers listen on ports below the range from which the operating system takes
// the local ports of outgoing connections. Otherwise such a connection could occupy
// a port before its server listens on it.
const (
	firstPort = 15000
	lastPort  = 32000

	portAttempts = 100
)

var nextPort atomic.Int64

// freeAddress returns a loopback address whose port was free when checked. Other
// calls in this process get other ports until all ports were tried.
func freeAddress(ctx context.Context) (string, error) {
	// Each process begins at a random port, so that fleets of different processes
	// rarely try the same one.
	nextPort.CompareAndSwap(0, rand.Int64N(lastPort-firstPort))
	var err error
	for range portAttempts {
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+nextPort.Add(1)%(lastPort-firstPort), 10))
		var l net.Listener
		if l, err = listen(ctx, address); err == nil {
			return address, l.Close()
		}
	}
	return "", err
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	return l, errors.Wrap(err, "fulmarfleet: listen")
}
