package soak

import (
	"testing"
	"time"

	"fennelarch/internal/fake/site"
)

// day is a record with one request, one attempt and nothing wrong, to plant one thing in.
type day struct {
	*Record
	q *Request
	a *Attempt
}

func newDay() *day {
	start := time.Now().Add(-time.Minute)
	r := newRecord(1)
	r.began = start
	born := start.Add(-time.Second).Truncate(time.Millisecond)
	q := &Request{
		ID: "00000000000000a7", Class: classOf("clip"), Object: 7, Begun: start, Sent: start, Timeout: 2 * time.Second, Answers: 1,
		Answered: start.Add(100 * time.Millisecond), Word: "OK", Body: site.Body(site.Object{ID: 7}, born, 900),
	}
	r.requests[q.ID] = q
	r.attempts = []Attempt{{
		ID: q.ID, Server: "s-1", Source: "s-2", First: start.Add(time.Millisecond), Whole: start.Add(time.Millisecond),
		Deadline: 1999 * time.Millisecond,
	}}
	return &day{r, q, &r.attempts[0]}
}

func (d *day) after(long time.Duration) time.Time { return d.began.Add(long) }

// Each kind of breach is found when it is planted, and nothing else is.
func TestPlantedBreaches(t *testing.T) {
	for kind, plant := range map[string]func(d *day){
		"": func(*day) {},
		"attempt_after_cancelled": func(d *day) {
			d.q.Answers, d.q.Cancelled, d.a.First = 0, d.after(0), d.after(200*time.Millisecond)
		},
		"attempt_after_left": func(d *day) { d.q.Answers, d.q.Left, d.a.First = 0, d.after(0), d.after(200*time.Millisecond) },
		"attempt_after_deadline": func(d *day) {
			d.a.First, d.a.Whole, d.a.Deadline = d.after(2100*time.Millisecond), d.after(2100*time.Millisecond), time.Millisecond
		},
		"deadline_too_long":   func(d *day) { d.a.Deadline = 2300 * time.Millisecond },
		"attempt_after_drain": func(d *day) { d.leaves = []leave{{server: "s-2", event: 1, at: d.after(-9 * time.Second)}} },
		"unknown_request":     func(d *day) { d.a.ID = "00000000000000a8" },
		"ran_twice":           func(d *day) { d.runs[d.q.ID] = 2 },
		"answered_twice":      func(d *day) { d.q.Answers = 2 },
		"answered_late":       func(d *day) { d.q.Answered = d.after(2700 * time.Millisecond) },
		"refused_though_ran": func(d *day) {
			d.q.Class, d.q.Word, d.runs[d.q.ID] = classOf("photo"), "BUSY", 1
		},
		"wrong_bytes": func(d *day) { d.q.Body += "x" },
		"stale": func(d *day) {
			d.purges = []purge{{object: 7, event: 1, at: d.after(-9 * time.Second), issued: d.after(0)}}
		},
		"too_old": func(d *day) {
			d.q.Class, d.q.Body = classOf("page"), site.Body(site.Object{ID: 7}, d.after(-3*time.Second), 900)
		},
		"lost": func(d *day) { d.q.Answers = 0 },
		"cold_overload": func(d *day) {
			c := cold{server: "s-1", event: 1, at: d.after(-8 * time.Second), weight: weight}
			for i := range 400 {
				c.calls = append(c.calls, call{d.q.ID, d.after(-500*time.Millisecond + time.Duration(i)*time.Millisecond)})
			}
			c.at = d.after(-4 * time.Second)
			d.told[0][1] = d.after(-3 * time.Second)
			d.colds = []cold{c}
		},
	} {
		d := newDay()
		plant(d)
		breaches, _ := d.judge()
		switch {
		case kind == "" && len(breaches) > 0:
			t.Errorf("without any fault: %v", breaches)
		case kind != "" && (len(breaches) == 0 || breaches[0].Kind != kind):
			t.Errorf("%s: found %v", kind, kindsOf(breaches))
		case len(breaches) > 2: // an attempt may name a server as target and as source
			t.Errorf("%s: found %v", kind, kindsOf(breaches))
		}
	}
}

// What took a request with it is told, and no breach.
func TestExcuses(t *testing.T) {
	for why, plant := range map[string]func(d *day){
		"killed": func(d *day) { d.processes[0].killed = []time.Time{d.after(time.Millisecond)} },
		"down":   func(d *day) { d.processes[0].down = []interval{{d.after(-time.Second), d.after(time.Second)}} },
		"frozen": func(d *day) { d.processes[0].frozen = []interval{{d.after(time.Second), d.after(2 * time.Second)}} },
		"reset":  func(d *day) { d.q.Reset, d.q.Ended = true, d.after(time.Millisecond) },
		"crossed": func(d *day) {
			d.q.Unread, d.q.Ended = true, d.after(time.Millisecond)
		},
		"sent after the end": func(d *day) { d.processes[0].stopped = []time.Time{d.after(-time.Second)} },
	} {
		d := newDay()
		d.q.Answers = 0
		plant(d)
		if breaches, excused := d.judge(); len(breaches) > 0 || excused[why] != 1 {
			t.Errorf("%s: %v, %v", why, breaches, excused)
		}
	}
}

// A plan is the same for a seed, and what is written of it is read as it was; a line that can't be used is named.
func TestPlans(t *testing.T) {
	plan := NewPlan(7, 20*time.Second)
	text, under := "", 0
	for _, trouble := range plan {
		text += trouble.String() + "\n"
		if trouble.At < 10*time.Second && trouble.At+trouble.For > 10*time.Second {
			under++
		}
	}
	again, err := ParsePlan("# a comment\n\n" + text)
	if err != nil || len(again) != len(plan) || again[3] != plan[3] || NewPlan(7, 20*time.Second)[5] != plan[5] {
		t.Errorf("%v, %d troubles of %d", err, len(again), len(plan))
	}
	if len(plan) < 40 || under < 1 {
		t.Errorf("%d troubles in 20 s, %d under way at 10 s", len(plan), under)
	}
	for text, want := range map[string]string{
		"at 1s for 1s stop-router 3\nat noon for 1s stop-router 3": `plan: line 2: "noon" is no time`,
		"at 1s for -1s stop-router 3":                              `plan: line 1: "-1s" is no time`,
		"at 1s for 1s explode 3":                                   `plan: line 1: there is no trouble "explode"`,
		"at 1s for 1s stop-router all":                             `plan: line 1: "all" is no number`,
		"stop-router 3":                                            `plan: line 1: not of the form 'at TIME for TIME KIND NUMBER'`,
	} {
		if _, err := ParsePlan(text); err == nil || err.Error() != want {
			t.Errorf("%q: %v", text, err)
		}
	}
}
