// Package discovery polls the discovery server, which publishes endpoint lists and purges as numbered events. It
// translates each event for the engine and delivers it once, in order. Other packages decide how to act on events.
package discovery

import (
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

	"go.uber.org/zap"
)

// Options configures a Watcher. The functions and Stalls may be nil.
type Options struct {
	Limits  limits.Limits
	Names   config.Names // kinds and zones that an endpoint may have
	Address string       // address of the discovery server
	Log     *zap.Logger

	// OnCurrent is called when all events published before asOf have been delivered.
	OnCurrent func(asOf time.Time)
	// OnGap is called when a published event will never be delivered.
	OnGap func()
	// Stalls reports whether the process was stopped during a poll.
	Stalls *stalldetect.Detector
	// Dial opens connections to the discovery server; nil means the system's dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Watcher polls a discovery server. Only SetAddress may be called concurrently with other methods.
type Watcher struct {
	limits    limits.Limits
	names     config.Names
	log       *zap.Logger
	onCurrent func(asOf time.Time)
	onGap     func()
	stalls    *stalldetect.Detector
	dial      func(ctx context.Context, network, address string) (net.Conn, error)

	lastEvent     int64     // number of the last event that was delivered or skipped
	firstAfterGap int64     // number of the first event after a gap in an earlier page
	behindSince   time.Time // when the server first reported a number below lastEvent; zero if the server is not behind
	lastResponse  time.Time // when the last page without an error was received; zero if none was
	isFailing     bool      // the last poll failed, and the failure is logged

	mu         sync.Mutex
	address    string
	cancelPoll context.CancelFunc // cancels the current poll, or the pause after it
}

// New returns a Watcher that has not received any event.
func New(options Options) *Watcher {
	watcher := &Watcher{
		limits: options.Limits, names: options.Names, address: options.Address, log: options.Log,
		onCurrent: options.OnCurrent, onGap: options.OnGap, stalls: options.Stalls, dial: options.Dial,
	}
	if watcher.onCurrent == nil {
		watcher.onCurrent = func(time.Time) {}
	}
	if watcher.onGap == nil {
		watcher.onGap = func() {}
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
	w.address = address
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
	pollCtx, w.cancelPoll = context.WithCancel(ctx)
	return pollCtx, w.address, w.cancelPoll
}

// Run polls the discovery server and posts its events until ctx is done.
func (w *Watcher) Run(ctx context.Context, post func(at time.Time, message engine.Message)) {
	client := w.newHTTPClient()
	deliver := func(message engine.Message) { post(time.Now(), message) }
	pause := newBackoff(w.limits.BackoffMin, w.limits.BackoffMax)
	previousAddress := ""
	for ctx.Err() == nil {
		pollCtx, address, cancel := w.pollContext(ctx)
		if address != previousAddress {
			previousAddress = address
			pause.reset()
			client.CloseIdleConnections()
		}
		start, previousEvent := time.Now(), w.lastEvent
		err := w.poll(pollCtx, client, address, deliver)
		w.logPoll(pollCtx, err)
		hasNewEvents := w.lastEvent > previousEvent
		wasHeld := err == nil && time.Since(start) > w.limits.BackoffMin
		if hasNewEvents || wasHeld {
			pause.reset()
		} else { // an immediate poll would have the same result
			pause.wait(pollCtx)
		}
		cancel()
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

// logPoll logs the first of consecutive failures, and the recovery. A poll whose context was cancelled does not count
// as failed.
func (w *Watcher) logPoll(pollCtx context.Context, err error) {
	switch {
	case err == nil && w.isFailing:
		w.log.Info("discovery recovered", zap.Int64("last_event", w.lastEvent))
		w.isFailing = false
	case err != nil && !w.isFailing && pollCtx.Err() == nil:
		w.log.Warn("discovery poll failed", zap.Error(err))
		w.isFailing = true
	}
}
