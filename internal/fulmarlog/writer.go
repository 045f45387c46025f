package fulmarlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarring"
)

const (
	capacity = 2048                  // lines that may wait
	gather   = 20 * time.Millisecond // in which lines are written together
	maxBatch = 64 << 10              // bytes written by one call
)

// Writer is an io.Writer for complete lines; it is safe for concurrent use.
type Writer struct {
	out     io.Writer
	rate    int64
	ring    *fulmarring.Ring[[]byte]
	dropped atomic.Int64
	second  atomic.Int64
	lines   atomic.Int64 // in second
	done    sync.WaitGroup
}

// New returns a writer of at most rate lines a second to out; Close ends it.
func New(out io.Writer, rate int) *Writer {
	w := &Writer{out: out, rate: int64(rate), ring: fulmarring.New[[]byte](capacity)}
	w.done.Go(w.run)
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if w.second.Swap(now) != now {
		w.lines.Store(0)
	}
	if w.lines.Add(1) > w.rate || !w.ring.TryPut(bytes.Clone(line)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and returns.
func (w *Writer) Close() {
	w.ring.Close()
	w.done.Wait()
}

func (w *Writer) run() {
	var batch bytes.Buffer
	for {
		line, ok := w.ring.Get(context.Background())
		if !ok {
			return
		}
		batch.Reset()
		batch.Write(line)
		time.Sleep(gather)
		w.fill(&batch)
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(&batch, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n", time.Now().Format(time.RFC3339Nano), n)
		}
		// A log that cannot be written has no other place to go.
		_, _ = w.out.Write(batch.Bytes())
	}
}

// fill adds the lines that wait, up to the size of a batch.
func (w *Writer) fill(batch *bytes.Buffer) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for batch.Len() < maxBatch {
		line, ok := w.ring.Get(ended) // an ended context returns only what waits
		if !ok {
			return
		}
		batch.Write(line)
	}
}
