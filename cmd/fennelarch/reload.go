package main

// This file handles reloads on SIGHUP: the configuration and the operator's file are read again, with retries until
// each is applied or rejected.

import (
	"fmt"
	"os"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/operatorconfig"

	"go.uber.org/zap"
)

// fileReload is a file to reload and the state of its retries.
type fileReload struct {
	name          string
	load          func() error // reads and applies the file, or changes nothing
	policy        retryPolicy
	isRetryLogged bool
	retryDue      <-chan time.Time // fires when the next retry is due; nil if there is none
}

// reloader reloads files in the order in which they were added.
type reloader struct {
	files []*fileReload
	log   *zap.Logger
}

func newReloader(log *zap.Logger) *reloader { return &reloader{log: log} }

// add adds a file to the reloader.
func (r *reloader) add(name string, load func() error) {
	r.files = append(r.files, &fileReload{name: name, load: load})
}

// reloadAll reloads every file. Pending retries of an earlier reload are dropped.
func (r *reloader) reloadAll() {
	for _, file := range r.files {
		file.policy, file.isRetryLogged = retryPolicy{}, false
		r.reload(file)
	}
}

// nextRetry returns a file with a pending retry and a channel that fires when the retry is due. Both are nil if there
// is none.
func (r *reloader) nextRetry() (<-chan time.Time, *fileReload) {
	for _, file := range r.files {
		if file.retryDue != nil {
			return file.retryDue, file
		}
	}
	return nil, nil
}

// reload tries once to load a file, and schedules a retry if the failure is temporary.
func (r *reloader) reload(file *fileReload) {
	file.retryDue = nil
	if wait := r.tryLoad(file); wait > 0 {
		file.retryDue = time.After(wait)
	}
}

// tryLoad tries once to load a file. It returns the pause before the next try, or 0 if there is none.
func (r *reloader) tryLoad(file *fileReload) time.Duration {
	err := file.load()
	if err == nil {
		r.log.Info(file.name + " reloaded")
		return 0
	}
	switch file.policy.classifyError(err) {
	case retrySoon:
		if !file.isRetryLogged {
			r.log.Warn(file.name+" temporarily unreadable, retrying", zap.Error(err))
			file.isRetryLogged = true
		}
		return retryInterval
	case rereadFile:
		return reloadRereadAfter
	case giveUp:
		r.log.Warn(file.name+" not reloaded", zap.Error(err))
	}
	return 0
}

// newReloader returns a reloader of the files with which this router was started.
func (r *router) newReloader() *reloader {
	reloads := newReloader(r.log)
	reloads.add("configuration", r.reloadConfig)
	if r.operatorPath != "" {
		reloads.add("operator's file", r.reloadOperatorFile)
	}
	return reloads
}

// reloadConfig applies the only part of the configuration that may change while the router runs, the address of the
// discovery server. A log line warns if other parts have changed, because they take effect only at the next start.
func (r *router) reloadConfig() error {
	changed, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	if changed.ImmutableText != r.config.ImmutableText {
		r.log.Warn("configuration: only the discovery address changes before a restart")
	}
	r.watcher.SetAddress(changed.DiscoveryAddress)
	return nil
}

// reloadOperatorFile reads the operator's file again and applies it. If the file is invalid, or changes a part that is
// fixed while the router runs, nothing is applied.
func (r *router) reloadOperatorFile() error {
	changed, err := operatorconfig.Load(r.operatorPath)
	if err != nil {
		return err
	}
	if part := r.operatorFile.Load().ImmutableChange(changed); part != "" {
		return fmt.Errorf("cannot change while the router runs: %s", part)
	}
	settings, err := admissionSettings(changed, r.config)
	if err != nil {
		return err
	}
	if changed.TLS != nil {
		if err := r.tlsKeys.Load(tlsFiles(changed.TLS)); err != nil {
			return err
		}
	}
	r.frontend.UpdateAdmissionSettings(settings)
	r.stores.updateSettings(changed, r.config)
	r.operatorFile.Store(changed)
	return nil
}
