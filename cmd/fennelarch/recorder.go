package main

// The flight recorder and the detection of stalls: when they are written, and where to.

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

// loggedStall is the shortest stall that is logged: shorter ones are common on a crowded machine.
const loggedStall = 250 * time.Millisecond

// watchStalls records when the process did not run for a while, until the context ends.
func (r *router) watchStalls(ctx context.Context) {
	r.monitor.Watch().Run(ctx, func(lasted time.Duration) {
		r.monitor.Record(flightrecorder.Entry{Event: flightrecorder.Stalled, Value: lasted.Milliseconds()})
		if lasted >= loggedStall {
			r.log.Warn("process stalled", zap.Duration("duration", lasted))
		}
	})
}

// dumpRecorderAtSignals writes the flight recorder at each signal.
func (r *router) dumpRecorderAtSignals(signals <-chan os.Signal) {
	for range signals {
		r.writeRecorder(r.monitor.Recorder(), "signal")
	}
}

// recorderWriting keeps dumps apart, which may end up in the same file.
var recorderWriting sync.Mutex

// writeRecorder appends the flight recorder to a file of its own, or to standard error where no folder is set.
func (r *router) writeRecorder(recorder *flightrecorder.Recorder, reason string) {
	recorderWriting.Lock()
	defer recorderWriting.Unlock()
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
