package main

// This file owns the life of a router: it puts the parts together, starts them in order, and ends them. It must never
// hold a bound, a decision or a protocol.

import (
	"context"
	"errors"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"fennelarch/internal/config"
	"fennelarch/internal/discovery"
	"fennelarch/internal/engine"
	"fennelarch/internal/frontend"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/internal/operatorconfig"
	"fennelarch/internal/upstream"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

func serve(path, recorderFolder string) error {
	// From the first moment on: by default each of these signals would end the program.
	again, stop, dump := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(dump, syscall.SIGUSR1)
	signal.Notify(again, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	begins := newStarter()
	var c *config.Config
	var own *operatorconfig.File
	err := begins.read(func() (err error) { c, err = config.Load(os.Getenv); return err })
	if err != nil {
		return err
	}
	err = begins.read(func() (err error) { own, err = operatorconfig.Load(path); return err })
	if err != nil {
		return err
	}
	if err := fits(own, c); err != nil {
		return err
	}
	var files syscall.Rlimit // the system may give fewer than the configuration says
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur >= 32 && files.Cur < uint64(c.Sockets) {
		c.Sockets = int(files.Cur)
	}
	told := limits.Inputs{
		Cores: c.Cores, MemoryMB: c.MemoryMB, Sockets: c.Sockets, StreamsPerConnection: c.Names.StreamsPerConnection,
		ConnectTimeout: c.Routing.ConnectTimeout, IdleTimeout: c.Names.IdleTimeout, DrainGrace: c.Routing.DrainGrace, PurgeGrace: c.Routing.PurgeGrace,
	}
	for _, t := range c.Routing.Classes {
		told.LongestDeadline = max(told.LongestDeadline, t.Deadline)
	}
	lim := limits.From(told)
	runtime.GOMAXPROCS(int(math.Ceil(lim.Cores)))
	debug.SetMemoryLimit(lim.Memory * 3 / 4)

	log, flush := newLog(lim.LogQueue, lim.FlushTimeout)
	defer flush()
	log = log.With(zap.String("router", c.Name))

	var eng *engine.Engine
	offer := func(at time.Time, message engine.Message) (taken bool) { return eng.Post(at, message) }
	post := func(at time.Time, message engine.Message) { eng.Post(at, message) }
	start := time.Now()
	monitor := newMonitor(c.Name, recorderFolder, log)
	go watchStalls(context.Background(), monitor, log)
	stores := newStores(own, c, lim, start, post, log)
	pool := upstream.New(lim, c.Names, c.Routing.ReportChannel == routing.ReportsWithHealthChecks, stores.inner(post), log)
	eng = engine.New(c.Routing, c.Seed, lim.EventQueue, start, stores.over(pool),
		engine.LocalCacheSettings{Bytes: lim.LocalCacheBytes, FlowBytesPerSecond: c.FlowBytesPerSecond, LinkBytesPerSecond: c.LinkBytesPerSecond, MaxInFlight: lim.ForgetAfter}, log)
	eng.SetMonitor(monitor, stores.stepped)
	eng.Start(0)
	var doors frontend.Options
	err = begins.read(func() (err error) { doors, err = newDoors(own, c); return err })
	if err != nil {
		return err
	}
	doors.EventQueueDelay, doors.Monitor = eng.EventQueueDelay, monitor
	server := frontend.New(lim, c.Names, c.Routing.Classes, doors, offer, log)
	pool.OnDescriptorShortage, server.OnDescriptorShortage, pool.Monitor = server.ReportDescriptorShortage, pool.CloseIdle, monitor

	follower := discovery.New(lim, c.Names, c.DiscoveryAddress, log)
	follower.Stalls = monitor.Watch()
	stores.follow(follower)
	if len(c.KnownEvents) > 0 {
		known, cut := discovery.ParseKnown(c.KnownEvents)
		err := follower.Apply(&known, engine.AgeBeforeStart, func(message engine.Message) { eng.Handle(0, engine.Event{Message: stores.told(message)}) })
		if err := errors.Join(cut, err); err != nil { // the bulletin tells the rest
			log.Warn("configuration: known: not all of it can be read", zap.Error(err))
		}
	}

	ln, err := begins.listen(c.Listen)
	if err != nil {
		return err
	}
	var inForce atomic.Pointer[operatorconfig.File] // it changes while summaries are made
	inForce.Store(own)
	done := make(chan struct{}) // never: the engine answers to the last
	go eng.Run(done, lim.SummaryInterval, func(n engine.Counts) {
		summary(log, n, server.ConnectionCount(), pool.ConnectionCount(), monitor)
		stores.summary(log)
		doorsSummary(inForce.Load(), server, log)
	})
	go dumpAtSignal(dump, monitor, c.Name, recorderFolder, log)
	go stores.run(context.Background())
	go follower.Run(context.Background(), func(at time.Time, message engine.Message) { post(at, stores.told(message)) })
	deaf := make(chan error, 1) // the listener is never closed while the router runs
	go func() { deaf <- server.Serve(ln) }()
	log.Info("started", zap.String("listen", c.Listen), zap.Float64("cores", lim.Cores), zap.Int64("memory", lim.Memory),
		zap.Int("sockets", lim.Sockets))

	rereads := newReloads(log)
	rereads.add("configuration", func() error { return reloadConfig(follower, c, log) })
	if path != "" {
		rereads.add("operator's file", func() error {
			to, err := reloadOwn(path, inForce.Load(), c, stores, server, doors)
			inForce.Store(to)
			return err
		})
	}
	var failed error
	for running := true; running; {
		due, which := rereads.due()
		select {
		case <-again:
			rereads.begin()
		case <-due:
			rereads.retry(which)
		case <-stop: // a second order changes nothing
			running = false
		case err := <-deaf: // what was taken is owed its answer all the same
			failed = errors.Join(errDeaf, err)
			log.Error("the router ends", zap.Error(failed))
			running = false
		}
	}
	log.Info("stopping", zap.Int("open", eng.InFlight()))
	begun := time.Now()
	eng.Post(begun, engine.Shutdown{Grace: lim.ShutdownGrace})
	time.Sleep(lim.ShutdownLinger)
	server.Drain()
	for (eng.InFlight() > 0 || server.UnclosedCount() > 0) && time.Since(begun) < lim.ShutdownGrace+lim.FlushTimeout {
		time.Sleep(lim.RecheckInterval)
	}
	log.Info("stopped", zap.Int("open", eng.InFlight()))
	return failed
}

var errDeaf = errors.New("no client can be accepted any more")

// reloadConfig takes over from the configuration what may change while the router runs: the bulletin's address. Nothing else of it
// acts before the next start, and the log says so where something else has changed.
func reloadConfig(follower *discovery.Watcher, old *config.Config, log *zap.Logger) error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	if c.Immutable != old.Immutable {
		log.Warn("configuration: only the bulletin's address is taken before the next start")
	}
	follower.SetAddress(c.DiscoveryAddress)
	return nil
}

func summary(log *zap.Logger, n engine.Counts, clients, nodes int, monitor *invariant.Monitor) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	violated, closed := monitor.Counts()
	log.Info("summary", zap.Uint64("views", n.Requests), zap.Uint64("succeeded", n.Succeeded),
		zap.Uint64("turned_back", n.Rejected), zap.Uint64("terminated", n.Failed), zap.Uint64("gone", n.ClientCancelled),
		zap.Uint64("legs", n.Attempts), zap.Uint64("own", n.LocalCacheHits), zap.Int64("open", n.InFlight), zap.Duration("lag", n.EventQueueDelay), zap.Int("clients", clients),
		zap.Int("nodes", nodes), zap.Uint64("memory_mb", m.Sys>>20), zap.Uint64("violations", monitor.Violations()), zap.Any("violated", violated), zap.Any("closed", closed))
}
