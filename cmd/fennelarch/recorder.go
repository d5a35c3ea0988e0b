package main

// This file dumps the flight recorder, and records and logs stalls of the process.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"fennelarch/internal/flightrecorder"

	"go.uber.org/zap"
)

// minLoggedStall is the shortest stall that is logged. Shorter stalls are common on a busy machine.
const minLoggedStall = 250 * time.Millisecond

// watchStalls records stalls of the process until the context ends.
func (r *router) watchStalls(ctx context.Context) {
	r.monitor.StallDetector().Run(ctx, func(duration time.Duration) {
		r.monitor.Record(flightrecorder.Entry{Event: flightrecorder.Stalled, Value: duration.Milliseconds()})
		if duration >= minLoggedStall {
			r.log.Warn("process stalled", zap.Duration("duration", duration))
		}
	})
}

// dumpRecorderOnSignals dumps the flight recorder on each signal.
func (r *router) dumpRecorderOnSignals(signals <-chan os.Signal) {
	for range signals {
		r.writeRecorder(r.monitor.Recorder(), "signal")
	}
}

// dumpMutex serializes dumps, because two of them may go to the same file.
var dumpMutex sync.Mutex

// writeRecorder appends the events of the flight recorder to a file named after the router, the process and the reason,
// or writes them to standard error if no folder is set.
func (r *router) writeRecorder(recorder *flightrecorder.Recorder, reason string) {
	dumpMutex.Lock()
	defer dumpMutex.Unlock()
	if r.recorderFolder == "" {
		_, _ = recorder.WriteTo(os.Stderr)
		return
	}
	name := fmt.Sprintf("recorder-%s-%d-%s.txt", r.config.Name, os.Getpid(), reason)
	path := filepath.Join(r.recorderFolder, name)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		r.log.Warn("flight recorder not written", zap.Error(err))
		return
	}
	_, err = recorder.WriteTo(file)
	err = errors.Join(err, file.Close())
	r.log.Info("flight recorder written", zap.String("file", path), zap.String("reason", reason), zap.Error(err))
}
