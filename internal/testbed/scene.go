package testbed

// This file owns a scene: a site, a store, routers and clients, put together for one arm of an experiment, the load that
// is played on it, and what was seen of it in the end.

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"fennelarch/internal/fake/redis"
	"fennelarch/internal/fake/site"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"
)

// Setup says what a scene is made of.
type Setup struct {
	Settings Settings
	Store    *redis.Config  // none: there is no store
	Shared   map[string]any // of the operator's file
	Listed   bool           // the list names the store
	Extra    map[string]any // of the operator's file besides
	Keys     *tls.Config    // with which clients speak, none: plainly
	Boxes    int
	Objects  int
	Groups   int
	Skew     float64 // of popularity, over 1
	SizeKB   float64 // the middle of sizes
	Fixed    int     // bytes of each object, 0: by its size
	Origin   site.ServiceTime
	Parents  site.ServiceTime
}

// Scene is one arm of an experiment.
type Scene struct {
	Setup
	Seed    uint64
	Site    *site.Site
	Store   *redis.Store
	Origin  *site.CacheServer
	Parents []*site.CacheServer
	Boxes   []*site.CacheServer
	Routers []*Router
	Clients []*Clients
	Begun   time.Time

	folder string
	sizes  []float64 // KB by object
	purges []purge
	drains map[string]time.Time
	kills  map[int][]time.Time // of routers, by their place
	errs   []error
}

type purge struct {
	object uint64
	group  int
	at     time.Time
}

const storeUID = "s-redis"

// NewScene starts everything but the routers.
func NewScene(seed uint64, set Setup) (*Scene, error) {
	s := &Scene{Setup: set, Seed: seed, drains: map[string]time.Time{}, kills: map[int][]time.Time{}}
	sized := distuv.LogNormal{Mu: math.Log(max(1, set.SizeKB)), Sigma: 0.6, Src: rand.NewPCG(seed, 4)}
	for range set.Objects + 1 {
		s.sizes = append(s.sizes, min(1500, sized.Rand()))
	}
	s.Site = site.New(func(o site.Object) int { return s.bytes(o.ID) }, s.group)
	var err error
	if s.folder, err = os.MkdirTemp("", "testbed"); err != nil {
		return nil, err
	}
	if s.Origin, err = s.addServer("s-origin", site.Origin, set.Origin, seed+1); err != nil {
		return nil, err
	}
	lines := []site.Endpoint{s.Origin.Endpoint(site.StateReady)}
	for i := range 2 {
		p, err := s.addServer(fmt.Sprintf("s-parent-%d", i), site.Parent, set.Parents, seed+2+uint64(i))
		if err != nil {
			return nil, err
		}
		s.Parents = append(s.Parents, p)
		lines = append(lines, p.Endpoint(site.StateReady))
	}
	for i := range set.Boxes {
		b, err := s.addServer(fmt.Sprintf("s-box-%d", i), site.Cache, site.ServiceTime{Base: time.Millisecond}, seed+5+uint64(i))
		if err != nil {
			return nil, err
		}
		s.Boxes = append(s.Boxes, b)
		lines = append(lines, b.Endpoint(site.StateReady))
	}
	if set.Store != nil {
		c := *set.Store
		c.Seed = seed
		if s.Store, err = redis.Start(c); err != nil {
			return nil, err
		}
		if set.Listed {
			lines = append(lines, s.storeLine("ready"))
		}
	}
	s.Site.Discovery.PublishList(lines...)
	return s, nil
}

func (s *Scene) addServer(uid string, kind site.Kind, serviceTime site.ServiceTime, seed uint64) (*site.CacheServer, error) {
	return s.Site.Add(site.CacheServerOptions{UID: uid, Kind: kind, Weight: 8, ServiceTime: serviceTime, Seed: seed})
}

func (s *Scene) storeLine(state string) site.Endpoint {
	return site.Endpoint{UID: storeUID, Address: s.Store.Address(), Zone: "west", Kind: site.Cache, State: state, Weight: 8}
}

// bytes is an object's size on the socket: a fifteenth of what it stands for, as on the bench's platform.
func (s *Scene) bytes(id uint64) int {
	if s.Fixed > 0 {
		return s.Fixed
	}
	return max(80, int(s.kb(id)*1024/15))
}

func (s *Scene) kb(id uint64) float64 { return s.sizes[int(id)%len(s.sizes)] }

func (s *Scene) group(id uint64) int { return int(id) % max(1, s.Groups) }

// operator is the operator's file of the scene.
func (s *Scene) operator() string {
	if s.Store == nil && s.Extra == nil {
		return ""
	}
	file := map[string]any{}
	maps.Copy(file, s.Extra)
	if s.Store != nil {
		file["stores"] = []map[string]any{{"uid": storeUID, "addresses": []string{s.Store.Address()}, "listed": s.Listed, "weight": 8, "prefix": "lab:"}}
		file["shared"] = s.Shared
	}
	text, _ := json.Marshal(file)
	return string(text)
}

