// Package discovery polls the discovery server, which publishes endpoint lists and purges as numbered events. It
// translates each event for the engine and delivers it once, in order. Other packages decide how to act on events.
package discovery

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/stalldetect"
	"fennelarch/internal/system"
	"fennelarch/policy/notification"

	"go.uber.org/zap"
)

// latenessFactor is how many times later than the last response the next one may be before it is overdue.
const latenessFactor = 2

// Options configures a Watcher. The functions and Stalls may be nil.
type Options struct {
	Limits  limits.Limits
	Names   config.Names // kinds and zones that an endpoint may have
	Address string       // address of the discovery server
	Log     *zap.Logger

	// OnReport takes reports on how current the delivered events are, and may be called by several goroutines.
	OnReport func(report engine.DiscoveryReport)
	// Stalls reports whether the process was stopped during a poll.
	Stalls *stalldetect.Detector
	// Dial opens connections to the discovery server; nil means the system's dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Watcher polls a discovery server. Only SetAddress may be called concurrently with other methods.
type Watcher struct {
	limits limits.Limits
	names  config.Names
	log    *zap.Logger
	report func(report engine.DiscoveryReport)
	stalls *stalldetect.Detector
	dial   func(ctx context.Context, network, address string) (net.Conn, error)

	lastPoll      int           // number of the last poll that was sent
	lastCompleted int           // number of the newest poll that brought a page without an error
	lateness      time.Duration // of the last response without an error
	lastEvent     int64         // number of the last event that was delivered or skipped
	firstAfterGap int64         // number of the first event after a gap in an earlier page
	behindSince   time.Time     // when the server first reported a number below lastEvent; zero if it is not behind
	lastResponse  time.Time     // when the last response without an error began; zero if there was none
	isFailing     bool          // the last poll failed, and the failure is logged

	mu         sync.Mutex
	address    string
	hasMoved   bool               // the address has changed since the last poll was sent
	cancelPoll context.CancelFunc // cancels the polls at the current address
}

// New returns a Watcher that has not received any event.
func New(options Options) *Watcher {
	watcher := &Watcher{
		limits: options.Limits, names: options.Names, address: options.Address, log: options.Log,
		report: options.OnReport, stalls: options.Stalls, dial: options.Dial,
	}
	if watcher.report == nil {
		watcher.report = func(engine.DiscoveryReport) {}
	}
	if watcher.dial == nil {
		watcher.dial = system.DialContext
	}
	return watcher
}

// SetAddress makes the watcher poll another discovery server, for the events after the last one received: the event
// numbers continue.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address == address {
		return
	}
	w.log.Info("discovery address changed", zap.String("address", address))
	w.report(engine.DiscoveryReport{Kind: notification.AddressChanged, At: time.Now()})
	w.address, w.hasMoved = address, true
	if w.cancelPoll != nil {
		w.cancelPoll()
	}
}

// pollContext returns the server's address and a context that is cancelled when the address changes.
func (w *Watcher) pollContext(
	ctx context.Context,
) (pollCtx context.Context, address string, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasMoved { // how slow the server was says nothing about another one
		w.lateness, w.hasMoved = 0, false
	}
	pollCtx, w.cancelPoll = context.WithCancel(ctx)
	return pollCtx, w.address, w.cancelPoll
}

// Run polls the discovery server and posts its events until ctx is done.
func (w *Watcher) Run(ctx context.Context, post func(at time.Time, message engine.Message)) {
	client := w.newHTTPClient()
	deliver := func(message engine.Message) { post(time.Now(), message) }
	for ctx.Err() == nil {
		pollCtx, address, cancel := w.pollContext(ctx)
		w.newPoller(pollCtx, client, address, deliver).run()
		cancel()
		client.CloseIdleConnections()
	}
}

// newHTTPClient returns a client with a dial timeout. The operating system retries a connection attempt at growing
// intervals, so an attempt made during an outage may still be waiting seconds after the outage has ended.
func (w *Watcher) newHTTPClient() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, w.limits.DiscoveryDialTimeout)
		defer cancel()
		return w.dial(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, IdleConnTimeout: w.limits.PollTimeout, DisableCompression: true,
	}}
}

