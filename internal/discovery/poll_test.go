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
	"fennelarch/policy/notification"
)

// Polls that fail in any way are retried, also at a new address, and each event is delivered once and in order.
func TestFailedPollsAreRetried(t *testing.T) {
	watcher := newTestWatcher()
	var polls atomic.Int64
	var secondAddress string
	serve := func(w http.ResponseWriter, r *http.Request) {
		after, cancelled := afterParameter(r), r.Context().Done()
		switch number := polls.Add(1); {
		case r.URL.Path != "/bulletins" || r.FormValue("patience") != "50":
			t.Errorf("poll of %s, want /bulletins with patience=50", r.URL)
		case number == 2:
			http.Error(w, "no", http.StatusInternalServerError)
		case number == 3: // the response is truncated
			_, _ = fmt.Fprint(w, `{"no":9,"ite`)
		case number == 4:
			panic(http.ErrAbortHandler)
		case number == 5: // there is no response
			<-cancelled
		case number == 6: // the response stalls in its second event
			_, _ = fmt.Fprint(w, pageText(after+2, purgeEvent(after+1), purgeEvent(after+2))[:90])
			_ = http.NewResponseController(w).Flush()
			<-cancelled
		case number == 7: // the address changes during the poll
			watcher.SetAddress(secondAddress)
			<-cancelled
		default:
			if number > 7 && r.Host != secondAddress {
				t.Errorf("poll sent to %s, want the second address", r.Host)
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

// An event that takes longer than the stall timeout but keeps arriving is read to its end: a retry would take as long.
func TestEventInPieces(t *testing.T) {
	long := strings.Replace(pageText(1, purgeEvent(1)), `"recall"`, `"odd":"`+strings.Repeat("x", 600)+`","recall"`, 1)
	groups := runWatcher(t, newTestWatcher(), startServer(t, func(w http.ResponseWriter, r *http.Request) {
		writeSlowly(w, r, long, 20, 20*time.Millisecond)
	}))
	expectGroup(t, groups, 1)
}

// A page that never ends is cut off and its events are delivered. The next poll continues after them.
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

// While the server is unreachable, a dial gets no answer. The dial times out early, and a later one reaches the server.
func TestDialIsGivenUpSoon(t *testing.T) {
	var dials atomic.Int64
	watcher := newTestWatcher(func(options *Options) {
		options.Limits.PollTimeout = time.Hour // so that only the dial timeout can end the dial
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

// Events of a prompt response may be as old as the previous response, those of a poll that the server held are new, and
// those of the first response of a process may be of any age.
func TestMaxEventAge(t *testing.T) {
	watcher := newTestWatcher(func(options *Options) { options.Stalls = stalldetect.New() })
	stalls := watcher.stalls
	watcher.stalls = nil
	now := time.Now()
	before := func(ago time.Duration) time.Time { return now.Add(-ago) }
	if got := watcher.maxEventAge(before(time.Second), now); got != engine.MaxAgeBeforeStart {
		t.Errorf("first response: max age %v, want MaxAgeBeforeStart", got)
	}
	watcher.lastResponse = before(5 * time.Second)
	if got := watcher.maxEventAge(before(10*time.Millisecond), now); got != 5*time.Second {
		t.Errorf("after an outage: max age %v, want 5s", got)
	}
	if got := watcher.maxEventAge(before(time.Second), now); got != 0 {
		t.Errorf("poll that was held: max age %v, want 0", got)
	}
	watcher.stalls = stalls
	time.Sleep(70 * time.Millisecond) // without a beat, as in a stopped process
	if got := watcher.maxEventAge(time.Now().Add(-time.Second), time.Now()); got < 5*time.Second {
		t.Errorf("poll during a stall: max age %v, want at least 5s", got)
	}
}

// The start time of a poll after which no event is missing is reported.
func TestReportsCurrentOnceCaughtUp(t *testing.T) {
	current := make(chan time.Time, 100)
	watcher := newTestWatcher(func(options *Options) {
		options.OnReport = func(report engine.DiscoveryReport) {
			if report.Kind == notification.Current {
				current <- report.At
			}
		}
	})
	var polls atomic.Int64
	polledAt := make(chan time.Time, 2) // times of the first two polls
	groups := runWatcher(t, watcher, startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		switch polls.Add(1) {
		case 1: // not current, as events 2 to 4 are missing
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
			t.Errorf("current as of %v, want a time between the polls at %v and %v", asOf, first, second)
		}
	case <-time.After(10 * time.Second):
		t.Error("no current time was reported")
	}
}
