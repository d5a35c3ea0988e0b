package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/policy/notification"
)

// maxTrailingBytes bounds the bytes that are read and discarded after a page so that its connection can be reused.
const maxTrailingBytes = 1 << 10

// poll is one long-poll request and its response. It runs on a goroutine of its own and knows no state of the watcher.
type poll struct {
	limits *limits.Limits
	report func(engine.DiscoveryReport)

	number          int   // polls are numbered in the order in which they are sent
	after           int64 // the last event that had been received
	start           time.Time
	responseTimeout time.Duration // time after which a response that has not begun is overdue
	stallTimeout    time.Duration // time after which a response that makes no progress is overdue
	overdueAt       time.Time     // when a response that has not ended is overdue
	overdue         chan struct{} // receives a value once the response is overdue; the poll goes on

	giveUp      context.CancelFunc
	giveUpTimer *time.Timer
	lateTimer   *time.Timer
}

// pollResult is what a poll has brought.
type pollResult struct {
	poll         *poll
	page         Page      // the events that were received completely, also if there is an error
	err          error     // the response is not complete
	respondedAt  time.Time // when the response began; zero if it did not
	endedAt      time.Time
	longestPause time.Duration // in the response
	isPart       bool          // the response goes on
}

// lateness returns how slow the server was: how much later than its hold the response began, or its longest pause.
func (r *pollResult) lateness() time.Duration {
	return max(0, r.longestPause, r.respondedAt.Sub(r.poll.start)-r.poll.limits.PollHold)
}

// run sends the request and reads the response, until the server is silent for limits.PollGiveUp. It passes on the
// events of a response that does not end soon while the rest is on its way.
func (p *poll) run(
	ctx context.Context, client *http.Client, address string, passOn func(pollResult),
) (result pollResult) {
	ctx, p.giveUp = context.WithCancel(ctx)
	defer p.giveUp()
	p.giveUpTimer = time.AfterFunc(p.limits.PollGiveUp, p.giveUp)
	defer p.giveUpTimer.Stop()
	p.lateTimer = time.AfterFunc(p.responseTimeout, p.markOverdue)
	defer p.lateTimer.Stop()
	result.poll = p
	response, err := p.get(ctx, client, address)
	if err != nil {
		result.err, result.endedAt = err, time.Now()
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.respondedAt = time.Now()
	p.readResponse(response, &result, passOn)
	result.endedAt = time.Now()
	return result
}

func (p *poll) markOverdue() {
	select {
	case p.overdue <- struct{}{}:
	default:
	}
}

// get requests the events after the last one received. The server may hold the request until there is a new event.
func (p *poll) get(ctx context.Context, client *http.Client, address string) (*http.Response, error) {
	url := fmt.Sprintf("http://%s/bulletins?after=%d&patience=%d", address, p.after, p.limits.PollHold.Milliseconds())
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		p.report(engine.DiscoveryReport{Kind: notification.PollSent, At: time.Now(), Hold: p.limits.PollHold})
	}})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("the discovery server returned status %s", response.Status)
	}
	return response, nil
}

// restartLateTimer starts the time within which the response has to go on.
func (p *poll) restartLateTimer() {
	p.lateTimer.Reset(min(p.stallTimeout, max(0, time.Until(p.overdueAt))))
}

// readResponse reads the page in a response.
func (p *poll) readResponse(response *http.Response, result *pollResult, passOn func(pollResult)) {
	p.restartLateTimer()
	reader := &watchedReader{
		reader:     io.LimitReader(response.Body, p.limits.DiscoveryPageBytes),
		poll:       p,
		lastReadAt: result.respondedAt,
		deadline:   result.respondedAt.Add(p.limits.PollPageTimeout),
	}
	passedOnAt := result.respondedAt
	result.page, result.err = readPage(reader, func(page *Page) {
		now := time.Now()
		if now.Sub(passedOnAt) < p.limits.PollPartInterval {
			return
		}
		passedOnAt = now
		passOn(pollResult{poll: p, page: *page, respondedAt: result.respondedAt, endedAt: now, isPart: true})
		page.events = nil
	})
	result.longestPause = reader.longestPause
	if result.err == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxTrailingBytes))
	}
}

// watchedReader restarts the timers of its poll after each read, and ends a response that goes on after the deadline.
type watchedReader struct {
	reader       io.Reader
	poll         *poll
	lastReadAt   time.Time
	longestPause time.Duration
	deadline     time.Time
}

// Read implements io.Reader.
func (r *watchedReader) Read(buffer []byte) (int, error) {
	if time.Now().After(r.deadline) { // returned alone: the decoder may drop an error that comes with data
		return 0, errPageTooLong
	}
	count, err := r.reader.Read(buffer)
	now := time.Now()
	r.longestPause = max(r.longestPause, now.Sub(r.lastReadAt))
	r.lastReadAt = now
	r.poll.restartLateTimer()
	r.poll.giveUpTimer.Reset(r.poll.limits.PollGiveUp)
	return count, err
}
