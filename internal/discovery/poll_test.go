package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/stalldetect"
)

// Every kind of failed poll is retried, also at another address, and each event comes once and in order.
func TestFailedPollsAreRetried(t *testing.T) {
	watcher := newTestWatcher()
	var polls atomic.Int64
	var secondAddress string
	serve := func(w http.ResponseWriter, r *http.Request) {
		after, end := afterParameter(r), r.Context().Done()
		switch number := polls.Add(1); {
		case r.URL.Path != "/bulletins" || r.FormValue("patience") != "50":
			t.Errorf("asked for %s", r.URL)
		case number == 2:
			http.Error(w, "no", http.StatusInternalServerError)
		case number == 3: // breaks off
			_, _ = fmt.Fprint(w, `{"no":9,"ite`)
		case number == 4:
			panic(http.ErrAbortHandler)
		case number == 5: // never responds
			<-end
		case number == 6: // begins, and stalls
			_, _ = fmt.Fprint(w, pageText(after+2, purgeEvent(after+1), purgeEvent(after+2))[:90])
			_ = http.NewResponseController(w).Flush()
			<-end
		case number == 7: // the address changes during the poll
			watcher.SetAddress(secondAddress)
			<-end
		default:
			if number > 7 && r.Host != secondAddress {
				t.Errorf("asked %s", r.Host)
			}
			_, _ = fmt.Fprint(w, pageText(after+1, purgeEvent(after+1)))
		}
	}
	firstAddress := startServer(t, serve)
	secondAddress = startServer(t, serve)
	groups := runWatcher(t, watcher, firstAddress)
	for want := 1; want <= 20; want++ {
		expectGroup(t, groups, want)
	}
}

// An event that takes longer than the stall timeout, but keeps coming, is waited for: it would take as long the next
// time.
func TestEventInPieces(t *testing.T) {
	long := strings.Replace(pageText(1, purgeEvent(1)), `"recall"`, `"odd":"`+strings.Repeat("x", 600)+`","recall"`, 1)
	groups := runWatcher(t, newTestWatcher(), startServer(t, func(w http.ResponseWriter, r *http.Request) {
		writeSlowly(w, r, long, 20, 20*time.Millisecond)
	}))
	expectGroup(t, groups, 1)
}

// A page that never ends is cut off and its events are delivered; the next one continues from there.
func TestEndlessPage(t *testing.T) {
	watcher := newTestWatcher(func(options *Options) { options.Limits.PollPageTimeout = 300 * time.Millisecond })
	groups := runWatcher(t, watcher, startServer(t, func(w http.ResponseWriter, r *http.Request) {
		writeSlowly(w, r, `{"no":1000000,"items":[`, 100, 0)
		number := afterParameter(r) + 1
		for writeSlowly(w, r, purgeEvent(number)+",", 100, 10*time.Millisecond) {
			number++
		}
	}))
	for want := 1; want <= 60; want++ {
		expectGroup(t, groups, want)
	}
}

// While the server can't be reached, a dial gets no answer. It is given up soon, and another one reaches the server.
func TestDialIsGivenUpSoon(t *testing.T) {
	var dials atomic.Int64
	watcher := newTestWatcher(func(options *Options) {
		options.Limits.PollTimeout = time.Hour // the timeout of the dial has to do it
		options.Limits.DiscoveryDialTimeout = 50 * time.Millisecond
		options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) <= 3 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	})
	groups := runWatcher(t, watcher, startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, pageText(1, purgeEvent(1)))
	}))
	expectGroup(t, groups, 1)
}

// Events of a prompt response may be as old as the previous response, those of a poll that waited are new, and the
// first ones of a process may be of any age.
func TestMaxEventAge(t *testing.T) {
	watcher := newTestWatcher(func(options *Options) { options.Stalls = stalldetect.New() })
	stalls := watcher.stalls
	watcher.stalls = nil
	now := time.Now()
	before := func(ago time.Duration) time.Time { return now.Add(-ago) }
	if got := watcher.maxEventAge(before(time.Second), now); got != engine.AgeBeforeStart {
		t.Errorf("at first: %v", got)
	}
	watcher.lastResponse = before(5 * time.Second)
	if got := watcher.maxEventAge(before(10*time.Millisecond), now); got != 5*time.Second {
		t.Errorf("after an outage: %v", got)
	}
	if got := watcher.maxEventAge(before(time.Second), now); got != 0 {
		t.Errorf("while it waited: %v", got)
	}
	watcher.stalls = stalls
	time.Sleep(70 * time.Millisecond) // the detector is not run, as in a process that is stopped
	if got := watcher.maxEventAge(time.Now().Add(-time.Second), time.Now()); got < 5*time.Second {
		t.Errorf("while the process was stopped: %v", got)
	}
}

// OnCurrent is called with the start of a poll whose page ends with the last event, not where a number is missing.
func TestOnCurrentOnceCaughtUp(t *testing.T) {
	current := make(chan time.Time, 100)
	watcher := newTestWatcher(func(options *Options) {
		options.OnCurrent = func(asOf time.Time) { current <- asOf }
	})
	var polls atomic.Int64
	polledAt := make(chan time.Time, 2) // the first two polls
	groups := runWatcher(t, watcher, startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		switch polls.Add(1) {
		case 1: // not current: 2 to 4 are missing
			polledAt <- time.Now()
			_, _ = fmt.Fprint(w, pageText(5, purgeEvent(1), purgeEvent(5)))
		case 2:
			polledAt <- time.Now()
			_, _ = fmt.Fprint(w, pageText(2, purgeEvent(2)))
		default:
			_, _ = fmt.Fprint(w, pageText(2))
		}
	}))
	expectGroup(t, groups, 1)
	expectGroup(t, groups, 2)
	select {
	case asOf := <-current:
		if first, second := <-polledAt, <-polledAt; !asOf.After(first) || asOf.After(second) {
			t.Errorf("it is current as of %v, polls came at %v and %v", asOf, first, second)
		}
	case <-time.After(10 * time.Second):
		t.Error("it never counts as current")
	}
}
