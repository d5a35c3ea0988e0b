package soak

// This file owns a run: it puts routers, servers, discovery and clients together, plays the plan, and brings the two judgements
// together: the one from outside, and what the routers' own guards counted. Both must be empty.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"fennelarch/internal/fake/site"
	"fennelarch/internal/testbed"

	"golang.org/x/sys/unix"
)

// Sizes of a run at scale 1.
const (
	routersAtOne = 24
	longAtOne    = 24 * time.Second
	rate         = 12.0 // requests a second at each router
	cacheServers = 8
	parents      = 2
	objects      = 400
	weight       = 4.0
)

var _ = testbed.Register(testbed.Experiment{
	Name: "soak", Run: run,
	Shows: "dozens of routers under overlapping troubles and failing system calls break no rule",
})

// PlanError is a plan that can't be used.
type PlanError struct{ error }

// run plays one seed.
func run(o testbed.Options, r *testbed.Result) error {
	program, err := FaultyProgram()
	if err != nil {
		return err
	}
	routers := o.Routers
	if routers == 0 {
		routers = max(4, int(routersAtOne*min(1, o.Scale)))
	}
	long := max(6*time.Second, time.Duration(float64(longAtOne)*o.Scale))
	plan := NewPlan(o.Seed, long)
	if o.Plan != "" {
		if plan, err = ParsePlan(o.Plan); err != nil {
			return PlanError{err}
		}
	}
	w, err := newWorld(o, program, routers)
	if err != nil {
		return err
	}
	w.play(plan, long)
	w.finish()
	w.conclude(r, plan)
	return nil
}

// FaultyProgram finds the router that is built with injected faults, beside this program or where FENNELARCH_FAULTY says.
func FaultyProgram() (string, error) {
	path := os.Getenv("FENNELARCH_FAULTY")
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "fennelarch-faults")
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the router with injected faults is not built (go build -tags faults -o bin/fennelarch-faults ./cmd/fennelarch): %w", err)
	}
	return path, nil
}

// world is all that a run is made of.
type world struct {
	options   testbed.Options
	folder    string // of configurations and recorders
	record    *Record
	site      *serverSet
	weather   *weather
	discovery *discovery
	habits    habits
	routers   []*router
	done      chan struct{}
	troubles  sync.WaitGroup

	mu   sync.Mutex
	rng  *rand.Rand
	errs []error
	made int // servers that were made later
}

// router is one router with its clients.
type router struct {
	*testbed.Router
	clients  *clients
	busy     sync.Mutex // one thing is done to its process at a time
	settings testbed.Settings
	crashes  []string
}