// Start starts so many more routers, side by side.
func (s *Scene) Start(n int) error {
	program, err := Program()
	if err != nil {
		return err
	}
	from := len(s.Routers)
	for i := from; i < from+n; i++ {
		r, err := NewRouter(program, s.folder, fmt.Sprintf("n%d", i), s.Seed*1000+uint64(i), s.Settings, s.Site.Discovery.Address,
			s.Site.Discovery.Known(), s.operator())
		if err != nil {
			return err
		}
		s.Routers = append(s.Routers, r)
		r.secure = s.Keys != nil
		c := NewClients(i, r.Address, s.Seed*1000+uint64(i))
		c.keys = s.Keys
		s.Clients = append(s.Clients, c)
	}
	errs := make(chan error, n)
	for _, r := range s.Routers[from:] {
		go func() { errs <- r.Start() }()
	}
	for range n {
		err = cmpErr(err, <-errs)
	}
	s.Begun = time.Now()
	return err
}

func cmpErr(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// Load is an open loop of views: they come when they come, whatever became of those before.
type Load struct {
	Rate   float64 // views a second at each router
	For    time.Duration
	Writes float64 // the part that are signoffs
	Only   uint64  // if not 0: all views are for this object
	Single bool    // each object is asked for once
}

// Play plays a load on all routers and returns when the last view has been sent.
func (s *Scene) Play(l Load) {
	var wait sync.WaitGroup
	for i, c := range s.Clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.play(i, c, l)
		}()
	}
	wait.Wait()
}

func (s *Scene) play(i int, c *Clients, l Load) {
	src := rand.New(rand.NewPCG(s.Seed*77+uint64(i), uint64(l.Rate*1000)))
	gaps := distuv.Exponential{Rate: l.Rate, Src: src}
	popular := rand.NewZipf(src, max(1.01, s.Skew), 4, uint64(max(1, s.Objects-1)))
	begun, at, n := time.Now(), time.Duration(0), uint64(0)
	for {
		at += time.Duration(gaps.Rand() * float64(time.Second))
		if at >= l.For {
			return
		}
		id := popular.Uint64() + 1
		n++
		switch {
		case l.Only != 0:
			id = l.Only
		case l.Single:
			id = uint64(i+1)*1_000_000 + n
		}
		write := src.Float64() < l.Writes
		time.Sleep(time.Until(begun.Add(at)))
		s.Ask(i, begun.Add(at), id, write)
	}
}

// Kill ends a router at once.
func (s *Scene) Kill(i int) {
	s.Routers[i].Kill()
	s.kills[i] = append(s.kills[i], time.Now())
}

// Ask sends one view to a router.
func (s *Scene) Ask(router int, meant time.Time, id uint64, write bool) *View {
	c := s.Clients[router]
	if write {
		return c.Ask(meant, "signoff", site.Object{ID: id}, s.group(id), 4, 3*time.Second, 700*time.Millisecond, "signed")
	}
	kb := s.kb(id)
	due := time.Duration((s.Settings.DueMS + 1.6*1000*kb/s.Settings.FlowKB) * float64(time.Millisecond))
	return c.Ask(meant, "clip", site.Object{ID: id}, s.group(id), kb, time.Duration(s.Settings.HardMS)*time.Millisecond, due, "")
}

// Purge purges an object, or a group where it is 0.
func (s *Scene) Purge(object uint64, group int) {
	if object != 0 {
		s.purges = append(s.purges, purge{object, group, s.Site.PurgeObject(object)})
		return
	}
	s.purges = append(s.purges, purge{object, group, s.Site.PurgeGroup(group)})
}

// Drain tells that the store is to be left alone.
func (s *Scene) Drain(uid string, line site.Endpoint) {
	s.Site.Discovery.PublishChanges(line)
	s.drains[uid] = time.Now()
}

// Seen is what came of a scene.
type Seen struct {
	Views, Served, InTime, TurnedBack, Failed, Crossed, Lost, Twice, Late int
	Stale, Wrong, RanTwice, AfterDrain                                    int
	Why                                                                   string // the last one was lost
	Fills                                                                 int    // that the origin was asked for
	Times                                                                 *hdrhistogram.Histogram
	CPU                                                                   time.Duration // of all routers
	PeakMB                                                                float64       // of the one that used most
	Files                                                                 int
	Store                                                                 redis.Counts
	Errors                                                                []string
}

// Share is the part of views that were served by their due time.
func (n *Seen) Share() float64 { return float64(n.InTime) / float64(max(1, n.Views)) }

