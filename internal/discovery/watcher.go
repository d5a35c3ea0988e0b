// Package discovery watches the discovery server, which publishes endpoint lists and purges as numbered events. It
// polls the server and translates the events for the engine, each once and in order; what follows from them is decided
// elsewhere.
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

// Options are what a Watcher needs. The functions and Stalls may be nil.
type Options struct {
	Limits  limits.Limits
	Names   config.Names // the kinds and zones that an endpoint may have
	Address string       // of the discovery server
	Log     *zap.Logger

	// OnCurrent is called when all events that were published before a moment have been delivered.
	OnCurrent func(asOf time.Time)
	// OnGap is called when an event was published that will never be delivered.
	OnGap func()
	// Stalls tells whether the process was stopped while a poll waited.
	Stalls *stalldetect.Watch
	// Dial opens connections to the discovery server in place of the system's dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Watcher watches a discovery server. Its methods but SetAddress must not be called at the same time.
type Watcher struct {
	limits    limits.Limits
	names     config.Names
	log       *zap.Logger
	onCurrent func(asOf time.Time)
	onGap     func()
	stalls    *stalldetect.Watch
	dial      func(ctx context.Context, network, address string) (net.Conn, error)

	lastEvent    int64     // number of the last event that was delivered or skipped
	afterGap     int64     // number before which one was missing in an earlier page
	behindSince  time.Time // since when pages end before the last event; zero: they do not
	lastResponse time.Time // when a complete page last came; zero: never
	isFailing    bool      // the last poll failed, and that is logged

	mu      sync.Mutex
	address string
	endStay context.CancelFunc // ends the poll at the address, or the pause after it
}

// New returns a watcher that has seen no event.
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

// SetAddress makes it watch another discovery server, from the last event on: the numbers continue.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.address == address {
		return
	}
	w.log.Info("discovery address changed", zap.String("address", address))
	w.address = address
	if w.endStay != nil {
		w.endStay()
	}
}

// stayAtAddress returns the address and a context that ends when it changes.
func (w *Watcher) stayAtAddress(ctx context.Context) (stay context.Context, address string, end context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	stay, w.endStay = context.WithCancel(ctx)
	return stay, w.address, w.endStay
}

// Run polls until the context ends.
func (w *Watcher) Run(ctx context.Context, post func(at time.Time, message engine.Message)) {
	client := w.newHTTPClient()
	deliver := func(message engine.Message) { post(time.Now(), message) }
	pause := newBackoff(w.limits.BackoffMin, w.limits.BackoffMax)
	previousAddress := ""
	for ctx.Err() == nil {
		stay, address, end := w.stayAtAddress(ctx)
		if address != previousAddress {
			previousAddress = address
			pause.reset()
			client.CloseIdleConnections()
		}
		begun, before := time.Now(), w.lastEvent
		err := w.poll(stay, client, address, deliver)
		w.logPoll(stay, err)
		hasEvents := w.lastEvent > before
		hasWaited := err == nil && time.Since(begun) > w.limits.BackoffMin
		if hasEvents || hasWaited {
			pause.reset()
		} else { // polling again at once would bring as little
			pause.wait(stay)
		}
		end()
	}
}

// newHTTPClient returns a client whose dials end soon: the system's own retries may come further and further apart, and
// outlast an outage by seconds.
func (w *Watcher) newHTTPClient() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, end := context.WithTimeout(ctx, w.limits.DiscoveryDialTimeout)
		defer end()
		return w.dial(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, IdleConnTimeout: w.limits.PollTimeout, DisableCompression: true,
	}}
}

// logPoll logs the first of several failures and the end of them. A poll that ended with its stay did not fail.
func (w *Watcher) logPoll(stay context.Context, err error) {
	switch {
	case err == nil && w.isFailing:
		w.log.Info("discovery recovered", zap.Int64("last_event", w.lastEvent))
		w.isFailing = false
	case err != nil && !w.isFailing && stay.Err() == nil:
		w.log.Warn("discovery poll failed", zap.Error(err))
		w.isFailing = true
	}
}
