package main

import (
	"errors"
	"fmt"
	"io/fs"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

func TestRetryPolicyClassifiesErrors(t *testing.T) {
	noDescriptor := fmt.Errorf("open config.json: %w", syscall.ENFILE)
	invalid, invalidElsewhere := errors.New("line 4: unexpected end"), errors.New("line 9: unexpected end")
	for name, test := range map[string]struct {
		errs []error // errors of the successive loads
		want retryAction
	}{
		"no descriptor, repeatedly":        {[]error{noDescriptor, noDescriptor, noDescriptor}, retrySoon},
		"half-written file":                {[]error{invalid}, rereadFile},
		"file that still grows":            {[]error{invalid, invalidElsewhere}, rereadFile},
		"invalid file":                     {[]error{invalid, invalid}, giveUp},
		"invalid file, then no descriptor": {[]error{invalid, noDescriptor, invalid}, giveUp},
		"missing file":                     {[]error{fmt.Errorf("open: %w", fs.ErrNotExist)}, giveUp},
		"no permission":                    {[]error{fmt.Errorf("open: %w", syscall.EACCES)}, giveUp},
	} {
		t.Run(name, func(t *testing.T) {
			var policy retryPolicy
			var got retryAction
			for _, err := range test.errs {
				got = policy.classifyError(err)
			}
			if got != test.want {
				t.Errorf("got action %d, want %d", got, test.want)
			}
		})
	}
}

func TestStartupRetryEndsWithSuccessOrDeadline(t *testing.T) {
	retry := newStartupRetry()
	retry.isLogged = true // keeps the line out of the test output
	calls := 0
	err := retry.load(func() error {
		if calls++; calls < 3 {
			return syscall.EMFILE
		}
		return nil
	})
	if err != nil || calls != 3 {
		t.Errorf("got error %v after %d calls, want success after 3", err, calls)
	}
	retry.deadline = time.Now()
	if err := retry.load(func() error { return syscall.EMFILE }); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("after the deadline: got error %v, want EMFILE", err)
	}
}

// A file that fails temporarily must be retried until it is applied. A file that is rejected must not be retried.
func TestReloaderRetriesEachFile(t *testing.T) {
	reloads := newReloader(zap.NewNop())
	calls := 0
	reloads.add("temporarily unreadable", func() error {
		if calls++; calls < 3 {
			return syscall.EMFILE
		}
		return nil
	})
	reloads.add("invalid", func() error { return errors.New("line 1: no number") })
	reloads.reloadAll()
	for range 10 {
		due, file := reloads.nextRetry()
		if due == nil {
			break
		}
		<-due
		reloads.reload(file)
	}
	if due, _ := reloads.nextRetry(); calls != 3 || due != nil {
		t.Errorf("got %d tries, retry pending: %v, want 3 tries and no pending retry", calls, due != nil)
	}
}
