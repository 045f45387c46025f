package fulmarhistory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// Event kinds.
const (
	KindUp     = "up" // the target's process started, which voids earlier grants
	KindGrant  = "grant"
	KindStart  = "start"
	KindCommit = "commit"
	KindAbort  = "abort"
)

// Event is one line of a target's history.
type Event struct {
	UnixNanos int64  `json:"at"` // wall-clock nanoseconds
	Kind      string `json:"kind"`
	Target    string `json:"target"`
	Service   string `json:"service"`
	Fenced    bool   `json:"fenced"`
	Slot      int    `json:"slot"`
	Slots     []int  `json:"slots,omitempty"` // slots of a grant
	Lapse     int64  `json:"lapse,omitempty"` // expiry of a grant, wall-clock nanoseconds
	Key       string `json:"key,omitempty"`
	ID        string `json:"id,omitempty"`
	Term      uint64 `json:"term,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
	Holder    string `json:"holder,omitempty"`
	Serial    uint64 `json:"serial,omitempty"` // number of the execution within the target's process
	Note      string `json:"note,omitempty"`
}

// Call is one line of the callers' history: one attempt of a request.
type Call struct {
	ID         string `json:"id"`
	Group      string `json:"group"`
	Service    string `json:"service"`
	Key        string `json:"key"`
	Kind       string `json:"kind"` // short, long, or asked for a call that a test sends itself
	AtMostOnce bool   `json:"once"` // the service runs a request at most once
	Attempt    int    `json:"attempt"`
	Start      int64  `json:"start"` // wall-clock nanoseconds
	End        int64  `json:"end"`
	Outcome    string `json:"outcome"` // reported by the daemon, or error without a complete answer
	Reason     string `json:"reason,omitempty"`
	Status     int    `json:"status"`
	WantLength int    `json:"want"` // requested length of the answer in bytes
	Length     int    `json:"length"`
	AnswerID   string `json:"echo,omitempty"` // request id in the answer
}

// Log appends lines to a history. It is safe for concurrent use.
type Log struct {
	mu  sync.Mutex
	out io.Writer
}

// New returns a log that calls out.Write once for each line.
func New(out io.Writer) *Log { return &Log{out: out} }

// Open returns a log that appends to the file named path.
func Open(path string) (*Log, io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, errors.Wrap(err, "fulmarhistory: open log")
	}
	return New(f), f, nil
}

// Append writes one Event or Call as a JSON line.
func (l *Log) Append(line any) error {
	b, err := json.Marshal(line)
	if err != nil {
		return errors.Wrap(err, "fulmarhistory: encode line")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.out.Write(append(b, '\n'))
	return errors.Wrap(err, "fulmarhistory: append line")
}

// Read appends the lines of a history to dst. It ignores a last line without a
// newline: its writer was killed before it could answer for that event.
func Read[T any](dst []T, in io.Reader) ([]T, error) {
	r := bufio.NewReader(in)
	for {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return dst, nil
		}
		if err != nil {
			return dst, errors.Wrap(err, "fulmarhistory: read line")
		}
		var v T
		if err := json.Unmarshal(bytes.TrimSpace(line), &v); err != nil {
			return dst, errors.Wrap(err, "fulmarhistory: decode line")
		}
		dst = append(dst, v)
	}
}

// ReadFiles returns the lines of all files, in the order of paths.
func ReadFiles[T any](paths ...string) ([]T, error) {
	var out []T
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "fulmarhistory: open file")
		}
		out, err = Read(out, f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
	}
	return out, nil
}