// newPoll returns the next poll. The slower the server was last, the later its response counts as overdue, but no later
// than limits.PollPatience after its hold: the server may have stopped since.
func (w *Watcher) newPoll() *poll {
	w.lastPoll++
	now := time.Now()
	patience := min(latenessFactor*w.lateness, w.limits.PollPatience)
	return &poll{
		limits: &w.limits, report: w.report, number: w.lastPoll, after: w.lastEvent, start: now,
		responseTimeout: max(w.limits.PollTimeout, w.limits.PollHold+patience),
		stallTimeout:    max(w.limits.PollStallTimeout, patience),
		overdueAt:       now.Add(w.limits.PollHold + w.limits.PollPatience),
		overdue:         make(chan struct{}, 1),
	}
}

// handleResult applies the events that a poll has brought, and reports how current the delivered events are.
func (w *Watcher) handleResult(result *pollResult, isNewest bool, deliver func(engine.Message)) error {
	if w.isOutdated(result) {
		return nil
	}
	if err := cmp.Or(w.applyResult(result, deliver), result.err); err != nil {
		w.reportFailure(result, isNewest)
		return err
	}
	w.lastCompleted = max(w.lastCompleted, result.poll.number)
	w.lateness = result.lateness()
	if result.respondedAt.After(w.lastResponse) {
		w.lastResponse = result.respondedAt
	}
	if w.lastEvent >= result.page.lastEvent {
		w.report(engine.DiscoveryReport{Kind: notification.Current, At: result.poll.start, EndsPoll: isNewest})
	}
	return nil
}

// applyResult applies the events that a poll, or a part of its response, has brought.
func (w *Watcher) applyResult(result *pollResult, deliver func(engine.Message)) error {
	age := time.Duration(0)
	if !result.respondedAt.IsZero() {
		age = w.maxEventAge(result.poll.start, result.respondedAt) + result.endedAt.Sub(result.respondedAt)
	}
	return w.Apply(&result.page, age, deliver)
}

// isOutdated reports whether a newer poll has brought more. The numbers of an older page do not show a new server then.
func (w *Watcher) isOutdated(result *pollResult) bool {
	return result.poll.number < w.lastCompleted && result.page.lastEvent < w.lastEvent
}

// reportFailure reports how the newest poll failed. An older one was reported as overdue.
func (w *Watcher) reportFailure(result *pollResult, isNewest bool) {
	switch {
	case !isNewest || result.err == nil:
	case result.respondedAt.IsZero():
		w.report(engine.DiscoveryReport{Kind: notification.PollFailed, At: result.endedAt})
	default:
		w.report(engine.DiscoveryReport{Kind: notification.PollBroken, At: result.endedAt})
	}
}

// maxEventAge returns how long before the beginning of its response the events of a poll may have been published. The
// events of a prompt response, or of a poll during which the process stalled, may be as old as the previous response.
// Others were published while the server held the poll.
func (w *Watcher) maxEventAge(start, respondedAt time.Time) time.Duration {
	promptWithin := max(w.limits.PollPromptWithin, latenessFactor*w.lateness)
	switch {
	case w.lastResponse.IsZero():
		return engine.MaxAgeBeforeStart
	case respondedAt.Sub(start) < promptWithin || w.stalls.StalledSince(start, respondedAt):
		return respondedAt.Sub(w.lastResponse)
	}
	return w.lateness
}

// logPoll logs the first of consecutive failures, and the recovery.
func (w *Watcher) logPoll(err error) {
	switch {
	case err == nil && w.isFailing:
		w.log.Info("discovery recovered", zap.Int64("last_event", w.lastEvent))
		w.isFailing = false
	case err != nil && !w.isFailing:
		w.log.Warn("discovery poll failed", zap.Error(err))
		w.isFailing = true
	}
}
