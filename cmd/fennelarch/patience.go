package main

// This file owns the patience of the program with what fails for a moment: at the start, and when it is told to read its files
// again. What fails for good is said at once.

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"time"

	"fennelarch/internal/system"

	"go.uber.org/zap"
)

const (
	// startPatience is how long a start goes on trying: the platform waits 10 s for a router to be ready.
	startPatience = 8 * time.Second
	// tryEvery is the distance of two tries.
	tryEvery = 100 * time.Millisecond
	// startLook is how long after a file that makes no sense it is looked at again: it may just be written.
	startLook = 250 * time.Millisecond
	// reloadLook is the same at a reload, which goes on with what it has meanwhile.
	reloadLook = 100 * time.Millisecond
)

// verdict says what is to be done about a file that could not be taken.
type verdict uint8

const (
	tryLater  verdict = iota // the system had nothing left for it, for the moment
	lookAgain                // it may be half of a file that is being written
	giveUp                   // it will not become better
)

// reader judges one file, look by look.
type reader struct{ before string }

// judge says what to do about an error; the same one twice, of the file's content, is for good.
func (r *reader) judge(err error) verdict {
	if system.Temporary(err) {
		return tryLater
	}
	again := r.before != err.Error()
	r.before = err.Error()
	if !again || errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrPermission) {
		return giveUp
	}
	return lookAgain
}

// starter tries what a start needs, until its patience is at an end.
type starter struct {
	until time.Time
	told  bool
}

func newStarter() *starter { return &starter{until: time.Now().Add(startPatience)} }

// read calls until what is read can be taken, or never will be.
func (s *starter) read(call func() error) error {
	var r reader
	for {
		err := call()
		if err == nil {
			return nil
		}
		switch verdict := r.judge(err); {
		case verdict == giveUp || time.Now().After(s.until):
			return err
		case verdict == lookAgain:
			time.Sleep(startLook)
		default:
			s.wait(err)
		}
	}
}

// listen opens the address at which clients come. Its last owner may not have left it yet.
func (s *starter) listen(address string) (net.Listener, error) {
	for {
		listener, err := system.Listen("tcp", address)
		if err == nil || !system.Temporary(err) || time.Now().After(s.until) {
			return listener, err
		}
		s.wait(err)
	}
}

// wait says once that the start waits for something, and waits a little.
func (s *starter) wait(err error) {
	if !s.told {
		fmt.Fprintln(os.Stderr, "fennelarch: trying again:", err)
		s.told = true
	}
	time.Sleep(tryEvery)
}

// reload is a file that is read again at a signal, until it is taken or refused.
type reload struct {
	what   string
	take   func() error // reads it and takes it over, or changes nothing
	reader reader
	told   bool
}

// begin has it read anew, at a signal.
func (r *reload) begin(log *zap.Logger) (again time.Duration) {
	r.reader, r.told = reader{}, false
	return r.try(log)
}

// try reads it, and says when to try again: 0 for never.
func (r *reload) try(log *zap.Logger) (again time.Duration) {
	err := r.take()
	if err == nil {
		log.Info(r.what + " read again")
		return 0
	}
	switch r.reader.judge(err) {
	case tryLater:
		if !r.told {
			log.Warn(r.what+" cannot be read for the moment, trying again", zap.Error(err))
			r.told = true
		}
		return tryEvery
	case lookAgain:
		return reloadLook
	}
	log.Warn(r.what+" stays as it was", zap.Error(err))
	return 0
}

// reloads are all files that are read again at a signal, one after the other.
type reloads struct {
	list  []*reload
	again []<-chan time.Time // by file: when it is tried again, nil: not
	log   *zap.Logger
}

func newReloads(log *zap.Logger) *reloads { return &reloads{log: log} }

// add has one more file read again at a signal.
func (r *reloads) add(what string, take func() error) {
	r.list = append(r.list, &reload{what: what, take: take})
	r.again = append(r.again, nil)
}

// begin reads all of them anew.
func (r *reloads) begin() {
	for i, file := range r.list {
		r.schedule(i, file.begin(r.log))
	}
}

// due returns a channel that tells when a file is to be tried again, and which; nil where none is.
func (r *reloads) due() (due <-chan time.Time, which int) {
	for i, again := range r.again {
		if again != nil {
			return again, i
		}
	}
	return nil, 0
}

// retry tries one file again.
func (r *reloads) retry(i int) { r.schedule(i, r.list[i].try(r.log)) }

func (r *reloads) schedule(i int, wait time.Duration) {
	r.again[i] = nil
	if wait > 0 {
		r.again[i] = time.After(wait)
	}
}
