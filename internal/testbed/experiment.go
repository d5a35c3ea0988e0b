package testbed

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Options configures a run of an experiment.
type Options struct {
	Seed    uint64
	Scale   float64   // factor for durations and numbers; 1 is the scale of the published results
	Routers int       // 0: the experiment's default
	Plan    string    // text of the fault plan, for experiments that use one; "": drawn from the seed
	Out     string    // folder for files that help to analyse a failed run; "": none
	Log     io.Writer // nil: none
}

// Logf writes a line about the progress of an experiment to Log, if that is set.
func (o Options) Logf(format string, args ...any) {
	if o.Log != nil {
		_, _ = fmt.Fprintf(o.Log, format+"\n", args...)
	}
}

// duration scales a duration, but to no less than a quarter of it.
func (o Options) duration(atFullScale time.Duration) time.Duration {
	return max(atFullScale/4, time.Duration(float64(atFullScale)*o.Scale))
}

// count scales a number, but to no less than one.
func (o Options) count(atFullScale int) int { return max(1, int(float64(atFullScale)*o.Scale)) }

// routers returns the requested number of routers, or an experiment's default.
func (o Options) routers(defaultCount int) int {
	if o.Routers > 0 {
		return o.Routers
	}
	return defaultCount
}

// Experiment is a scripted, repeatable test.
type Experiment struct {
	Name, Description string
	Run               func(options Options, result *Result) error
}

var experiments = map[string]Experiment{}

// Register adds an experiment to those that Run can run. It returns a value so that a package can call it in a variable
// declaration.
func Register(experiment Experiment) bool {
	experiments[experiment.Name] = experiment
	return true
}

// Experiments returns all registered experiments, sorted by name.
func Experiments() []Experiment {
	list := slices.Collect(maps.Values(experiments))
	slices.SortFunc(list, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// UnknownExperimentError is returned for a name that no experiment has. Its value is the name.
type UnknownExperimentError string

func (e UnknownExperimentError) Error() string {
	return fmt.Sprintf("there is no experiment %q", string(e))
}

// Run runs the experiment with the given name.
func Run(name string, options Options) (*Result, error) {
	experiment, isKnown := experiments[name]
	if !isKnown {
		return nil, UnknownExperimentError(name)
	}
	if options.Scale <= 0 {
		options.Scale = 1
	}
	result := &Result{Experiment: name, Seed: options.Seed, Scale: options.Scale, Figures: map[string]float64{}}
	return result, experiment.Run(options, result)
}
