package main

// The life of a router: its parts are assembled, started in order, controlled by signals and shut down. Limits,
// decisions and protocols belong to the packages of those parts.

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

// minDescriptors is the least limit of the process that is believed: no router can work with fewer.
const minDescriptors = 32

var errListenerFailed = errors.New("no client can be accepted any more")

// router owns the parts of one running router.
type router struct {
	config         *config.Config
	operatorPath   string
	operatorFile   atomic.Pointer[operatorconfig.File] // in force; a reload replaces it while summaries read it
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

	serveResult chan error // gets the end of the frontend, whose listener is never closed while the router runs
}

// controlSignals are the signals that control a router.
type controlSignals struct {
	reload chan os.Signal
	stop   chan os.Signal
	dump   chan os.Signal
}

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

// serve runs a router until it is told to stop, or can accept no client any more.
func serve(operatorPath, recorderFolder string) error {
	signals := notifyControlSignals() // before anything else: by default each of them ends the program
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

// loadFiles reads the configuration and the operator's file, and lowers the sockets of the configuration to what the
// process may have.
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

// applyRuntimeLimits bounds the processors and the memory of the Go runtime. A quarter of the memory is left to what
// the runtime does not count.
func applyRuntimeLimits(lim limits.Limits) {
	runtime.GOMAXPROCS(int(math.Ceil(lim.Cores)))
	debug.SetMemoryLimit(lim.Memory * 3 / 4)
}

// start starts the goroutines of the router. Each runs until the program ends: the engine answers requests to the last.
func (r *router) start(listener net.Listener, dump <-chan os.Signal) {
	never := make(chan struct{})
	go r.engine.Run(never, r.limits.SummaryInterval, r.logSummaries)
	go r.dumpRecorderAtSignals(dump)
	go r.stores.run(context.Background())
	go r.watcher.Run(context.Background(), func(at time.Time, message engine.Message) {
		r.post(at, r.stores.translateEvent(message))
	})
	go func() { r.serveResult <- r.frontend.Serve(listener) }()
	r.log.Info("started",
		zap.String("listen", r.config.Listen),
		zap.Float64("cores", r.limits.Cores),
		zap.Int64("memory_bytes", r.limits.Memory),
		zap.Int("sockets", r.limits.Sockets))
}

// run handles signals until the router is to be shut down, and returns why if that is a failure.
func (r *router) run(signals controlSignals) error {
	reloads := r.newReloader()
	for {
		retryDue, file := reloads.nextRetry()
		select {
		case <-signals.reload:
			reloads.reloadAll()
		case <-retryDue:
			reloads.reload(file)
		case <-signals.stop: // a second one has no effect
			return nil
		case err := <-r.serveResult: // requests that have been taken are answered all the same
			failure := errors.Join(errListenerFailed, err)
			r.log.Error("listener failed, shutting down", zap.Error(failure))
			return failure
		}
	}
}

// offer posts a client's message to the engine, which may reject it.
func (r *router) offer(at time.Time, message engine.Message) (isTaken bool) {
	return r.engine.Post(at, message)
}

// post posts a message that the engine always takes.
func (r *router) post(at time.Time, message engine.Message) { r.engine.Post(at, message) }
