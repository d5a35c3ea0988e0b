package main

// This file constructs the parts of a router, in the order in which they depend on each other. Every constructor of
// another package is called here.

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/discovery"
	"fennelarch/internal/engine"
	"fennelarch/internal/flightrecorder"
	"fennelarch/internal/frontend"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/internal/operatorconfig"
	"fennelarch/internal/sharedstore"
	"fennelarch/internal/stalldetect"
	"fennelarch/internal/upstream"
	"fennelarch/policy/admission"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// recorderSize is the number of events in the flight recorder: some seconds of a busy router in 0.2 MB.
const recorderSize = 4096

// deriveLimits derives the limits from the configuration.
func deriveLimits(cfg *config.Config) limits.Limits {
	inputs := limits.Inputs{
		Cores:                cfg.Cores,
		MemoryMB:             cfg.MemoryMB,
		Sockets:              cfg.Sockets,
		StreamsPerConnection: cfg.Names.StreamsPerConnection,
		ConnectTimeout:       cfg.Routing.ConnectTimeout,
		IdleTimeout:          cfg.Names.IdleTimeout,
		DrainGrace:           cfg.Routing.DrainGrace,
		PurgeGrace:           cfg.Routing.PurgeGrace,
	}
	for _, class := range cfg.Routing.Classes {
		inputs.LongestDeadline = max(inputs.LongestDeadline, class.Deadline)
	}
	return limits.Derive(inputs)
}

// assemble creates the parts of the router and connects them. No part reads from a socket before start is called.
func (r *router) assemble(retry *startupRetry) error {
	r.monitor = r.newMonitor()
	go r.watchStalls(context.Background())
	r.stores = r.newSharedStores()
	r.upstream = r.newUpstreamPool()
	r.engine = r.newEngine()
	r.engine.Start(0)
	if err := r.buildFrontend(retry); err != nil {
		return err
	}
	r.watcher = r.newWatcher()
	r.applyKnownEvents()
	return nil
}

// newMonitor returns the monitor of the router's invariants. A violation dumps its flight recorder.
func (r *router) newMonitor() *invariant.Monitor {
	recorder := flightrecorder.New(recorderSize, invariant.ReasonName)
	return invariant.NewMonitor(r.log, recorder, stalldetect.New(), func(reason string) {
		go r.writeRecorder(recorder, reason)
	})
}

// newSharedStores returns the transport to the stores in the operator's file.
func (r *router) newSharedStores() sharedStores {
	file := r.operatorFile.Load()
	if len(file.Stores) == 0 {
		return sharedStores{}
	}
	var list []sharedstore.Store
	for _, store := range file.Stores {
		list = append(list, sharedstore.Store{
			UID: store.UID, Addresses: store.Addresses, Listed: store.Listed, Weight: store.Weight, Prefix: store.Prefix,
			TLS:         store.TLSConfig,
			Credentials: sharedstore.Credentials{User: store.User, Password: store.Password, Database: store.Database},
		})
	}
	return sharedStores{sharedstore.New(sharedstore.Options{
		Limits:    r.limits,
		Routing:   r.config.Routing,
		Policy:    sharedStoreSettings(file, r.config, r.limits),
		Seed:      r.config.Seed,
		Stores:    list,
		StartedAt: r.startedAt,
		Deliver:   r.post,
		Log:       r.log,
	})}
}

func (r *router) newUpstreamPool() *upstream.Pool {
	return upstream.New(upstream.Options{
		Limits:                  r.limits,
		Names:                   r.config.Names,
		ReportsWithHealthChecks: r.config.Routing.ReportChannel == routing.ReportsWithHealthChecks,
		Post:                    r.stores.upstreamPost(r.post),
		// The frontend is created after the pool, but before any endpoint is known.
		OnDescriptorShortage: func() { r.frontend.ReportDescriptorShortage() },
		Monitor:              r.monitor,
		Log:                  r.log,
	})
}

