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
		errs []error // in the order of the attempts
		want retryAction
	}{
		"no descriptor, repeatedly":          {[]error{noDescriptor, noDescriptor, noDescriptor}, retrySoon},
		"half a file":                        {[]error{invalid}, rereadFile},
		"a file that still grows":            {[]error{invalid, invalidElsewhere}, rereadFile},
		"an invalid file":                    {[]error{invalid, invalid}, giveUp},
		"an invalid file, and no descriptor": {[]error{invalid, noDescriptor, invalid}, giveUp},
		"no file":                            {[]error{fmt.Errorf("open: %w", fs.ErrNotExist)}, giveUp},
		"no permission":                      {[]error{fmt.Errorf("open: %w", syscall.EACCES)}, giveUp},
	} {
		t.Run(name, func(t *testing.T) {
			var policy retryPolicy
			var got retryAction
			for _, err := range test.errs {
				got = policy.classifyError(err)
			}
			if got != test.want {
				t.Errorf("%d, not %d", got, test.want)
			}
		})
	}
}

func TestStartupRetryEndsWithSuccessOrDeadline(t *testing.T) {
	retry := newStartupRetry()
	retry.isLogged = true // no line among the test's
	calls := 0
	err := retry.load(func() error {
		if calls++; calls < 3 {
			return syscall.EMFILE
		}
		return nil
	})
	if err != nil || calls != 3 {
		t.Errorf("%v after %d calls", err, calls)
	}
	retry.deadline = time.Now()
	if err := retry.load(func() error { return syscall.EMFILE }); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("past the deadline: %v", err)
	}
}

// A file that fails temporarily is retried until it is applied; one that is rejected is not retried.
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
		t.Errorf("applied after %d attempts, still waiting: %v", calls, due != nil)
	}
}
