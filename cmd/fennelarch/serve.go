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

	"go.uber.org/zap"

	"fennelarch/internal/config"
	"fennelarch/internal/discovery"
	"fennelarch/internal/engine"
	"fennelarch/internal/frontend"
	"fennelarch/internal/invariant"
	"fennelarch/internal/limits"
	"fennelarch/internal/operatorconfig"
	"fennelarch/internal/upstream"
	"fennelarch/policy/routing"
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
	told := limits.Told{Cores: c.Cores, MemoryMB: c.MemoryMB, Sockets: c.Sockets, Streams: c.Names.Streams,
		Connect: c.Rules.ConnectLimit, Idle: c.Names.Idle, Drain: c.Rules.DrainGrace, Purge: c.Rules.PurgeGrace}
	for _, t := range c.Rules.Tariffs {
		told.LongestHard = max(told.LongestHard, t.Hard)
	}
	lim := limits.From(told)
	runtime.GOMAXPROCS(int(math.Ceil(lim.Cores)))
	debug.SetMemoryLimit(lim.Memory * 3 / 4)

	log, flush := newLog(lim.Lines, lim.Flush)
	defer flush()
	log = log.With(zap.String("router", c.Name))

	var eng *engine.Engine
	offer := func(at time.Time, what any) (taken bool) { return eng.Post(at, what) }
	post := func(at time.Time, what any) { eng.Post(at, what) }
	start := time.Now()
	monitor := newMonitor(c.Name, recorderFolder, log)
	go watchStalls(context.Background(), monitor, log)
	stores := newStores(own, c, lim, start, post, log)
	pool := upstream.New(lim, c.Names, c.Rules.Reports == routing.ViaProbe, stores.inner(post), log)
	eng = engine.New(c.Rules, c.Seed, lim.Queue, start, stores.over(pool),
		engine.Own{Bytes: lim.Copies, Flow: c.Flow, Link: c.Link, Forget: lim.Forget}, log)
	eng.Guarded(monitor, stores.stepped)
	eng.Start(0)
	var doors frontend.Doors
	err = begins.read(func() (err error) { doors, err = newDoors(own, c); return err })
	if err != nil {
		return err
	}
	doors.Lag, doors.Guard = eng.Lag, monitor
	server := frontend.New(lim, c.Names, c.Rules.Tariffs, doors, offer, log)
	pool.Short, server.Relieve, pool.Guard = server.Short, pool.Relieve, monitor

	follower := discovery.New(lim, c.Names, c.Bulletin, log)
	follower.Watch = monitor.Watch()
	stores.follow(follower)
	if len(c.Known) > 0 {
		known, cut := discovery.Known(c.Known)
		err := follower.Take(&known, engine.LongTold, func(what any) { eng.Handle(0, engine.Event{What: stores.told(what)}) })
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
	go eng.Run(done, lim.Summary, func(n engine.Counts) {
		summary(log, n, server.Count(), pool.Count(), monitor)
		stores.summary(log)
		doorsSummary(inForce.Load(), server, log)
	})
	go dumpAtSignal(dump, monitor, c.Name, recorderFolder, log)
	go stores.run(context.Background())
	go follower.Run(context.Background(), func(at time.Time, what any) { post(at, stores.told(what)) })
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
	log.Info("stopping", zap.Int("open", eng.Open()))
	begun := time.Now()
	eng.Post(begun, engine.Stop{After: lim.Stop})
	time.Sleep(lim.Linger)
	server.End()
	for (eng.Open() > 0 || server.Left() > 0) && time.Since(begun) < lim.Stop+lim.Flush {
		time.Sleep(lim.Pause)
	}
	log.Info("stopped", zap.Int("open", eng.Open()))
	return failed
}

var errDeaf = errors.New("no client can be accepted any more")

// reloadConfig takes over from the configuration what may change while the router runs: the bulletin's address. Nothing else of it
// acts before the next start, and the log says so where something else has changed.
func reloadConfig(follower *discovery.Follower, old *config.Config, log *zap.Logger) error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	if c.Fixed != old.Fixed {
		log.Warn("configuration: only the bulletin's address is taken before the next start")
	}
	follower.Move(c.Bulletin)
	return nil
}

func summary(log *zap.Logger, n engine.Counts, clients, nodes int, monitor *invariant.Monitor) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	violated, closed := monitor.Counts()
	log.Info("summary", zap.Uint64("views", n.Views), zap.Uint64("succeeded", n.Succeeded),
		zap.Uint64("turned_back", n.TurnedBack), zap.Uint64("terminated", n.Terminated), zap.Uint64("gone", n.Gone),
		zap.Uint64("legs", n.Legs), zap.Uint64("own", n.Own), zap.Int64("open", n.Open), zap.Duration("lag", n.Lag), zap.Int("clients", clients),
		zap.Int("nodes", nodes), zap.Uint64("memory_mb", m.Sys>>20), zap.Uint64("violations", monitor.Violations()), zap.Any("violated", violated), zap.Any("closed", closed))
}