func (r *router) newEngine() *engine.Engine {
	return engine.New(engine.Options{
		Routing:     r.config.Routing,
		Seed:        r.config.Seed,
		QueueLength: r.limits.EventQueue,
		StartTime:   r.startedAt,
		Transport:   r.stores.wrap(r.upstream),
		LocalCache: engine.LocalCacheSettings{
			MaxBytes:           r.limits.LocalCacheBytes,
			FlowBytesPerSecond: r.config.FlowBytesPerSecond,
			LinkBytesPerSecond: r.config.LinkBytesPerSecond,
			MaxTransferTime:    r.limits.ForgetAfter,
			SharedBytes:        r.limits.PayloadBytes,
			SharedInUse:        r.payloadInUse,
		},
		Log:         r.log,
		Monitor:     r.monitor,
		OnClockStep: r.stores.wallClockStepped,
	})
}

// payloadInUse returns the memory of all bodies but those in the local cache.
func (r *router) payloadInUse() int64 { return r.frontend.PayloadBytes() + r.upstream.PayloadBytes() }

// buildFrontend creates the frontend. Reading its TLS keys is retried like reading any other file at startup.
func (r *router) buildFrontend(retry *startupRetry) error {
	options := frontend.Options{
		Limits:               r.limits,
		Names:                r.config.Names,
		Classes:              r.config.Routing.Classes,
		Post:                 r.offer,
		Log:                  r.log,
		EventQueueDelay:      r.engine.EventQueueDelay,
		FlowKBPerSecond:      r.config.Routing.FlowKBPerSecond,
		Monitor:              r.monitor,
		OnDescriptorShortage: r.upstream.CloseIdle,
	}
	err := retry.load(func() (err error) {
		options.Admission, options.TLSKeys, err = loadFrontendFiles(r.operatorFile.Load(), r.config)
		return err
	})
	if err != nil {
		return err
	}
	r.tlsKeys = options.TLSKeys
	r.frontend = frontend.New(options)
	return nil
}

// newWatcher returns the watcher of the discovery server.
func (r *router) newWatcher() *discovery.Watcher {
	return discovery.New(discovery.Options{
		Limits:   r.limits,
		Names:    r.config.Names,
		Address:  r.config.DiscoveryAddress,
		Log:      r.log,
		OnReport: func(report engine.DiscoveryReport) { r.deliverDiscovery(time.Now(), report) },
		Stalls:   r.monitor.StallDetector(),
	})
}

// applyKnownEvents applies the discovery events in the configuration. Unreadable events are skipped, because the
// discovery server reports the state that follows from them.
func (r *router) applyKnownEvents() {
	if len(r.config.KnownEvents) == 0 {
		return
	}
	known, parseErr := discovery.ParseKnown(r.config.KnownEvents)
	applyErr := r.watcher.Apply(&known, engine.MaxAgeBeforeStart, func(message engine.Message) {
		r.deliverDiscovery(r.startedAt, message)
	})
	if err := errors.Join(parseErr, applyErr); err != nil {
		r.log.Warn("configuration: some known events are unreadable", zap.Error(err))
	}
}

// deliverDiscovery passes a message of discovery to the stores and the engine, which handles it at once if the router
// has not started yet.
func (r *router) deliverDiscovery(at time.Time, message engine.Message) {
	message = r.stores.translateEvent(message)
	if r.isStarted {
		r.post(at, message)
	} else {
		r.engine.Handle(0, engine.Event{Message: message})
	}
}

// loadFrontendFiles returns the admission settings and the TLS keys that the operator's file names. The keys are nil if
// the file has no TLS section.
func loadFrontendFiles(
	file *operatorconfig.File, cfg *config.Config,
) (settings admission.Settings, keys *frontend.TLSKeys, err error) {
	if settings, err = admissionSettings(file, cfg); err != nil {
		return settings, nil, err
	}
	if file.TLS == nil {
		return settings, nil, nil
	}
	keys, err = frontend.LoadTLSKeys(tlsFiles(file.TLS))
	if err != nil {
		return settings, nil, fmt.Errorf("operator's file: tls: %w", err)
	}
	return settings, keys, nil
}
