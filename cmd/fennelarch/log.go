package main

// This file owns the log's way out: lines go by a bounded queue to standard error, and one that finds it full is
// dropped and counted, so that nobody ever waits on the log.

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

type lines struct {
	queue chan []byte
	lost  atomic.Int64
	done  atomic.Int64 // lines taken from the queue and written
	taken atomic.Int64 // lines put into it
}

func (l *lines) Write(p []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), p...):
		l.taken.Add(1)
	default:
		l.lost.Add(1)
	}
	return len(p), nil
}

func (l *lines) Sync() error { return nil }

func (l *lines) run() {
	for p := range l.queue {
		_, _ = os.Stderr.Write(p)
		l.done.Add(1)
		if n := l.lost.Swap(0); n > 0 {
			fmt.Fprintf(os.Stderr, "%d lines of the log were lost\n", n)
		}
	}
}

// flush waits until the lines so far are out, but no longer than so.
func (l *lines) flush(long time.Duration) {
	for end := time.Now().Add(long); l.done.Load() < l.taken.Load() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// newLog returns a log that keeps at most so many lines waiting, and what writes the last of them.
func newLog(queue int, flush time.Duration) (*zap.Logger, func()) {
	l := &lines{queue: make(chan []byte, queue)}
	go l.run()
	conf := zap.NewProductionEncoderConfig()
	conf.EncodeTime = zapcore.ISO8601TimeEncoder
	conf.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(conf), l, zapcore.InfoLevel)
	return zap.New(core), func() { l.flush(flush) }
}
