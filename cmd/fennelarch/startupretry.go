package main

// This file retries what the program needs at startup: readable files and a free listen address. Temporary failures are
// retried until a deadline; permanent failures end the program at once.

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"time"

	"fennelarch/internal/system"
)

const (
	// startupRetryFor is how long startup is retried. The platform waits 10 s for a router to be ready.
	startupRetryFor = 8 * time.Second
	// retryInterval is the pause after a failure for lack of a system resource.
	retryInterval = 100 * time.Millisecond
	// startupRereadAfter is the pause before a file with invalid content is read again, as it may be half written.
	startupRereadAfter = 250 * time.Millisecond
	// reloadRereadAfter is the same pause during a reload, while the old settings stay in force.
	reloadRereadAfter = 100 * time.Millisecond
)

// retryAction is the reaction to a file that could not be loaded.
type retryAction uint8

const (
	retrySoon  retryAction = iota // the system lacks a resource, such as a descriptor
	rereadFile                    // the content is invalid, perhaps because the file is being written
	giveUp                        // the failure is permanent
)

// retryPolicy decides whether to retry one file, from the errors of its successive loads.
type retryPolicy struct{ lastContentError string }

// classifyError returns the reaction to an error. A missing file, a missing permission and the second occurrence of the
// same content error are permanent.
func (p *retryPolicy) classifyError(err error) retryAction {
	if system.IsTemporary(err) {
		return retrySoon
	}
	isRepeated := p.lastContentError == err.Error()
	p.lastContentError = err.Error()
	if isRepeated || errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrPermission) {
		return giveUp
	}
	return rereadFile
}

// startupRetry retries the steps of startup until a common deadline.
type startupRetry struct {
	deadline time.Time
	isLogged bool
}

func newStartupRetry() *startupRetry { return &startupRetry{deadline: time.Now().Add(startupRetryFor)} }

func (s *startupRetry) isExpired() bool { return time.Now().After(s.deadline) }

// load calls loadFile until it succeeds, fails permanently, or fails after the deadline.
func (s *startupRetry) load(loadFile func() error) error {
	var policy retryPolicy
	for {
		err := loadFile()
		if err == nil {
			return nil
		}
		action := policy.classifyError(err)
		switch {
		case action == giveUp || s.isExpired():
			return err
		case action == rereadFile:
			time.Sleep(startupRereadAfter)
		default:
			s.wait(err)
		}
	}
}

// listen opens the listen address. It retries, because an earlier process may not have released the address yet.
func (s *startupRetry) listen(address string) (net.Listener, error) {
	for {
		listener, err := system.Listen("tcp", address)
		if err == nil || !system.IsTemporary(err) || s.isExpired() {
			return listener, err
		}
		s.wait(err)
	}
}

// wait pauses before a retry. The first retry is logged.
func (s *startupRetry) wait(err error) {
	if !s.isLogged {
		fmt.Fprintln(os.Stderr, "fennelarch: startup is retried:", err)
		s.isLogged = true
	}
	time.Sleep(retryInterval)
}
