package soak

// This file owns what each trouble does.

import (
	"fmt"
	"syscall"
	"time"

	"fennelarch/internal/fake/site"
)

// trouble plays one trouble from its beginning to its end.
func (w *world) trouble(t Trouble) {
	r := w.routers[t.Target%len(w.routers)]
	switch t.Kind {
	case StopRouter:
		w.stopRouter(t.Target%len(w.routers), r)
	case KillRouter:
		w.killRouter(t.Target%len(w.routers), r)
	case FreezeRouter:
		w.freezeRouter(t.Target%len(w.routers), r, t.For)
	case FewDescriptors:
		w.fewDescriptors(t.Target%len(w.routers), r, t.For)
	case ReloadRouters:
		w.reloadRouters()
	case HangServer, FailServer, RefuseServer:
		s := w.server(t.Target, true)
		s.set(map[Kind]mode{HangServer: hanging, FailServer: failing, RefuseServer: full}[t.Kind])
		time.Sleep(t.For)
		s.set(healthy)
	case RestartServer:
		w.restartServer(w.server(t.Target, false))
	case DrainServer:
		w.drainServer(w.server(t.Target, false), t.For)
	case ReplaceServer:
		w.replaceServer(t.Target)
	case MoveServer:
		w.moveServer(w.server(t.Target, false))
	case SilentLinks:
		end := w.server(t.Target, true).front.hush()
		time.Sleep(t.For)
		end()
	case ResetLinks:
		w.during(t.For, func(x *weather) { x.reset = 0.03 }, func(x *weather) { x.reset = 0 })
	case PieceLinks:
		w.during(t.For, func(x *weather) { x.pieces = true }, func(x *weather) { x.pieces = false })
	case SpoilLinks:
		w.during(t.For, func(x *weather) { x.spoil = 0.1 }, func(x *weather) { x.spoil = 0 })
	case SilentDiscovery, BrokenDiscovery:
		end := w.discovery.suffer(map[Kind]ill{SilentDiscovery: silentPolls, BrokenDiscovery: brokenPolls}[t.Kind])
		time.Sleep(t.For)
		end()
	case CancelBurst:
		w.behave(t.For, func(h *habits) { h.cancel = 0.5 }, func(h *habits) { h.cancel = 0 })
	case LeaveBurst:
		w.behave(t.For, func(h *habits) { h.leave = 0.3 }, func(h *habits) { h.leave = 0 })
	case HeldClients:
		w.behave(t.For, func(h *habits) { h.held = true }, func(h *habits) { h.held = false })
	case RudeClients:
		w.rudeClients(t.For)
	}
}

func (w *world) during(long time.Duration, begin, end func(*weather)) {
	w.weather.set(begin)
	time.Sleep(long)
	w.weather.set(end)
}

func (w *world) behave(long time.Duration, begin, end func(*habits)) {
	w.habits.set(begin)
	time.Sleep(long)
	w.habits.set(end)
}

// server is the one that a trouble meets: a cache server that is there, or, if any may be met, a parent or the origin as well.
func (w *world) server(target int, any bool) *server {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	var list []*server
	for i := range w.made + cacheServers {
		if s := w.site.servers[cacheName(i)]; s != nil && !s.gone {
			list = append(list, s)
		}
	}
	if any {
		for i := range parents {
			list = append(list, w.site.servers[fmt.Sprintf("s-parent-%d", cacheServers+i)])
		}
		list = append(list, w.site.origin)
	}
	return list[target%len(list)]
}

func cacheName(i int) string { return fmt.Sprintf("s-cache-%d", i) }

// rest has a router's clients stop new connections, and then everything, as the platform does around a planned end.
func (r *router) rest() {
	time.Sleep(300 * time.Millisecond)
	r.clients.closed.Store(true)
	time.Sleep(200 * time.Millisecond)
	r.clients.quiet.Store(true)
}

func (r *router) resume() {
	r.clients.closed.Store(false)
	r.clients.quiet.Store(false)
}

// start starts a router's process anew, with all that discovery has told by now.
func (w *world) start(i int, r *router) {
	p := w.discovery.port(i)
	w.fail(r.Configure(w.options.Seed*1000+uint64(i)+uint64(time.Now().UnixNano()%997), r.settings, p.ln.Addr().String(), w.discovery.known()))
	w.record.with(func() { w.record.told[i] = map[int]time.Time{} })
	begun := time.Now()
	if err := r.Start(); err != nil {
		w.fail(err)
	}
	if took := time.Since(begun); took > 10*time.Second {
		w.fail(fmt.Errorf("%s was ready after %v", r.Name, took))
	}
}

func (w *world) stopRouter(i int, r *router) {
	r.busy.Lock()
	defer r.busy.Unlock()
	r.dump()
	w.record.with(func() { w.record.processes[i].stopped = append(w.record.processes[i].stopped, time.Now()) })
	r.Signal(syscall.SIGTERM)
	r.rest()
	select {
	case <-r.Ended():
	case <-time.After(3700*time.Millisecond - 500*time.Millisecond + time.Second): // what SIGKILL comes after, and a second
		w.fail(fmt.Errorf("%s does not end after SIGTERM", r.Name))
		w.record.with(func() { w.record.processes[i].killed = append(w.record.processes[i].killed, time.Now()) })
		r.Kill()
	}
	w.start(i, r)
	r.resume()
}

