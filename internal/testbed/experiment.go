package testbed

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Options are what an experiment is run with.
type Options struct {
	Seed    uint64
	Scale   float64 // of rates and durations; 1 is the scale of the published results
	Routers int     // 0: the experiment's own number
	Plan    string  // of an experiment that follows one, as text; "": drawn from the seed
	Out     string  // the folder for what a failed run is looked into with; "": none
	Log     io.Writer
}

// Logf writes a line on the progress of an experiment, if anybody wants to know.
func (o Options) Logf(format string, args ...any) {
	if o.Log != nil {
		_, _ = fmt.Fprintf(o.Log, format+"\n", args...)
	}
}

// duration scales a duration, though not to less than a quarter.
func (o Options) duration(atFullScale time.Duration) time.Duration {
	return max(atFullScale/4, time.Duration(float64(atFullScale)*o.Scale))
}

// count scales a number, though not to less than one.
func (o Options) count(atFullScale int) int { return max(1, int(float64(atFullScale)*o.Scale)) }

// routers is the number of routers that is asked for, or an experiment's own.
func (o Options) routers(usual int) int {
	if o.Routers > 0 {
		return o.Routers
	}
	return usual
}

// Experiment is one scripted, repeatable test.
type Experiment struct {
	Name, Shows string
	Run         func(options Options, result *Result) error
}

var experiments = map[string]Experiment{}

// Register adds an experiment; its package is imported for that.
func Register(experiment Experiment) bool {
	experiments[experiment.Name] = experiment
	return true
}

// Experiments are all there are, by name.
func Experiments() []Experiment {
	list := slices.Collect(maps.Values(experiments))
	slices.SortFunc(list, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// UnknownExperimentError is a name that no experiment has.
type UnknownExperimentError string

func (e UnknownExperimentError) Error() string {
	return fmt.Sprintf("there is no experiment %q", string(e))
}

// Run runs an experiment.
func Run(name string, options Options) (*Result, error) {
	experiment, known := experiments[name]
	if !known {
		return nil, UnknownExperimentError(name)
	}
	if options.Scale <= 0 {
		options.Scale = 1
	}
	result := &Result{Experiment: name, Seed: options.Seed, Scale: options.Scale, Figures: map[string]float64{}}
	return result, experiment.Run(options, result)
}
