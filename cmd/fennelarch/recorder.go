package main

// This file owns the flight recorder of a router: where it is written to, and when.

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/invariant"
	"fennelarch/internal/stalldetect"

	"go.uber.org/zap"
)

// recordedEvents is how many events the recorder holds: some seconds of a busy router, in a fifth of a megabyte.
const recordedEvents = 4096

// newMonitor returns the guard of the router's invariants, with a flight recorder that is written into a folder at a violation.
func newMonitor(name, folder string, log *zap.Logger) *invariant.Monitor {
	recorder := flightrecorder.New(recordedEvents, invariant.ReasonName)
	return invariant.NewMonitor(log, recorder, stalldetect.New(), func(reason string) {
		go writeRecorder(recorder, name, folder, reason, log)
	})
}

// watchStalls notices that the process stood still, and says so.
func watchStalls(ctx context.Context, monitor *invariant.Monitor, log *zap.Logger) {
	monitor.Watch().Run(ctx, func(lasted time.Duration) {
		monitor.Record(flightrecorder.Entry{Event: flightrecorder.Stalled, Value: lasted.Milliseconds()})
		if lasted >= worthALine {
			log.Warn("the process stood still", zap.Duration("for", lasted))
		}
	})
}

// worthALine is how long a stall must be to be logged: shorter ones are common on a crowded machine.
const worthALine = 250 * time.Millisecond

// dumpAtSignal writes the recorder out at each signal.
func dumpAtSignal(asked <-chan os.Signal, monitor *invariant.Monitor, name, folder string, log *zap.Logger) {
	for range asked {
		writeRecorder(monitor.Recorder(), name, folder, "signal", log)
	}
}

var recorderWriting sync.Mutex

// writeRecorder writes what the recorder holds to a file of its own in the folder, or to standard error where there is none.
func writeRecorder(recorder *flightrecorder.Recorder, name, folder, reason string, log *zap.Logger) {
	recorderWriting.Lock()
	defer recorderWriting.Unlock()
	if folder == "" {
		_, _ = recorder.WriteTo(os.Stderr)
		return
	}
	path := filepath.Join(folder, fmt.Sprintf("recorder-%s-%d-%s.txt", name, os.Getpid(), reason))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		log.Warn("recorder cannot be written", zap.Error(err))
		return
	}
	defer file.Close()
	_, err = recorder.WriteTo(io.Writer(file))
	log.Info("recorder written", zap.String("file", path), zap.String("reason", reason), zap.Error(err))
}
