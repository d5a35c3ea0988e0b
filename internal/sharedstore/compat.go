package sharedstore

import (
	"time"

	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/policy/routing"

	"go.uber.org/zap"

	decide "fennelarch/policy/sharedstore"
)

// Earlier names of this package, kept until their callers have moved.

// Login is the earlier name of Credentials.
type Login = Credentials

// NewLogin returns Credentials.
func NewLogin(user, password string, database int) Credentials {
	return Credentials{User: user, Password: password, Database: database}
}

// New is NewTransport with its options one by one.
func New(bounds limits.Limits, settings routing.Settings, decisions decide.Settings, seed uint64, stores []Store,
	startedAt time.Time, deliver func(at time.Time, message engine.Message), log *zap.Logger,
) *Transport {
	return NewTransport(Options{
		Limits: bounds, Routing: settings, Decisions: decisions, Seed: seed, Stores: stores, StartedAt: startedAt,
		Deliver: deliver, Log: log,
	})
}

// Over is SetInner.
func (t *Transport) Over(inner engine.Transport) { t.SetInner(inner) }

// Told is ObserveDiscovery.
func (t *Transport) Told(message engine.Message) engine.Message { return t.ObserveDiscovery(message) }

// Current is DiscoveryCurrent.
func (t *Transport) Current(asOf time.Time) { t.DiscoveryCurrent(asOf) }

// Gap is DiscoveryGap.
func (t *Transport) Gap() { t.DiscoveryGap() }

// Stepped is ClockStepped.
func (t *Transport) Stepped(by time.Duration) { t.ClockStepped(by) }

// Set is UpdateSettings.
func (t *Transport) Set(settings decide.Settings) { t.UpdateSettings(settings) }
