package main

// This file runs a router: it assembles the parts, starts them in order, handles signals and shuts the router down.
// Limits, decisions and protocols belong to the packages of the parts.

import (
	"context"
	"errors"
	"math"
	"net"
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

	"go.uber.org/zap"
)

// minDescriptors is the smallest descriptor limit of the process that is applied: no router can work with fewer.
const minDescriptors = 32

var errListenerFailed = errors.New("the listener accepts no more clients")

// router holds the parts of one running router.
type router struct {
	config         *config.Config
	operatorPath   string
	operatorFile   atomic.Pointer[operatorconfig.File] // current file; a reload may replace it while a summary reads it
	recorderFolder string
	limits         limits.Limits
	log            *zap.Logger
	startedAt      time.Time

	monitor  *invariant.Monitor
	stores   sharedStores
	upstream *upstream.Pool
	engine   *engine.Engine
	tlsKeys  *frontend.TLSKeys // nil without TLS
	frontend *frontend.Server
	watcher  *discovery.Watcher

	isStarted   bool       // the engine runs on a goroutine of its own
	serveResult chan error // receives the error of the frontend, which ends only if its listener fails
}

// controlSignals holds the channels that deliver the signals for a router.
type controlSignals struct {
	reload chan os.Signal
	stop   chan os.Signal
	dump   chan os.Signal
}

// notifyControlSignals registers the channels for their signals.
func notifyControlSignals() controlSignals {
	signals := controlSignals{
		reload: make(chan os.Signal, 1),
		stop:   make(chan os.Signal, 1),
		dump:   make(chan os.Signal, 1),
	}
	signal.Notify(signals.dump, syscall.SIGUSR1)
	signal.Notify(signals.reload, syscall.SIGHUP)
	signal.Notify(signals.stop, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// serve runs a router until a signal stops it or its listener fails.
func serve(operatorPath, recorderFolder string) error {
	signals := notifyControlSignals() // first, because by default each of these signals ends the program
	retry := newStartupRetry()
	cfg, operatorFile, err := loadFiles(retry, operatorPath)
	if err != nil {
		return err
	}
	lim := deriveLimits(cfg)
	applyRuntimeLimits(lim)
	log, flush := newLog(lim.LogQueue, lim.FlushTimeout)
	defer flush()

	r := &router{
		config: cfg, operatorPath: operatorPath, recorderFolder: recorderFolder, limits: lim,
		log: log.With(zap.String("router", cfg.Name)), startedAt: time.Now(), serveResult: make(chan error, 1),
	}
	r.operatorFile.Store(operatorFile)
	if err := r.assemble(retry); err != nil {
		return err
	}
	listener, err := retry.listen(cfg.Listen)
	if err != nil {
		return err
	}
	r.start(listener, signals.dump)
	failure := r.run(signals)
	r.shutDown()
	return failure
}

// loadFiles reads the configuration and the operator's file. It lowers the sockets of the configuration to the
// descriptor limit of the process.
func loadFiles(retry *startupRetry, operatorPath string) (*config.Config, *operatorconfig.File, error) {
	var cfg *config.Config
	err := retry.load(func() (err error) {
		cfg, err = config.Load(os.Getenv)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	var operatorFile *operatorconfig.File
	err = retry.load(func() (err error) {
		operatorFile, err = operatorconfig.Load(operatorPath)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	if err := checkStoresUsable(operatorFile, cfg); err != nil {
		return nil, nil, err
	}
	var descriptors syscall.Rlimit
	err = syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors)
	if err == nil && descriptors.Cur >= minDescriptors && descriptors.Cur < uint64(cfg.Sockets) {
		cfg.Sockets = int(descriptors.Cur)
	}
	return cfg, operatorFile, nil
}

// applyRuntimeLimits limits the CPU cores and the memory of the Go runtime.
func applyRuntimeLimits(lim limits.Limits) {
	runtime.GOMAXPROCS(int(math.Ceil(lim.Cores)))
	debug.SetMemoryLimit(lim.HeapBytes())
}

// start starts the goroutines of the router. They run until the program ends, because the engine answers requests until
// then.
func (r *router) start(listener net.Listener, dump <-chan os.Signal) {
	never := make(chan struct{})
	r.isStarted = true
	go r.engine.Run(never, r.limits.SummaryInterval, r.logSummaries)
	go r.dumpRecorderOnSignals(dump)
	go r.stores.run(context.Background())
	go r.watcher.Run(context.Background(), r.deliverDiscovery)
	go func() { r.serveResult <- r.frontend.Serve(listener) }()
	r.log.Info("started",
		zap.String("listen", r.config.Listen),
		zap.Float64("cores", r.limits.Cores),
		zap.Int64("memory_bytes", r.limits.Memory),
		zap.Int("sockets", r.limits.Sockets))
}

// run handles signals until the router must shut down. The error is nil if a signal asked for the shutdown.
func (r *router) run(signals controlSignals) error {
	reloads := r.newReloader()
	for {
		retryDue, file := reloads.nextRetry()
		select {
		case <-signals.reload:
			reloads.reloadAll()
		case <-retryDue:
			reloads.reload(file)
		case <-signals.stop: // further stop signals have no effect
			return nil
		case err := <-r.serveResult: // accepted requests are still answered during the shutdown
			failure := errors.Join(errListenerFailed, err)
			r.log.Error("listener failed, shutting down", zap.Error(failure))
			return failure
		}
	}
}

// offer posts a client's message to the engine and reports whether the engine accepted it.
func (r *router) offer(at time.Time, message engine.Message) (isAccepted bool) {
	return r.engine.Post(at, message)
}

// post posts a message that the engine always accepts.
func (r *router) post(at time.Time, message engine.Message) { r.engine.Post(at, message) }
