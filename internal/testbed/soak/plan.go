package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// PlanError reports a plan that cannot be parsed.
type PlanError struct{ Err error }

func (e PlanError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e PlanError) Unwrap() error { return e.Err }

var (
	errPlanLine     = errors.New("not of the form 'at TIME for TIME KIND NUMBER'")
	errPlanDuration = errors.New("not a duration")
	errPlanKind     = errors.New("not a kind of fault")
	errPlanTarget   = errors.New("not a number")
)

// faultSpecs lists the kinds of faults, each with its maximum duration and its weight in the draw.
var faultSpecs = []struct {
	kind        FaultKind
	maxDuration time.Duration
	weight      int
}{
	{StopRouter, 100 * time.Millisecond, 6},
	{KillRouter, 100 * time.Millisecond, 3},
	{FreezeRouter, 900 * time.Millisecond, 6},
	{ReloadRouters, 100 * time.Millisecond, 2},
	{ExhaustDescriptors, 700 * time.Millisecond, 2},
	{HangServer, 2 * time.Second, 3},
	{FailServer, 2 * time.Second, 3},
	{OverloadServer, 2 * time.Second, 2},
	{RestartServer, 100 * time.Millisecond, 4},
	{DrainServer, 4 * time.Second, 3},
	{ReplaceServer, 100 * time.Millisecond, 3},
	{MoveServer, 100 * time.Millisecond, 2},
	{ResetConnections, time.Second, 4},
	{BlockConnections, 1500 * time.Millisecond, 3},
	{FragmentResponses, 2 * time.Second, 3},
	{CorruptResponses, time.Second, 3},
	{HoldPolls, 3 * time.Second, 2},
	{BreakPolls, 2 * time.Second, 2},
	{CancelBurst, time.Second, 4},
	{DisconnectBurst, 500 * time.Millisecond, 3},
	{PauseReads, time.Second, 3},
	{MalformedClients, 2 * time.Second, 2},
}

// meanOverlap is the average number of faults in force at any time.
const meanOverlap = 3

// meanFaultDuration is the mean duration of a fault, including the recovery that follows.
const meanFaultDuration = 700 * time.Millisecond

// The streams of the random number generators that share a seed.
const (
	planStream         = 21
	clusterStream      = 31
	linkStream         = 32
	clientStream       = 33
	systemFaultsStream = 100 // plus the router's index
)

// NewPlan draws the faults of a run. The same seed and duration give the same plan.
func NewPlan(seed uint64, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, planStream))
	totalWeight := 0
	for _, spec := range faultSpecs {
		totalWeight += spec.weight
	}
	var plan []Fault
	for at := 500 * time.Millisecond; at < duration; {
		draw := rng.IntN(totalWeight)
		i := 0
		for draw >= faultSpecs[i].weight {
			draw -= faultSpecs[i].weight
			i++
		}
		spec := faultSpecs[i]
		target := rng.IntN(1000)
		faultDuration := time.Duration((0.3 + 0.7*rng.Float64()) * float64(spec.maxDuration))
		plan = append(plan, Fault{
			At: at.Round(time.Millisecond), Duration: faultDuration.Round(time.Millisecond), Kind: spec.kind, Target: target,
		})
		at += time.Duration((0.4 + 1.2*rng.Float64()) * float64(meanFaultDuration) / meanOverlap)
	}
	return plan
}

// ParsePlan parses a plan of one fault per line, such as "at 2.5s for 1s freeze-router 3". Empty lines and lines that
// begin with # are skipped.
func ParsePlan(text string) ([]Fault, error) {
	var plan []Fault
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		fault, err := parseFault(strings.Fields(line))
		if err != nil {
			return nil, fmt.Errorf("plan: line %d: %w", i+1, err)
		}
		plan = append(plan, fault)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan, nil
}

func parseFault(words []string) (Fault, error) {
	if len(words) != 6 || words[0] != "at" || words[2] != "for" {
		return Fault{}, errPlanLine
	}
	at, err := time.ParseDuration(words[1])
	if err != nil || at < 0 {
		return Fault{}, fmt.Errorf("%q: %w", words[1], errPlanDuration)
	}
	faultDuration, err := time.ParseDuration(words[3])
	if err != nil || faultDuration < 0 {
		return Fault{}, fmt.Errorf("%q: %w", words[3], errPlanDuration)
	}
	kind := FaultKind(words[4])
	if !kind.isKnown() {
		return Fault{}, fmt.Errorf("%q: %w", words[4], errPlanKind)
	}
	target, err := strconv.Atoi(words[5])
	if err != nil || target < 0 {
		return Fault{}, fmt.Errorf("%q: %w", words[5], errPlanTarget)
	}
	return Fault{At: at, Duration: faultDuration, Kind: kind, Target: target}, nil
}

func (k FaultKind) isKnown() bool {
	for _, spec := range faultSpecs {
		if spec.kind == k {
			return true
		}
	}
	return false
}
