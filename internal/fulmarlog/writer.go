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
	ringCapacity  = 2048                  // lines
	batchInterval = 20 * time.Millisecond // time for which lines are collected into a batch
	maxBatch      = 64 << 10              // bytes; a batch may exceed it by one line
)

// Writer is a non-blocking io.Writer for log lines; it is safe for concurrent use.
type Writer struct {
	out           io.Writer
	maxRate       int64
	ring          *fulmarring.Queue[[]byte]
	dropped       atomic.Int64
	currentSecond atomic.Int64
	linesInSecond atomic.Int64 // lines written in currentSecond
	done          sync.WaitGroup
}

// New returns a writer that writes at most rate lines per second to out. The
// caller must close it.
func New(out io.Writer, rate int) *Writer {
	w := &Writer{out: out, maxRate: int64(rate), ring: fulmarring.New[[]byte](ringCapacity)}
	w.done.Go(w.run)
	return w
}

// Write queues one complete line, or drops it if the queue is full or the rate is
// exceeded. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if w.currentSecond.Swap(now) != now {
		w.linesInSecond.Store(0)
	}
	if w.linesInSecond.Add(1) > w.maxRate || !w.ring.TryPut(bytes.Clone(line)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer.
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
		time.Sleep(batchInterval)
		w.fillBatch(&batch)
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(&batch, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n", time.Now().Format(time.RFC3339Nano), n)
		}
		// There is no other place to report a failure to write the log.
		_, _ = w.out.Write(batch.Bytes())
	}
}

// fillBatch adds queued lines to batch until it holds maxBatch bytes or the queue is empty.
func (w *Writer) fillBatch(batch *bytes.Buffer) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for batch.Len() < maxBatch {
		line, ok := w.ring.Get(canceled) // with a canceled context, Get returns only lines already queued
		if !ok {
			return
		}
		batch.Write(line)
	}
}
