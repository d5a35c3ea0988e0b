package testbed

// This file owns the experiments on a shared store.

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"fennelarch/internal/fake/redis"
	"fennelarch/internal/fake/site"
)

// storeSetup is what the experiments on stores start from: the store is the only cache of its location.
func storeSetup(routers int, with bool) Setup {
	s := Setup{
		Settings: Usual(routers), Objects: 400, Groups: 40, Skew: 1.2, SizeKB: 150,
		Origin: site.ServiceTime{Base: 30 * time.Millisecond, Jitter: 20 * time.Millisecond}, Parents: site.ServiceTime{Base: 4 * time.Millisecond, Jitter: 2 * time.Millisecond},
	}
	if with {
		s.Store = &redis.Config{Capacity: 4000, ColdShare: 0.1, ColdFor: 6 * time.Second}
		s.Shared = map[string]any{"capacity_per_s": 4000, "cold_share": 0.1, "cold_ms": 6000, "multiple": 1}
	}
	return s
}

// warm has a store that has run for long: its start is not what is tried.
func warm(s Setup) Setup {
	s.Store.Age = time.Hour
	return s
}

// arm plays one arm: routers start, a script runs beside the load, and all is judged.
func arm(r *Result, name string, seed uint64, set Setup, routers int, l Load, script func(s *Scene)) (*Seen, error) {
	s, err := NewScene(seed, set)
	if err != nil {
		return nil, err
	}
	if err := s.Start(routers); err != nil {
		s.End()
		return nil, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if script != nil {
			script(s)
		}
	}()
	s.Play(l)
	<-done
	n := s.End()
	r.rules(name, n)
	return n, nil
}

var _ = Register(Experiment{"store-none", "the baseline: the usual load without a store", func(o Options, r *Result) error {
	_, err := arm(r, "none", o.Seed, storeSetup(4, false), 4, Load{Rate: 60, For: o.long(8 * time.Second), Writes: 0.05}, nil)
	return err
}})

var _ = Register(Experiment{"store-cold", "a store that restarts empty in a busy minute is not pushed over by 1, 4 or 16 routers", func(o Options, r *Result) error {
	counts := []int{1, 4, 16}
	if o.Routers > 0 {
		counts = []int{o.Routers}
	}
	play := func(name string, n int, set Setup) (float64, error) {
		most := 0.0
		rate := 1600 / float64(n) // all routers together ask for more than a cold store bears
		seen, err := arm(r, name, o.Seed+uint64(n), set, n, Load{Rate: rate, For: o.long(10 * time.Second), Writes: 0.02}, func(s *Scene) {
			time.Sleep(o.long(3 * time.Second))
			most = s.Store.Counts().Peak
			s.Store.Stop(false)
			time.Sleep(200 * time.Millisecond)
			s.try(s.Store.Again(false))
			if set.Listed {
				line := s.storeLine("ready")
				line.Boot = time.Now()
				s.Site.Discovery.PublishChanges(line)
			}
		})
		if err != nil {
			return 0, err
		}
		most = max(most, seen.Store.Peak)
		r.Figure(name+" peak multiple", most)
		r.Figure(name+" values given", float64(seen.Store.Given))
		return most, nil
	}
	for _, n := range counts {
		name := fmt.Sprintf("%d routers", n)
		most, err := play(name, n, storeSetup(n, true))
		if err != nil {
			return err
		}
		r.Claim(most <= 1, name+": never asked for more than it bears", "at most %.2f of what it bore, in any second since a start", most)
	}
	told := storeSetup(4, true)
	told.Listed = true
	most, err := play("4 routers, told by the list", 4, told)
	if err != nil {
		return err
	}
	r.Claim(most <= 1, "told by the list: never asked for more than it bears", "at most %.2f", most)
	n := counts[len(counts)-1]
	set := storeSetup(n, true)
	set.Shared["cold_ms"] = 0 // nothing is known of how it starts: the decisions have nothing to go by
	most, err = play(fmt.Sprintf("%d routers, no budget", n), n, set)
	r.Claim(most > 1, "without a budget the same script pushes it over", "%.2f of what it bore", most)
	return err
}})

