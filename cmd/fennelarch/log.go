package main

// The log's output: lines go through a bounded queue to standard error. One that finds the queue full is dropped and
// counted, so that nothing ever waits on the log.

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// flushPollInterval is how often flush looks whether the queue has been written.
const flushPollInterval = time.Millisecond

// logQueue is a zapcore.WriteSyncer that never blocks.
type logQueue struct {
	lines   chan []byte
	queued  atomic.Int64 // lines put into the queue
	written atomic.Int64 // lines taken from it and written
	dropped atomic.Int64 // lines dropped since that was last reported
}

// Write queues a copy of a line, or drops it.
func (q *logQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
		q.queued.Add(1)
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: the program flushes at its end.
func (q *logQueue) Sync() error { return nil }

// run writes the lines of the queue for as long as the program runs.
func (q *logQueue) run() {
	for line := range q.lines {
		_, _ = os.Stderr.Write(line)
		q.written.Add(1)
		if dropped := q.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(os.Stderr, "%d log lines dropped\n", dropped)
		}
	}
}

// flush waits until all lines so far are written, or a timeout is over.
func (q *logQueue) flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for q.written.Load() < q.queued.Load() && time.Now().Before(deadline) {
		time.Sleep(flushPollInterval)
	}
}

// newLog returns a log whose queue holds a number of lines, and a function that flushes it.
func newLog(queueLength int, flushTimeout time.Duration) (*zap.Logger, func()) {
	queue := &logQueue{lines: make(chan []byte, queueLength)}
	go queue.run()
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(encoding), queue, zapcore.InfoLevel)
	return zap.New(core), func() { queue.flush(flushTimeout) }
}
