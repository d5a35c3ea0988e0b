package main

// This file connects the shared stores to the router. If the operator's file names stores, their transport sits between
// the engine and the upstream pool; otherwise the methods here pass their argument on or do nothing.

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

// postFunc delivers a message to the engine, with the time at which the message arrived.
type postFunc func(at time.Time, message engine.Message)

// sharedStores holds the transport to all shared stores, which is nil if the operator's file names none.
type sharedStores struct{ transport *sharedstore.Transport }

// checkStoresUsable returns an error if the settings do not let this router use the stores of the operator's file.
func checkStoresUsable(file *operatorconfig.File, cfg *config.Config) error {
	if len(file.Stores) > 0 && !cfg.Routing.AllowDirect {
		return errors.New("operator's file: stores: the settings do not let this router ask parents itself (may_pass_by), " +
			"so it could not fill a store")
	}
	return nil
}

// sharedStoreSettings returns the settings of the shared store policy.
func sharedStoreSettings(file *operatorconfig.File, cfg *config.Config, lim limits.Limits) policystore.Settings {
	shared := file.Shared
	settings := policystore.Settings{
		Routers:           shared.Routers,
		Capacity:          shared.Capacity,
		SlowStartShare:    shared.SlowStartShare,
		SlowStartDuration: operatorconfig.Milliseconds(shared.SlowStartMS),
		OverloadFactor:    shared.OverloadFactor,
		MaxInFlight:       shared.MaxInFlight,
		MaxValueBytes:     lim.ResponseBodyBytes,
		MaxTTL:            operatorconfig.Milliseconds(shared.MaxTTLMS),
		UseLease:          shared.Lease == nil || *shared.Lease,
	}
	return settings.WithDefaults(&cfg.Routing)
}

// upstreamPost returns the function to which the upstream pool posts its messages: the stores' transport, which handles
// them first, or the given one.
func (s sharedStores) upstreamPost(post postFunc) postFunc {
	if s.transport == nil {
		return post
	}
	return s.transport.Post
}

// wrap returns the transport for the engine, given the transport to all endpoints that are not stores.
func (s sharedStores) wrap(upstream engine.Transport) engine.Transport {
	if s.transport == nil {
		return upstream
	}
	s.transport.SetInner(upstream)
	return s.transport
}

// translateEvent returns the message that the engine gets for a message from the discovery server.
func (s sharedStores) translateEvent(message engine.Message) engine.Message {
	if s.transport == nil {
		return message
	}
	return s.transport.ObserveDiscovery(message)
}

// wallClockStepped tells the transport that the wall clock stepped by a duration.
func (s sharedStores) wallClockStepped(by time.Duration) {
	if s.transport != nil {
		s.transport.RecordClockStep(by)
	}
}

// run keeps the connections to the stores open until the context ends.
func (s sharedStores) run(ctx context.Context) {
	if s.transport != nil {
		s.transport.Run(ctx)
	}
}

// updateSettings applies the settings of the operator's file that may change while the router runs.
func (s sharedStores) updateSettings(file *operatorconfig.File, cfg *config.Config) {
	if s.transport != nil {
		s.transport.UpdateSettings(sharedStoreSettings(file, cfg, s.transport.Limits()))
	}
}