var _ = Register(Experiment{"store-slow", "a store that is slow without failing costs no view its due time", func(o Options, r *Result) error {
	n := 4
	if o.Routers > 0 {
		n = o.Routers
	}
	l := Load{Rate: 100, For: o.long(12 * time.Second), Writes: 0.02}
	base, err := arm(r, "none", o.Seed, storeSetup(n, false), n, l, nil)
	if err != nil {
		return err
	}
	for _, f := range []struct {
		name  string
		fault redis.Fault
	}{
		{"well", redis.Fault{}},
		{"10 ms", redis.Fault{Delay: 10 * time.Millisecond}},
		{"300 ms", redis.Fault{Delay: 300 * time.Millisecond, Spread: 20 * time.Millisecond}},
		{"for ever", redis.Fault{Silent: true}},
	} {
		seen, err := arm(r, f.name, o.Seed, warm(storeSetup(n, true)), n, l, func(s *Scene) {
			time.Sleep(l.For / 3)
			s.Store.Set(f.fault)
			time.Sleep(l.For / 3)
			s.Store.Set(redis.Fault{})
		})
		if err != nil {
			return err
		}
		r.Claim(seen.Share() >= base.Share()-0.01, "a store that answers "+f.name+" costs no due times",
			"%.4f of views in time, without a store %.4f; p99 %.0f ms and %.0f ms", seen.Share(), base.Share(), seen.P(99), base.P(99))
	}
	return nil
}})

var _ = Register(Experiment{"store-lease", "one object missed by 16 routers at once is filled once; a holder that dies costs nobody a due time", func(o Options, r *Result) error {
	n := 16
	if o.Routers > 0 {
		n = o.Routers
	}
	rounds := o.many(10)
	once := func(name string, lease bool, kill bool) (*Seen, error) {
		set := warm(storeSetup(n, true))
		set.Shared["lease"] = lease
		set.Origin = site.ServiceTime{Base: 80 * time.Millisecond, Jitter: 10 * time.Millisecond}
		s, err := NewScene(o.Seed, set)
		if err != nil {
			return nil, err
		}
		if err := s.Start(n); err != nil {
			s.End()
			return nil, err
		}
		// They learn first how long fills take, each by objects of its own.
		s.Play(Load{Rate: 10, For: 2 * time.Second, Single: true})
		time.Sleep(300 * time.Millisecond)
		before := len(s.Origin.Received())
		for round := range rounds {
			id := uint64(500_000_000 + round)
			at := time.Now()
			for i := range s.Routers {
				if s.Routers[i].Killed.IsZero() {
					go s.Ask(i, at, id, false)
				}
			}
			if kill && round < 3 {
				time.Sleep(25 * time.Millisecond)
				s.killHolder(id, round)
			}
			time.Sleep(450 * time.Millisecond)
		}
		fills := len(s.Origin.Received()) - before
		seen := s.End()
		r.rules(name, seen)
		r.Figure(name+" fills an object", float64(fills)/float64(rounds))
		asked, inTime, killed := 0, 0, 0
		for i, c := range s.Clients {
			for _, v := range c.Views() {
				switch {
				case v.Object.ID < 500_000_000:
				case v.InTime():
					asked, inTime = asked+1, inTime+1
				case !s.Routers[i].Killed.IsZero() && v.Answers == 0:
					killed++
				default:
					asked++
				}
			}
		}
		r.Claim(asked > 0 && inTime == asked, name+": every view is in time, but those of a killed router", "%d of %d, %d died with their router",
			inTime, asked, killed)
		return seen, nil
	}
	if _, err := once("lease", true, false); err != nil {
		return err
	}
	if _, err := once("no lease", false, false); err != nil {
		return err
	}
	if _, err := once("holders killed", true, true); err != nil {
		return err
	}
	with, without := r.Figures["lease fills an object"], r.Figures["no lease fills an object"]
	r.Claim(with <= 2, "with the lease an object is filled once or twice", "%.1f fills", with)
	r.Claim(without >= 2*with, "without it, by many", "%.1f fills", without)
	return nil
}})

// killHolder kills a router that has a fill of an object out, as the parents saw it: the first whose view came to one.
func (s *Scene) killHolder(id uint64, round int) {
	for _, p := range s.Parents {
		for _, a := range p.Received() {
			if a.Object.ID != id {
				continue
			}
			for i, c := range s.Clients {
				for _, v := range c.Views() {
					if v.Req == a.RequestID && s.Routers[i].Killed.IsZero() {
						s.Kill(i)
						return
					}
				}
			}
		}
	}
}