func newWorld(o testbed.Options, program string, routers int) (*world, error) {
	w := &world{
		options: o, record: newRecord(routers), done: make(chan struct{}), rng: rand.New(rand.NewPCG(o.Seed, 31)),
		weather: &weather{rng: rand.New(rand.NewPCG(o.Seed, 32))},
	}
	var err error
	if w.folder, err = os.MkdirTemp("", "soak"); err != nil {
		return nil, err
	}
	w.site = &serverSet{record: w.record, servers: map[string]*server{}, effects: map[string]map[int]time.Time{}}
	w.discovery = newDiscovery(w.record)
	go w.record.watch(w.done)
	var lines []line
	for i := range cacheServers + parents + 1 {
		kind, uid := site.Cache, fmt.Sprintf("s-cache-%d", i)
		switch {
		case i == cacheServers+parents:
			kind, uid = site.Origin, "s-origin"
		case i >= cacheServers:
			kind, uid = site.Parent, fmt.Sprintf("s-parent-%d", i)
		}
		s, err := w.newServer(uid, kind, i%2, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		lines = append(lines, s.line("ready"))
	}
	w.site.origin = w.site.byUID("s-origin")
	w.discovery.list(true, lines...)
	starts := make(chan error, routers)
	for i := range routers {
		r, err := w.newRouter(program, i, routers)
		if err != nil {
			return nil, err
		}
		w.routers = append(w.routers, r)
		go func() { starts <- r.Start() }()
	}
	for range routers {
		err = errors.Join(err, <-starts)
	}
	return w, err
}

func (w *world) newServer(uid string, kind site.Kind, cell int, address string) (*server, error) {
	s := &server{
		site: w.site, uid: uid, kind: kind, cell: cell, weight: weight, held: map[uint64]copied{}, conns: map[net.Conn]bool{},
		rng: rand.New(rand.NewPCG(w.options.Seed, uint64(len(uid))+uint64(w.made))),
	}
	var err error
	if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.front, err = newProxy(uid, address, s.ln.Addr().String(), w.record, w.weather, func(id string) { w.site.called(s, id) })
	if err != nil {
		return nil, err
	}
	w.site.mu.Lock()
	w.site.servers[uid] = s
	w.site.mu.Unlock()
	go s.accept()
	return s, nil
}

// line is what the list says of the server: it drains as long as any trouble has it drain.
func (s *server) line(state string) line {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == "ready" && s.drains > 0 {
		state = "draining"
	}
	return line{site.Line{UID: s.uid, Address: s.front.address(), Kind: s.kind, State: state, Weight: s.weight}, s.cell}
}

// faultPlan is what fails in one router's process.
func (w *world) faultPlan(router int) string {
	rng := rand.New(rand.NewPCG(w.options.Seed, 100+uint64(router)))
	words := []string{fmt.Sprintf("seed=%d", w.options.Seed*1000+uint64(router))}
	rate := func(name string, most float64) {
		if rng.Float64() < 0.6 {
			words = append(words, fmt.Sprintf("%s=%.4f", name, most*rng.Float64()))
		}
	}
	rate("accept", 0.2)
	rate("dial", 0.1)
	rate("read", 0.05)
	rate("write", 0.05)
	rate("reset", 0.002)
	rate("file", 0.3)
	if rng.Float64() < 0.4 {
		words = append(words, fmt.Sprintf("listen=%d", 1+rng.IntN(5)))
	}
	if rng.Float64() < 0.7 {
		by := []string{"1h", "-1h", "3s", "-3s", "40s", "-40s"}
		words = append(words, fmt.Sprintf("clock=%dms:%s,%dms:%s", 500+rng.IntN(5000), by[rng.IntN(len(by))], 6000+rng.IntN(9000),
			by[rng.IntN(len(by))]))
	}
	return strings.Join(words, " ")
}

func (w *world) newRouter(program string, i, routers int) (*router, error) {
	address, err := w.discovery.open(i)
	if err != nil {
		return nil, err
	}
	settings := testbed.Usual(routers)
	settings.Grace, settings.FlowKB, settings.ColdMS, settings.ColdShare = drainGrace, flow, float64(coldFor.Milliseconds()), coldShare
	settings.Sockets, settings.MemoryMB = 512, 96
	settings.Change = change
	seed := w.options.Seed*1000 + uint64(i)
	r := &router{settings: settings}
	if r.Router, err = testbed.NewRouter(program, w.folder, fmt.Sprintf("n%d", i), seed, settings, address, w.discovery.known(), ""); err != nil {
		return nil, err
	}
	r.Env = []string{"FENNELARCH_FAULTS=" + w.faultPlan(i), "RELAY_RECORDER=" + w.folder}
	r.clients = &clients{router: i, address: r.Address, record: w.record, habits: &w.habits, objects: objects, rng: rand.New(rand.NewPCG(seed, 33))}
	return r, nil
}

// change has the settings speak of the soak's classes.
func change(settings map[string]any) {
	var list []map[string]any
	var writes []bool
	var fresh []float64
	effects := map[Effect]string{Repeatable: "retryable", Keyed: "dedup", OneShot: "fragile"}
	for _, c := range classes {
		list = append(list, map[string]any{
			"name": c.Name, "target_ms": 600, "aim_stretch": 1.6, "deadline_ms": c.Timeout.Milliseconds(),
			"importance": 2, "late_worth": 0.15, "effect": effects[c.Effect], "group": "cell", "window_ms": c.Window.Milliseconds(),
		})
		writes, fresh = append(writes, c.Write), append(fresh, float64(c.Fresh.Milliseconds()))
	}
	settings["classes"] = list
	own := settings["specifics"].(map[string]any)
	own["class_write"], own["lifetime_by_class_ms"] = writes, fresh
	own["gone_everywhere_ms"] = goneEverywhere.Milliseconds()
}

func (w *world) fail(err error) {
	if err != nil {
		w.mu.Lock()
		w.errs = append(w.errs, err)
		w.mu.Unlock()
	}
}

// play plays the plan while clients ask.
func (w *world) play(plan []Trouble, long time.Duration) {
	begun := time.Now()
	w.record.with(func() { w.record.began = begun })
	end := begun.Add(long)
	var asking sync.WaitGroup
	for _, r := range w.routers {
		asking.Go(func() { r.clients.run(rate, end) })
	}
	asking.Go(func() { w.purge(end) })
	for _, t := range plan {
		time.Sleep(time.Until(begun.Add(t.At)))
		if time.Now().After(end) {
			break
		}
		w.troubles.Go(func() { w.trouble(t) })
	}
	asking.Wait()
	w.troubles.Wait()
}

// purge purges an object now and then.
func (w *world) purge(end time.Time) {
	for time.Now().Before(end) {
		w.mu.Lock()
		object, wait := 1+uint64(w.rng.IntN(objects/8)), time.Duration(50+w.rng.IntN(150))*time.Millisecond
		w.mu.Unlock()
		issued := time.Now().Truncate(time.Millisecond)
		at := time.Now()
		no := w.discovery.tell(fmt.Sprintf(`"recall":{"item":"%016x","issued":%d}`, object, issued.UnixMilli()))
		w.record.with(func() { w.record.purges = append(w.record.purges, purge{object, no, at, issued}) })
		time.Sleep(wait)
	}
}

// finish lets what is open end, and ends the routers.
func (w *world) finish() {
	var all sync.WaitGroup
	for _, r := range w.routers {
		all.Go(r.clients.settle)
	}
	all.Wait()
	for _, r := range w.routers {
		all.Go(func() {
			r.busy.Lock()
			defer r.busy.Unlock()
			r.dump()
			w.fail(r.Stop())
		})
	}
	all.Wait()
	close(w.done)
}

// Report is what a run brought, as it is written down.
type Report struct {
	Seed     uint64            `json:"seed"`
	Plan     []string          `json:"plan"`
	Faults   map[string]string `json:"faults"`
	Requests int               `json:"requests"`
	Answered map[string]int    `json:"answered"`
	Excused  map[string]int    `json:"excused"`
	Breaches []Breach          `json:"breaches"`
	Counted  map[string]int    `json:"counted"` // by the routers' own guards
	Errors   []string          `json:"errors"`
	Lag      time.Duration     `json:"lag"` // of the laboratory itself, at the most
}

// conclude judges the run, and claims what must hold.
func (w *world) conclude(r *testbed.Result, plan []Trouble) {
	breaches, excused := w.record.judge()
	report := Report{
		Seed: w.options.Seed, Faults: map[string]string{}, Requests: len(w.record.requests), Answered: map[string]int{},
		Excused: excused, Breaches: breaches, Counted: map[string]int{},
	}
	for _, t := range plan {
		report.Plan = append(report.Plan, t.String())
	}
	for _, q := range w.record.requests {
		if q.Answers > 0 {
			report.Answered[q.Word]++
		}
	}
	for _, l := range w.record.lags {
		report.Lag = max(report.Lag, l.until.Sub(l.from))
	}
	for i, n := range w.routers {
		report.Faults[n.Name] = w.faultPlan(i)
		for line := range strings.Lines(n.Log()) {
			if _, rest, found := strings.Cut(line, "invariant violated"); found {
				report.Counted[kindOf(rest)]++
			}
		}
	}
	for _, err := range w.errs {
		report.Errors = append(report.Errors, err.Error())
	}
	w.say(&report, len(plan))
	r.Claim(len(breaches) == 0, "no rule is broken, as clients and servers see it", "%d requests, %d breaches %v", report.Requests,
		len(breaches), kindsOf(breaches))
	r.Claim(len(report.Counted) == 0, "no guard counts a violation", "%v", report.Counted)
	r.Claim(len(report.Errors) == 0, "no router crashes, or fails to start or to end", "%v", report.Errors)
	served := report.Answered["OK"]
	r.Claim(served*3 > report.Requests, "a third of all requests is served all the same", "%d of %d", served, report.Requests)
	r.Claim(excused["crossed"]*200 <= report.Requests, "ends of connections that cross a request are few", "%d of %d", excused["crossed"],
		report.Requests)
	r.Figure("requests", float64(report.Requests))
	r.Figure("troubles", float64(len(plan)))
	r.Figure("served", float64(served))
	r.Figure("breaches", float64(len(breaches)))
	w.keep(&report, !r.Held())
}

func kindOf(line string) string {
	_, rest, _ := strings.Cut(line, `"kind": "`)
	kind, _, _ := strings.Cut(rest, `"`)
	return kind
}

func kindsOf(breaches []Breach) map[string]int {
	kinds := map[string]int{}
	for _, b := range breaches {
		kinds[b.Kind]++
	}
	return kinds
}

// say tells the run in one line.
func (w *world) say(r *Report, troubles int) {
	word := "passed"
	if len(r.Breaches)+len(r.Counted)+len(r.Errors) > 0 {
		word = "FAILED"
	}
	w.options.Say("seed %d: %s, %d requests %v, excused %v, %d troubles, breaches %v, counted %v, %d errors, own lag %v", r.Seed, word, r.Requests,
		r.Answered, r.Excused, troubles, kindsOf(r.Breaches), r.Counted, len(r.Errors), r.Lag.Round(time.Millisecond))
}

// keep writes the report down; of a run that failed, the routers' logs and recorders too.
func (w *world) keep(report *Report, failed bool) {
	defer os.RemoveAll(w.folder)
	if w.options.Out == "" {
		return
	}
	out := filepath.Join(w.options.Out, fmt.Sprintf("soak-%d", w.options.Seed))
	if err := os.MkdirAll(out, 0o755); err != nil {
		return
	}
	text, _ := json.MarshalIndent(report, "", "  ")
	_ = os.WriteFile(filepath.Join(out, "report.json"), text, 0o644)
	_ = os.WriteFile(filepath.Join(out, "plan.txt"), []byte(strings.Join(report.Plan, "\n")+"\n"), 0o644)
	if !failed {
		return
	}
	for _, r := range w.routers {
		_ = os.WriteFile(filepath.Join(out, r.Name+".log"), []byte(r.Log()), 0o644)
	}
	_ = os.WriteFile(filepath.Join(out, "events.txt"), []byte(w.discovery.history(w.record.began)), 0o644)
	recorders, _ := filepath.Glob(filepath.Join(w.folder, "recorder-*.txt"))
	for _, path := range recorders {
		if text, err := os.ReadFile(path); err == nil {
			_ = os.WriteFile(filepath.Join(out, filepath.Base(path)), text, 0o644)
		}
	}
	for _, b := range report.Breaches[:min(len(report.Breaches), 10)] {
		w.options.Say("  %s: request %s, router n%d: %s", b.Kind, b.Request, b.Router, b.Told)
	}
	w.options.Say("  kept in %s; the same plan again: --seed %d, or --plan %s", out, w.options.Seed, filepath.Join(out, "plan.txt"))
}

// dump has a router write its recorder out, for the case that the run has failed.
func (r *router) dump() {
	r.Signal(syscall.SIGUSR1)
	time.Sleep(50 * time.Millisecond)
}

// setSoftLimit bounds the descriptors of a router's process, and returns what they were.
func setSoftLimit(pid int, soft uint64) (before uint64, err error) {
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return 0, err
	}
	before = limit.Cur
	limit.Cur = min(soft, limit.Max)
	return before, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// descriptors is how many a process holds.
func descriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}
