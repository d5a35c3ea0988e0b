package testbed

import (
	"fmt"
	"testing"
	"time"

	"fennelarch/internal/fake/site"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The judge sees each kind of breach: a claim that cannot fail shows nothing.
func TestJudge(t *testing.T) {
	s := &Scene{Setup: Setup{Settings: Usual(1), Groups: 4}, kills: map[int][]time.Time{}, sizes: []float64{1, 1, 1}}
	s.Site = site.New(func(site.Object) int { return 100 }, s.group)
	defer s.Site.Close()
	at := time.Now()
	o := site.Object{ID: 1}
	s.purges = []purge{{object: 1, at: at.Add(-3 * time.Second)}}
	view := func(change func(*View)) *View {
		v := &View{
			Tariff: "clip", Object: o, Meant: at, Sent: at, Timeout: time.Second, Due: 400 * time.Millisecond, Answers: 1,
			Answered: at.Add(50 * time.Millisecond), Word: "OK", Body: site.Body(o, at.Add(-time.Second), 100),
		}
		change(v)
		return v
	}
	for _, c := range []struct {
		name string
		v    *View
		want func(n *Seen) bool
	}{
		{"good", view(func(v *View) {}), func(n *Seen) bool { return n.InTime == 1 && n.Stale+n.Wrong+n.Lost+n.Twice+n.Late == 0 }},
		{"late for its due time", view(func(v *View) { v.Answered = at.Add(500 * time.Millisecond) }), func(n *Seen) bool { return n.Served == 1 && n.InTime == 0 }},
		{"no answer", view(func(v *View) { v.Answers, v.Word = 0, "" }), func(n *Seen) bool { return n.Lost == 1 }},
		{"ended while open", view(func(v *View) { v.Answers, v.Failed, v.Ended = 0, true, at.Add(80*time.Millisecond) }), func(n *Seen) bool { return n.Lost == 1 }},
		{"crossed an end", view(func(v *View) { v.Answers, v.Failed, v.Ended = 0, true, at.Add(time.Millisecond) }), func(n *Seen) bool { return n.Lost == 0 && n.Crossed == 1 }},
		{"two answers", view(func(v *View) { v.Answers = 2 }), func(n *Seen) bool { return n.Twice == 1 }},
		{"after its time", view(func(v *View) { v.Answered = at.Add(2 * time.Second) }), func(n *Seen) bool { return n.Late == 1 }},
		{"from before a purge", view(func(v *View) { v.Body = site.Body(o, at.Add(-4*time.Second), 100) }), func(n *Seen) bool { return n.Stale == 1 }},
		{"one byte wrong", view(func(v *View) { v.Body = v.Body[:99] + "?" }), func(n *Seen) bool { return n.Wrong == 1 }},
		{"another object", view(func(v *View) { v.Body = site.Body(site.Object{ID: 2}, at, 100) }), func(n *Seen) bool { return n.Wrong == 1 }},
	} {
		n := &Seen{Times: hdrhistogram.New(1, 60_000_000, 3)}
		s.judge(n, c.v)
		if !c.want(n) {
			t.Errorf("%s: %+v", c.name, *n)
		}
	}
	r := &Result{Figures: map[string]float64{}, Arms: map[string]*Seen{}}
	if r.Held() {
		t.Error("a result without claims held")
	}
	r.Claim(true, "one", "")
	r.Claim(false, "two", "")
	if r.Held() {
		t.Error("a result with a claim that failed held")
	}
}

// Every experiment has a name and says what it shows.
func ExampleExperiments() {
	for _, e := range Experiments() {
		fmt.Println(e.Name)
	}
	// Output:
	// admission-burst
	// admission-descriptors
	// admission-handshakes
	// admission-many
	// admission-restart
	// admission-shared
	// store-cold
	// store-cost
	// store-drain
	// store-faults
	// store-lease
	// store-none
	// store-purge
	// store-slow
}