var _ = Register(Experiment{"store-purge", "no copy from before a purge is served past the grace, whatever befalls the store and the routers", func(o Options, r *Result) error {
	n := 3
	if o.Routers > 0 {
		n = o.Routers
	}
	set := warm(storeSetup(n, true))
	set.Objects, set.SizeKB = 120, 30
	set.Settings.ColdMS, set.Shared["cold_ms"] = 500, 500 // it restarts often
	l := Load{Rate: 150, For: o.long(24 * time.Second)}
	purged := 0
	seen, err := arm(r, "purges", o.Seed, set, n, l, func(s *Scene) {
		rng := rand.New(rand.NewPCG(o.Seed, 9))
		end := time.Now().Add(l.For - time.Second)
		for i := 0; time.Now().Before(end); i++ {
			if rng.IntN(8) == 0 {
				s.Purge(0, rng.IntN(s.Groups))
			} else {
				s.Purge(s.pick(rng, 60), 0)
			}
			purged++
			time.Sleep(time.Duration(10+rng.IntN(25)) * time.Millisecond)
			switch step := i % 130; {
			case step == 15:
				s.Store.Save()
			case step == 30: // the store cannot be reached while purges are told
				s.Store.Stop(false)
			case step == 45: // and comes back with what it held before them
				s.try(s.Store.Again(true))
			case step == 65: // the ledger is gone, the values are not
				s.Store.DropSets()
			case step == 80: // a router starts that was never told of what came before
				s.restart(i / 130 % len(s.Routers))
			case step == 95:
				s.Store.Set(redis.Fault{Delay: 40 * time.Millisecond, Spread: 40 * time.Millisecond})
			case step == 105:
				s.Store.Set(redis.Fault{Spoil: redis.Spoil(1 + rng.IntN(4))})
			case step == 112:
				s.Store.Set(redis.Fault{})
			case step == 120: // all that know are gone at once
				for k := range s.Routers {
					s.Kill(k)
				}
				s.Purge(s.pick(rng, 60), 0)
				for k := range s.Routers {
					s.again(k)
				}
			}
		}
	})
	if err != nil {
		return err
	}
	r.Figure("purges", float64(purged))
	r.Figure("values given", float64(seen.Store.Given))
	r.Claim(seen.Store.Given > seen.Views/20, "the store was of use meanwhile", "%d values given for %d views", seen.Store.Given, seen.Views)
	return nil
}})

func (s *Scene) try(err error) {
	if err != nil {
		s.errs = append(s.errs, err)
	}
}

// restart kills a router and starts it again; it is told only what the bulletin still lists: the nodes.
func (s *Scene) restart(i int) {
	s.Kill(i)
	s.again(i)
}

// again starts a killed router as a new one under its old address, with new clients.
func (s *Scene) again(i int) {
	old := s.Routers[i]
	program, _ := Program()
	r := &Router{Name: old.Name, Address: old.Address, program: program, folder: old.folder, args: old.args}
	if err := r.Configure(s.Seed*1000+uint64(len(s.Routers)), s.Settings, s.Site.Discovery.Address, s.Site.Discovery.Known()); err != nil {
		s.try(err)
		return
	}
	s.try(r.Start())
	s.Routers[i] = r
}