func (w *world) killRouter(i int, r *router) {
	r.busy.Lock()
	defer r.busy.Unlock()
	w.record.with(func() { w.record.processes[i].killed = append(w.record.processes[i].killed, time.Now()) })
	from := time.Now()
	r.Kill()
	r.clients.quiet.Store(true)
	w.start(i, r)
	w.record.with(func() { w.record.processes[i].down = append(w.record.processes[i].down, interval{from, time.Now()}) })
	r.resume()
}

func (w *world) freezeRouter(i int, r *router, long time.Duration) {
	r.busy.Lock()
	defer r.busy.Unlock()
	from := time.Now()
	r.Signal(syscall.SIGSTOP)
	time.Sleep(long)
	r.Signal(syscall.SIGCONT)
	w.record.with(func() {
		w.record.processes[i].frozen = append(w.record.processes[i].frozen, interval{from, time.Now()})
	})
}

// fewDescriptors leaves a router a few descriptors more than it holds, less as it uses those.
func (w *world) fewDescriptors(i int, r *router, long time.Duration) {
	r.busy.Lock()
	defer r.busy.Unlock()
	from := time.Now()
	before, err := setSoftLimit(r.PID(), uint64(descriptors(r.PID())+2))
	if err != nil {
		return
	}
	time.Sleep(long)
	_, err = setSoftLimit(r.PID(), before)
	w.fail(err)
	w.record.with(func() {
		w.record.processes[i].starved = append(w.record.processes[i].starved, interval{from, time.Now()})
	})
}

// reloadRouters moves discovery for all routers at once.
func (w *world) reloadRouters() {
	for i, r := range w.routers {
		old := w.discovery.port(i)
		address, err := w.discovery.open(i)
		if err != nil {
			w.fail(err)
			return
		}
		w.fail(r.Configure(w.options.Seed*1000+uint64(i), r.settings, address, w.discovery.known()))
		r.Signal(syscall.SIGHUP)
		old.leave()
	}
}

// restartServer ends a cache server's connections, and has it start again with nothing.
func (w *world) restartServer(s *server) {
	s.reset()
	s.front.reset()
	s.mu.Lock()
	s.held = map[uint64]copied{}
	s.mu.Unlock()
	if s.isGone() {
		return
	}
	boot := time.Now()
	line := s.line("ready")
	line.Boot = boot
	no := w.discovery.list(false, line)
	w.noteCold(s, no, boot)
}

func (w *world) noteCold(s *server, no int, at time.Time) {
	w.record.with(func() {
		w.record.colds = append(w.record.colds, cold{server: s.uid, event: no, at: at, weight: s.weight})
	})
}

func (w *world) drainServer(s *server, long time.Duration) {
	s.drain(1)
	at := time.Now()
	no := w.discovery.list(false, s.line("draining"))
	time.Sleep(long)
	back := time.Now()
	w.record.with(func() {
		w.record.leaves = append(w.record.leaves, leave{server: s.uid, event: no, at: at, until: back})
	})
	s.drain(-1)
	if !s.isGone() {
		w.discovery.list(false, s.line("ready"))
	}
}

func (s *server) drain(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains += by
}

func (s *server) isGone() bool {
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	return s.gone
}

// replaceServer has a cache server vanish, and a new one, cold, take its address.
func (w *world) replaceServer(target int) {
	old := w.server(target, false)
	w.site.mu.Lock()
	if old.gone {
		w.site.mu.Unlock()
		return
	}
	old.gone = true
	uid := cacheName(cacheServers + w.made)
	w.made++
	w.site.mu.Unlock()
	address := old.front.address()
	_ = old.front.ln.Close()
	old.front.reset()
	old.reset()
	// A router that has not heard of it yet takes it for the old one: a repeat of what ran there must not run elsewhere.
	fresh, err := w.newServer(uid, site.Cache, old.cell, address)
	if err != nil {
		w.fail(err)
		return
	}
	boot := time.Now()
	gone, line := old.line("gone"), fresh.line("ready")
	line.Boot = boot
	no := w.discovery.list(false, gone, line)
	w.record.with(func() { w.record.leaves = append(w.record.leaves, leave{server: old.uid, event: no, at: boot}) })
	w.noteCold(fresh, no, boot)
}

// moveServer has a cache server be reached at another address; the old one goes on for what is open there.
func (w *world) moveServer(s *server) {
	p, err := newProxy(s.uid, "127.0.0.1:0", s.ln.Addr().String(), w.record, w.weather, func(id string) { w.site.called(s, id) })
	if err != nil {
		w.fail(err)
		return
	}
	w.site.mu.Lock()
	old := s.front
	s.front = p
	w.site.mu.Unlock()
	if !s.isGone() {
		w.discovery.list(false, s.line("ready"))
	}
	time.Sleep(3 * time.Second)
	_ = old.ln.Close()
}

// rudeClients come to all routers.
func (w *world) rudeClients(long time.Duration) {
	for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		r := w.routers[w.rng.IntN(len(w.routers))]
		w.mu.Unlock()
		go r.clients.rude()
	}
}
