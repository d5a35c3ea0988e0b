package soak

import (
	"time"

	"fennelarch/internal/testbed"
)

// The size of a run at scale 1, and the minimum to which a smaller scale reduces it.
const (
	routersAtFullScale  = 24
	minRouters          = 4
	durationAtFullScale = 24 * time.Second
	minDuration         = 6 * time.Second
)

var _ = testbed.Register(testbed.Experiment{
	Name: "soak", Run: run,
	Description: "no router breaks a rule while faults overlap and system calls fail",
})

// run plays the plan in the options or, if there is none, the plan drawn from the seed.
func run(options testbed.Options, result *testbed.Result) error {
	program, err := FaultyProgram()
	if err != nil {
		return err
	}
	routers := options.Routers
	if routers == 0 {
		routers = max(minRouters, int(routersAtFullScale*min(1, options.Scale)))
	}
	duration := max(minDuration, time.Duration(float64(durationAtFullScale)*options.Scale))
	plan := NewPlan(options.Seed, duration)
	if options.Plan != "" {
		if plan, err = ParsePlan(options.Plan); err != nil {
			return PlanError{err}
		}
	}
	c, err := newCluster(options, program, routers)
	if err != nil {
		return err
	}
	c.play(plan, duration)
	c.shutDown()
	c.reportOutcome(result, plan)
	return nil
}
