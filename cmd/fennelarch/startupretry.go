package main

// Retries of what the program needs at its start: readable files and a free listen address. Temporary failures are
// retried until a deadline, permanent ones end the start at once.

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
	// startupRetryFor bounds the retries of a start: the platform waits 10 s for a router to be ready.
	startupRetryFor = 8 * time.Second
	// retryInterval is the pause after a failure for want of a resource of the system.
	retryInterval = 100 * time.Millisecond
	// startupRereadAfter is the pause before a file with invalid content is read once more: it may be half written.
	startupRereadAfter = 250 * time.Millisecond
	// reloadRereadAfter is the same pause at a reload, during which the old settings stay in force.
	reloadRereadAfter = 100 * time.Millisecond
)

// retryAction is what to do about a file that could not be loaded.
type retryAction uint8

const (
	retrySoon  retryAction = iota // the system lacked a resource, such as a descriptor
	rereadFile                    // the content is invalid, perhaps because the file is being written
	giveUp                        // the failure is permanent
)

// retryPolicy decides whether to retry one file, given the errors of its attempts in order.
type retryPolicy struct{ lastContentError string }

// classifyError returns what to do about an error. The same content error twice is permanent.
func (p *retryPolicy) classifyError(err error) retryAction {
	if system.Temporary(err) {
		return retrySoon
	}
	isRepeated := p.lastContentError == err.Error()
	p.lastContentError = err.Error()
	if isRepeated || errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrPermission) {
		return giveUp
	}
	return rereadFile
}

// startupRetry retries the steps of a start until a common deadline.
type startupRetry struct {
	deadline time.Time
	isLogged bool
}

func newStartupRetry() *startupRetry { return &startupRetry{deadline: time.Now().Add(startupRetryFor)} }

func (s *startupRetry) isExpired() bool { return time.Now().After(s.deadline) }

// load calls a function that loads a file until it succeeds or has failed permanently.
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

// listen opens the address for clients. The process that had it before may not have released it yet.
func (s *startupRetry) listen(address string) (net.Listener, error) {
	for {
		listener, err := system.Listen("tcp", address)
		if err == nil || !system.Temporary(err) || s.isExpired() {
			return listener, err
		}
		s.wait(err)
	}
}

// wait pauses before a retry; the first one is logged.
func (s *startupRetry) wait(err error) {
	if !s.isLogged {
		fmt.Fprintln(os.Stderr, "fennelarch: startup is retried:", err)
		s.isLogged = true
	}
	time.Sleep(retryInterval)
}
