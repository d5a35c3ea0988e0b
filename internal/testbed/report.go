package testbed

import (
	"fmt"
	"slices"
)

// Assertion is a condition that an experiment checks.
type Assertion struct {
	Name   string `json:"name"`
	Passed bool   `json:"passed"`
	Detail string `json:"detail"`
}

// Result is the outcome of an experiment: assertions, which passed or failed, and figures.
type Result struct {
	Experiment string             `json:"experiment"`
	Seed       uint64             `json:"seed"`
	Scale      float64            `json:"scale"`
	Assertions []Assertion        `json:"assertions"`
	Figures    map[string]float64 `json:"figures"`
}

// Passed reports whether every assertion passed. A result without assertions has not passed, since it shows nothing.
func (r *Result) Passed() bool {
	hasFailed := slices.ContainsFunc(r.Assertions, func(a Assertion) bool { return !a.Passed })
	return len(r.Assertions) > 0 && !hasFailed
}

// Assert records an assertion and whether it passed.
func (r *Result) Assert(passed bool, name, format string, args ...any) {
	r.Assertions = append(r.Assertions, Assertion{name, passed, fmt.Sprintf(format, args...)})
}

// Figure records a figure.
func (r *Result) Figure(name string, value float64) { r.Figures[name] = value }

// assertRules asserts the rules that must hold in every arm of an experiment.
func (r *Result) assertRules(arm string, observed *Observations) {
	r.Assert(observed.Requests > 0 && observed.Lost == 0 && observed.AnsweredTwice == 0 && observed.Late == 0,
		arm+": one final answer in time for each request",
		"%d requests, %d lost, %d answered twice, %d after their deadline %s", observed.Requests, observed.Lost,
		observed.AnsweredTwice, observed.Late, observed.LastLoss)
	r.Assert(observed.RanTwice == 0 && observed.WrongBytes == 0, arm+": nothing runs twice, every byte is right",
		"%d ran twice, %d with wrong bytes", observed.RanTwice, observed.WrongBytes)
	r.Assert(observed.AfterDrain == 0, arm+": drains are respected", "%d attempts or sources past the grace",
		observed.AfterDrain)
	r.Assert(observed.Stale == 0, arm+": purges are respected", "%d answers from before a purge past the grace",
		observed.Stale)
	r.Assert(len(observed.Errors) == 0, arm+": no router crashed", "%v", observed.Errors)
	r.recordFigures(arm, observed)
}

// recordFigures records the figures of an arm. It asserts nothing because a baseline may break any rule.
func (r *Result) recordFigures(arm string, observed *Observations) {
	r.Figure(arm+" lost", float64(observed.Lost))
	r.Figure(arm+" abandoned", float64(observed.Abandoned))
	r.Figure(arm+" requests", float64(observed.Requests))
	r.Figure(arm+" in time share", observed.InTimeShare())
	r.Figure(arm+" rejected", float64(observed.Rejected))
	r.Figure(arm+" p50 ms", observed.PercentileMS(50))
	r.Figure(arm+" p99 ms", observed.PercentileMS(99))
	r.Figure(arm+" origin fills", float64(observed.OriginFills))
	r.Figure(arm+" cpu us a request", float64(observed.CPU.Microseconds())/float64(max(1, observed.Requests)))
	r.Figure(arm+" peak MB", observed.PeakMB)
	r.Figure(arm+" files", float64(observed.Files))
}
