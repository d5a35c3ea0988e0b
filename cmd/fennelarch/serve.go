package main

// This file owns the life of a router: it puts the parts together, starts them in order, and ends them. It must never
// hold a bound, a decision or a protocol.

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"fennelarch/internal/back"
	"fennelarch/internal/bulletin"
	"fennelarch/internal/engine"
	"fennelarch/internal/front"
	"fennelarch/internal/limits"
	"fennelarch/internal/settings"
	"fennelarch/rules"
)

func serve(c *settings.Config) error {
	told := limits.Told{Cores: c.Cores, MemoryMB: c.MemoryMB, Sockets: c.Sockets, Streams: c.Names.Streams,
		Connect: c.Rules.ConnectLimit, Idle: c.Names.Idle}
	for _, t := range c.Rules.Tariffs {
		told.LongestHard = max(told.LongestHard, t.Hard)
	}
	lim := limits.From(told)
	runtime.GOMAXPROCS(int(math.Ceil(lim.Cores)))
	debug.SetMemoryLimit(lim.Memory * 3 / 4)

	log, flush := newLog(lim.Lines)
	defer flush()
	log = log.With(zap.String("router", c.Name))

	pool := back.New(lim, c.Names, c.Rules.Reports == rules.ViaProbe, log)
	eng := engine.New(c.Rules, c.Seed, lim.Queue, time.Now(), pool, log)
	pool.Report(eng.Post)
	eng.Start(0)
	server := front.New(lim, c.Names, c.Rules.Tariffs, eng.Post, log)

	var known bulletin.Page
	if len(c.Known) > 0 {
		if err := json.Unmarshal(c.Known, &known); err != nil {
			return fmt.Errorf("configuration: known: %w", err)
		}
	}
	direct := true
	follower := bulletin.New(lim, c.Names, func(at time.Time, what any) {
		if direct {
			eng.Handle(0, engine.Event{At: at, What: what})
		} else {
			eng.Post(at, what)
		}
	}, log)
	if err := follower.Take(&known); err != nil {
		return fmt.Errorf("configuration: known: %w", err)
	}
	direct = false

	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go eng.Run(done, lim.Summary)
	go follower.Run(ctx, c.Bulletin)
	go func() { _ = server.Serve(ln) }()
	log.Info("started", zap.String("listen", c.Listen), zap.Float64("cores", lim.Cores), zap.Int64("memory", lim.Memory),
		zap.Int("sockets", lim.Sockets))

	<-stop
	log.Info("stopping", zap.Int("open", eng.Open()))
	begun := time.Now()
	for time.Since(begun) < lim.Linger || (eng.Open() > 0 || !server.Quiet()) && time.Since(begun) < lim.Stop {
		time.Sleep(20 * time.Millisecond)
	}
	_ = ln.Close()
	log.Info("stopped", zap.Int("open", eng.Open()))
	return nil
}
