package main

// Shared stores in a router: their transport stands between the engine and the upstream pool where the operator's file
// names stores; without any, every method here passes its argument through.

import (
	"context"
	"errors"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/engine"
	"fennelarch/internal/limits"
	"fennelarch/internal/operatorconfig"
	"fennelarch/internal/sharedstore"
	policystore "fennelarch/policy/sharedstore"
)

// postFunc delivers a message to the engine, with the time at which it came.
type postFunc func(at time.Time, message engine.Message)

// sharedStores is the transport to all shared stores, or nothing where the operator's file has none.
type sharedStores struct{ transport *sharedstore.Transport }

// checkStoresUsable reports whether the settings let this router use the stores of the operator's file.
func checkStoresUsable(file *operatorconfig.File, cfg *config.Config) error {
	if len(file.Stores) > 0 && !cfg.Routing.AllowDirect {
		return errors.New("operator's file: stores: the settings do not let this router ask parents itself (may_pass_by), " +
			"so it could not fill a store")
	}
	return nil
}

// sharedStoreSettings returns the settings of the policy for shared stores.
func sharedStoreSettings(file *operatorconfig.File, cfg *config.Config, lim limits.Limits) policystore.Settings {
	shared := file.Shared
	settings := policystore.Settings{
		Routers:        shared.Routers,
		Capacity:       shared.Capacity,
		SlowStartShare: shared.SlowStartShare,
		SlowStartFor:   operatorconfig.Milliseconds(shared.SlowStartMS),
		OverloadFactor: shared.OverloadFactor,
		MaxInFlight:    shared.MaxInFlight,
		MaxValueBytes:  lim.ResponseBodyBytes,
		MaxTTL:         operatorconfig.Milliseconds(shared.KeepMS),
		Lease:          shared.Lease == nil || *shared.Lease,
	}
	return settings.WithDefaults(&cfg.Routing)
}

// upstreamPost returns where the upstream pool posts its messages: the stores' transport sees them first.
func (s sharedStores) upstreamPost(post postFunc) postFunc {
	if s.transport == nil {
		return post
	}
	return s.transport.Post
}

// wrap returns the transport that the engine drives, given the one to all other endpoints.
func (s sharedStores) wrap(upstream engine.Transport) engine.Transport {
	if s.transport == nil {
		return upstream
	}
	s.transport.SetInner(upstream)
	return s.transport
}

// translateEvent returns the message that the engine gets in place of one from the discovery server.
func (s sharedStores) translateEvent(message engine.Message) engine.Message {
	if s.transport == nil {
		return message
	}
	return s.transport.ObserveDiscovery(message)
}

// wallClockStepped passes on that the wall clock was set by so much.
func (s sharedStores) wallClockStepped(by time.Duration) {
	if s.transport != nil {
		s.transport.ClockStepped(by)
	}
}

// discoveryCurrent passes on that all events before a moment have been seen.
func (s sharedStores) discoveryCurrent(asOf time.Time) {
	if s.transport != nil {
		s.transport.DiscoveryCurrent(asOf)
	}
}

// discoveryGap passes on that an event was lost for good.
func (s sharedStores) discoveryGap() {
	if s.transport != nil {
		s.transport.DiscoveryGap()
	}
}

// run keeps the connections to the stores until the context ends.
func (s sharedStores) run(ctx context.Context) {
	if s.transport != nil {
		s.transport.Run(ctx)
	}
}

// updateSettings applies what may change of the operator's file while the router runs.
func (s sharedStores) updateSettings(file *operatorconfig.File, cfg *config.Config) {
	if s.transport != nil {
		s.transport.UpdateSettings(sharedStoreSettings(file, cfg, s.transport.Limits()))
	}
}
