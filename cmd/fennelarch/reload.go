package main

// Reloads at SIGHUP: the configuration and the operator's file are read again, each until it is applied or rejected.

import (
	"fmt"
	"os"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/operatorconfig"

	"go.uber.org/zap"
)

// fileReload is a file that is reloaded at a signal.
type fileReload struct {
	name          string
	load          func() error // reads and applies the file, or changes nothing
	policy        retryPolicy
	isRetryLogged bool
	retryDue      <-chan time.Time // fires when it is to be retried; nil: it is not
}

// reloader reloads files at a signal, in the order in which they were added.
type reloader struct {
	files []*fileReload
	log   *zap.Logger
}

func newReloader(log *zap.Logger) *reloader { return &reloader{log: log} }

// add includes one more file in each reload.
func (r *reloader) add(name string, load func() error) {
	r.files = append(r.files, &fileReload{name: name, load: load})
}

// reloadAll starts a reload of every file. Retries that are due from an earlier one are dropped.
func (r *reloader) reloadAll() {
	for _, file := range r.files {
		file.policy, file.isRetryLogged = retryPolicy{}, false
		r.reload(file)
	}
}

// nextRetry returns a file to be retried and a channel that fires when that is due; a nil channel where there is none.
func (r *reloader) nextRetry() (<-chan time.Time, *fileReload) {
	for _, file := range r.files {
		if file.retryDue != nil {
			return file.retryDue, file
		}
	}
	return nil, nil
}

// reload makes one attempt at a file, and schedules the next one where it failed temporarily.
func (r *reloader) reload(file *fileReload) {
	file.retryDue = nil
	if wait := r.attempt(file); wait > 0 {
		file.retryDue = time.After(wait)
	}
}

// attempt returns the pause until the next attempt, 0 where there is to be none.
func (r *reloader) attempt(file *fileReload) time.Duration {
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

// newReloader returns the reloader of the files that this router was started with.
func (r *router) newReloader() *reloader {
	reloads := newReloader(r.log)
	reloads.add("configuration", r.reloadConfig)
	if r.operatorPath != "" {
		reloads.add("operator's file", r.reloadOperatorFile)
	}
	return reloads
}

// reloadConfig applies the one part of the configuration that may change while the router runs, the address of the
// discovery server. A log line says where anything else has changed: it has no effect before the next start.
func (r *router) reloadConfig() error {
	changed, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	if changed.Immutable != r.config.Immutable {
		r.log.Warn("configuration: only the discovery address changes before a restart")
	}
	r.watcher.SetAddress(changed.DiscoveryAddress)
	return nil
}

// reloadOperatorFile applies the operator's file, or changes nothing.
func (r *router) reloadOperatorFile() error {
	changed, err := operatorconfig.Load(r.operatorPath)
	if err != nil {
		return err
	}
	if part := r.operatorFile.Load().ImmutableChange(changed); part != "" {
		return fmt.Errorf("cannot_change while the router runs: %s", part)
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
	r.frontend.UpdateAdmission(settings)
	r.stores.updateSettings(changed, r.config)
	r.operatorFile.Store(changed)
	return nil
}