var _ = Register(Experiment{"store-faults", "whatever the store answers, views are served, and the store is used again when it is well", func(o Options, r *Result) error {
	n := 2
	l := Load{Rate: 120, For: o.long(3200 * time.Millisecond)}
	for _, f := range []struct {
		name  string
		fault redis.Fault
		log   string // the one plain line that tells of it
	}{
		{"LOADING", redis.Fault{Word: "LOADING Redis is loading the dataset in memory"}, "store reads its data in"},
		{"OOM", redis.Fault{Word: "OOM command not allowed when used memory > 'maxmemory'.", Verbs: []string{"SET", "PSETEX", "ZADD"}}, "store has no memory left"},
		{"READONLY", redis.Fault{Word: "READONLY You can't write against a read only replica.", Verbs: []string{"SET", "PSETEX", "ZADD", "DEL"}}, "store takes no writes"},
		{"NOAUTH", redis.Fault{Word: "NOAUTH Authentication required."}, "store refuses this user"},
		{"BUSY", redis.Fault{Word: "BUSY Redis is busy running a script."}, "store is busy"},
		{"MOVED", redis.Fault{Word: "MOVED 3999 127.0.0.1:1"}, "part of a cluster"},
		{"odd", redis.Fault{Word: "ERR something else"}, "store refuses"},
		{"cut", redis.Fault{Cut: true}, "store not connected"},
		{"length", redis.Fault{Length: true}, "store not connected"},
		{"flipped", redis.Fault{Spoil: redis.Flipped}, "do not add up"},
		{"halved", redis.Fault{Spoil: redis.Halved}, "store value cannot be used"},
		{"foreign", redis.Fault{Spoil: redis.Foreign}, "not a value of ours"},
		{"newer", redis.Fault{Spoil: redis.Newer}, "newer form"},
		{"silent", redis.Fault{Silent: true}, "store not connected"},
		{"crowded", redis.Fault{Crowd: true}, "store not connected"},
		{"240,000 bytes", redis.Fault{}, "store connected"}, // nothing is wrong but the size
	} {
		set := warm(storeSetup(n, true))
		set.Objects = 60
		if f.name == "240,000 bytes" {
			set.Fixed = 240_000
		}
		before, after := 0, 0
		logged := false
		seen, err := arm(r, f.name, o.Seed, set, n, l, func(s *Scene) {
			time.Sleep(l.For / 4)
			s.Store.Set(f.fault)
			time.Sleep(l.For / 4)
			s.Store.Set(redis.Fault{})
			time.Sleep(l.For / 4)
			before = s.Store.Counts().Given
			time.Sleep(l.For / 4)
			after = s.Store.Counts().Given
			for _, x := range s.Routers {
				logged = logged || strings.Contains(x.Log(), f.log)
			}
		})
		if err != nil {
			return err
		}
		r.Claim(seen.Share() >= 0.97, f.name+": views are in time all the same", "%.4f", seen.Share())
		r.Claim(after > before+20, f.name+": the store serves again a quarter later", "%d values", after-before)
		r.Claim(logged, f.name+": the log says so", "%q", f.log)
	}
	return nil
}})

var _ = Register(Experiment{"store-drain", "a store that is drained and gone while sets are out gets nothing past the grace", func(o Options, r *Result) error {
	n := 3
	set := warm(storeSetup(n, true))
	set.Listed, set.Boxes = true, 1
	asked, later := 0, 0
	l := Load{Rate: 120, For: o.long(8 * time.Second), Writes: 0.02}
	seen, err := arm(r, "drain", o.Seed, set, n, l, func(s *Scene) {
		time.Sleep(l.For / 4)
		s.Store.Set(redis.Fault{Delay: 20 * time.Millisecond, Verbs: []string{"PSETEX"}})
		time.Sleep(300 * time.Millisecond)
		s.Drain(storeUID, s.storeLine("draining"))
		time.Sleep(s.Settings.Grace + slack)
		asked = s.Store.Values()
		time.Sleep(l.For / 4)
		later = s.Store.Values()
		s.Site.Discovery.PublishChanges(s.storeLine("gone"))
		time.Sleep(500 * time.Millisecond)
		if s.Store.Values() != later {
			later = -1
		}
		s.Site.Discovery.PublishChanges(s.storeLine("ready"))
	})
	if err != nil {
		return err
	}
	r.Claim(asked > 0 && later == asked, "no get, lease or set past the grace", "%d before, %d later", asked, later)
	r.Claim(seen.Store.Given > 0 && seen.Share() >= 0.97, "views are in time all the same", "%.4f", seen.Share())
	return nil
}})

var _ = Register(Experiment{"store-cost", "what a view costs by way of a store, beside one by way of a cache", func(o Options, r *Result) error {
	l := Load{Rate: 300, For: o.long(6 * time.Second)}
	box := storeSetup(2, false)
	box.Boxes = 1
	base, err := arm(r, "cache", o.Seed, box, 2, l, nil)
	if err != nil {
		return err
	}
	seen, err := arm(r, "store", o.Seed, warm(storeSetup(2, true)), 2, l, nil)
	if err != nil {
		return err
	}
	r.Claim(seen.Share() >= base.Share()-0.01, "a store is as good as a cache", "%.4f of views in time, by a cache %.4f", seen.Share(), base.Share())
	r.Claim(seen.CPU <= 2*base.CPU, "and costs less than twice its processor time", "%v and %v", seen.CPU, base.CPU)
	r.Claim(seen.PeakMB <= base.PeakMB+16, "and no more than 16 MB besides", "%.0f MB and %.0f MB", seen.PeakMB, base.PeakMB)
	return nil
}})
