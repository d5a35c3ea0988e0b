package main

// This file writes the log: lines go through a bounded queue to standard error. If the queue is full, lines are dropped
// and counted, so that logging never blocks.

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// flushPollInterval is the pause between two checks by flush whether all lines are written.
const flushPollInterval = time.Millisecond

// logQueue is a [zapcore.WriteSyncer] that never blocks.
type logQueue struct {
	lines   chan []byte
	queued  atomic.Int64 // lines put into the queue so far
	written atomic.Int64 // lines taken from the queue and written so far
	dropped atomic.Int64 // lines dropped since the last report of dropped lines
}

// Write queues a copy of a line, or drops the line if the queue is full.
func (q *logQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
		q.queued.Add(1)
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, because the program flushes the queue before it exits.
func (q *logQueue) Sync() error { return nil }

// run writes the queued lines until the program exits.
func (q *logQueue) run() {
	for line := range q.lines {
		_, _ = os.Stderr.Write(line)
		q.written.Add(1)
		if dropped := q.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(os.Stderr, "%d log lines dropped\n", dropped)
		}
	}
}

// flush waits until all queued lines are written, or until the timeout.
func (q *logQueue) flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for q.written.Load() < q.queued.Load() && time.Now().Before(deadline) {
		time.Sleep(flushPollInterval)
	}
}

// newLog returns a logger with a queue of queueLength lines, and a function that flushes the queue.
func newLog(queueLength int, flushTimeout time.Duration) (*zap.Logger, func()) {
	queue := &logQueue{lines: make(chan []byte, queueLength)}
	go queue.run()
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(encoding), queue, zapcore.InfoLevel)
	return zap.New(core), func() { queue.flush(flushTimeout) }
}