// P is a percentile of the time to a served answer, in milliseconds.
func (n *Seen) P(percent float64) float64 { return float64(n.Times.ValueAtQuantile(percent)) / 1000 }

// End settles the clients, ends the routers and the stand-ins, and returns what was seen. Views are judged by the five
// rules from what clients and stand-ins saw.
func (s *Scene) End() *Seen {
	var wait sync.WaitGroup
	for _, c := range s.Clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.Settle()
		}()
	}
	wait.Wait()
	n := &Seen{Times: hdrhistogram.New(1, 60_000_000, 3)}
	for _, r := range s.Routers {
		if !r.Killed.IsZero() {
			continue
		}
		u := r.Use()
		n.CPU += u.CPU
		n.PeakMB, n.Files = max(n.PeakMB, u.PeakMB), max(n.Files, u.Files)
	}
	errs := make(chan error, len(s.Routers))
	for _, r := range s.Routers {
		go func() { errs <- r.Stop() }()
	}
	for range s.Routers {
		if err := <-errs; err != nil {
			s.errs = append(s.errs, err)
		}
	}
	if s.Store != nil {
		n.Store = s.Store.Counts()
		s.Store.Close()
	}
	s.Site.Close()
	for _, c := range s.Clients {
		for _, v := range c.Views() {
			s.judge(n, v)
		}
	}
	for _, a := range s.Origin.Received() {
		if !a.IsWrite {
			n.Fills++
		}
	}
	s.judgeDrains(n)
	for _, err := range s.errs {
		n.Errors = append(n.Errors, err.Error())
	}
	if to := os.Getenv("FENNELAB_LOGS"); to != "" { // for a look at what a claim that failed was about
		for _, r := range s.Routers {
			_ = os.WriteFile(filepath.Join(to, fmt.Sprintf("%s-%d-%s.log", filepath.Base(s.folder), s.Seed, r.Name)), []byte(r.Log()), 0o600)
		}
	}
	_ = os.RemoveAll(s.folder)
	return n
}

// slack is what the system itself may add to a time.
const slack = 50 * time.Millisecond

func (s *Scene) judge(n *Seen, v *View) {
	if v.Sent.IsZero() {
		n.Failed++
		n.Views++
		return
	}
	n.Views++
	killed := slices.ContainsFunc(s.kills[v.Router], func(at time.Time) bool {
		return v.Sent.Before(at) && at.Sub(v.Sent) < v.Timeout
	})
	switch {
	case v.Answers > 1:
		n.Twice++
	case v.Answers == 0 && v.Failed && v.Ended.Sub(v.Sent) <= slack:
		n.Crossed++ // it crossed the end of a connection that rested: a client may send it again
		n.Failed++
		return
	case v.Answers == 0 && !killed:
		n.Lost++
		n.Why = fmt.Sprintf("sent %v after the start, ended %v later: %v", v.Sent.Sub(s.Begun).Round(time.Millisecond), v.Ended.Sub(v.Sent).Round(time.Millisecond), v.Failed)
		return
	case v.Answers == 0:
		n.Failed++
		return
	}
	if v.Answered.Sub(v.Sent) > v.Timeout+slack {
		n.Late++
	}
	switch v.Word {
	case "OK":
		n.Served++
		_ = n.Times.RecordValue(max(1, v.Took().Microseconds()))
		if v.InTime() {
			n.InTime++
		}
	case "BUSY":
		n.TurnedBack++
	default:
		n.Failed++
	}
	if v.Tariff != "clip" {
		if s.Site.WriteRuns(v.Req) > 1 || v.Word == "BUSY" && s.Site.WriteRuns(v.Req) > 0 {
			n.RanTwice++
		}
		return
	}
	if v.Word != "OK" {
		return
	}
	o, born, whole := site.ParseBody(v.Body)
	if !whole || o != v.Object {
		n.Wrong++
		return
	}
	for _, p := range s.purges {
		if (p.object == v.Object.ID || p.object == 0 && p.group == s.group(v.Object.ID)) && v.Sent.After(p.at.Add(s.Settings.Grace+slack)) &&
			!born.After(p.at) {
			n.Stale++
			return
		}
	}
}

func (s *Scene) judgeDrains(n *Seen) {
	for uid, told := range s.drains {
		over := told.Add(s.Settings.Grace + slack)
		for _, nodes := range [][]*site.CacheServer{s.Parents, s.Boxes} {
			for _, d := range nodes {
				for _, a := range d.Received() {
					if a.At.After(over) && (d.UID == uid && a.FilledFor == "" || a.Source == uid) {
						n.AfterDrain++
					}
				}
			}
		}
	}
}

// pick is a seeded choice among the objects asked for most.
func (s *Scene) pick(r *rand.Rand, most int) uint64 {
	return uint64(1 + r.IntN(max(1, min(most, s.Objects))))
}
