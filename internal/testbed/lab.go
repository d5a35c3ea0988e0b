package testbed

// This file owns the list of experiments and what each brings: claims that held or did not, and figures.

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Options are what an experiment is run with.
type Options struct {
	Seed    uint64
	Scale   float64 // of rates and durations, 1: as told in the results
	Routers int     // 0: the experiment's own
	Plan    string  // of a run that has one, as text; "": by the seed
	Out     string  // the folder for what a run that failed leaves behind, "": none
	Note    io.Writer
}

func (o Options) Say(format string, a ...any) {
	if o.Note != nil {
		fmt.Fprintf(o.Note, format+"\n", a...)
	}
}

func (o Options) long(d time.Duration) time.Duration {
	return max(d/4, time.Duration(float64(d)*o.Scale))
}

func (o Options) many(n int) int { return max(1, int(float64(n)*o.Scale)) }

// Claim is one thing that an experiment must show.
type Claim struct {
	Name string `json:"name"`
	Held bool   `json:"held"`
	Told string `json:"told"`
}

// Result is what an experiment brought.
type Result struct {
	Experiment string             `json:"experiment"`
	Seed       uint64             `json:"seed"`
	Scale      float64            `json:"scale"`
	Claims     []Claim            `json:"claims"`
	Figures    map[string]float64 `json:"figures"`
	Arms       map[string]*Seen   `json:"-"`
}

// Held says whether every claim did; an experiment without claims shows nothing.
func (r *Result) Held() bool {
	return len(r.Claims) > 0 && !slices.ContainsFunc(r.Claims, func(c Claim) bool { return !c.Held })
}

func (r *Result) Claim(held bool, name, format string, a ...any) {
	r.Claims = append(r.Claims, Claim{name, held, fmt.Sprintf(format, a...)})
}

func (r *Result) Figure(name string, x float64) { r.Figures[name] = x }

// rules claims what must hold in every arm.
func (r *Result) rules(arm string, n *Seen) {
	r.Claim(n.Views > 0 && n.Lost == 0 && n.Twice == 0 && n.Late == 0, arm+": one final answer in time for each view",
		"%d views, %d lost, %d answered twice, %d after their time %s", n.Views, n.Lost, n.Twice, n.Late, n.Why)
	r.Claim(n.RanTwice == 0 && n.Wrong == 0, arm+": nothing runs twice, every byte is right", "%d ran twice, %d with wrong bytes",
		n.RanTwice, n.Wrong)
	r.Claim(n.AfterDrain == 0, arm+": drains are kept", "%d legs or sources past the grace", n.AfterDrain)
	r.Claim(n.Stale == 0, arm+": purges are kept", "%d answers from before a purge past the grace", n.Stale)
	r.Claim(len(n.Errors) == 0, arm+": no router crashed", "%v", n.Errors)
	r.figures(arm, n)
}

// figures tells of an arm without a claim: a baseline may break what it likes.
func (r *Result) figures(arm string, n *Seen) {
	r.Arms[arm] = n
	r.Figure(arm+" lost", float64(n.Lost))
	r.Figure(arm+" views", float64(n.Views))
	r.Figure(arm+" due share", n.Share())
	r.Figure(arm+" turned back", float64(n.TurnedBack))
	r.Figure(arm+" p50 ms", n.P(50))
	r.Figure(arm+" p99 ms", n.P(99))
	r.Figure(arm+" fills at the origin", float64(n.Fills))
	r.Figure(arm+" cpu us a view", float64(n.CPU.Microseconds())/float64(max(1, n.Views)))
	r.Figure(arm+" peak MB", n.PeakMB)
	r.Figure(arm+" files", float64(n.Files))
}

// Experiment is one scripted, repeatable test.
type Experiment struct {
	Name, Shows string
	Run         func(o Options, r *Result) error
}

// Experiments are all there are, by name.
func Experiments() []Experiment {
	list := slices.Collect(maps.Values(experiments))
	slices.SortFunc(list, func(a, b Experiment) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

var experiments = map[string]Experiment{}

// Register adds an experiment; its package is imported for that.
func Register(e Experiment) bool {
	experiments[e.Name] = e
	return true
}

// Run runs an experiment.
func Run(name string, o Options) (*Result, error) {
	e, known := experiments[name]
	if !known {
		return nil, fmt.Errorf("there is no experiment %q", name)
	}
	if o.Scale <= 0 {
		o.Scale = 1
	}
	r := &Result{Experiment: name, Seed: o.Seed, Scale: o.Scale, Figures: map[string]float64{}, Arms: map[string]*Seen{}}
	return r, e.Run(o, r)
}
