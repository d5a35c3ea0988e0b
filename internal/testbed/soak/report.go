package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"fennelarch/internal/testbed"
)

// maxBreachesPrinted is the maximum number of breaches printed for a failed run; the report holds all of them.
const maxBreachesPrinted = 10

// Report is the outcome of a run, as written to report.json.
type Report struct {
	Seed         uint64            `json:"seed"`
	Plan         []string          `json:"plan"`
	SystemFaults map[string]string `json:"system_faults"` // by router
	Requests     int               `json:"requests"`
	Answered     map[string]int    `json:"answered"` // by status
	Excused      map[string]int    `json:"excused"`
	Breaches     []Breach          `json:"breaches"`
	Violations   map[string]int    `json:"invariant_violations"` // that the routers counted, by kind
	Errors       []string          `json:"errors"`
	LongestDelay time.Duration     `json:"longest_delay"` // of the testbed's own process
}

// hasPassed reports whether there are no breaches, violations of invariants or errors.
func (r *Report) hasPassed() bool { return len(r.Breaches)+len(r.Violations)+len(r.Errors) == 0 }

// reportOutcome checks the run, adds assertions and figures to the result and writes the report. Neither the checker
// nor the routers' own invariants may have found anything.
func (c *cluster) reportOutcome(result *testbed.Result, plan []Fault) {
	report := c.newReport(plan)
	c.printSummary(report)
	served := report.Answered[testbed.StatusOK]
	crossed := report.Excused[string(ExcuseCrossedClose)]
	result.Assert(len(report.Breaches) == 0, "no rule is broken, as clients and servers see it",
		"%d requests, %d breaches %v", report.Requests, len(report.Breaches), countKinds(report.Breaches))
	result.Assert(len(report.Violations) == 0, "no router counts a violation of an invariant", "%v", report.Violations)
	result.Assert(len(report.Errors) == 0, "no router crashes, or fails to start or to end", "%v", report.Errors)
	result.Assert(served*3 > report.Requests, "a third of all requests is served all the same", "%d of %d", served,
		report.Requests)
	result.Assert(crossed*200 <= report.Requests, "ends of connections that cross a request are few", "%d of %d", crossed,
		report.Requests)
	result.Figure("requests", float64(report.Requests))
	result.Figure("faults", float64(len(plan)))
	result.Figure("served", float64(served))
	result.Figure("breaches", float64(len(report.Breaches)))
	c.writeReport(report, result.Passed())
}

func (c *cluster) newReport(plan []Fault) *Report {
	breaches, excused := c.record.check()
	report := &Report{
		Seed: c.options.Seed, SystemFaults: map[string]string{}, Requests: len(c.record.requests),
		Answered: map[string]int{}, Excused: excused, Breaches: breaches, Violations: map[string]int{},
		LongestDelay: c.record.longestDelay(),
	}
	for _, fault := range plan {
		report.Plan = append(report.Plan, fault.String())
	}
	for _, request := range c.record.requests {
		if request.Answers > 0 {
			report.Answered[request.Status]++
		}
	}
	for _, r := range c.routers {
		report.SystemFaults[r.Name] = c.systemFaults(r.index)
		countViolations(r.Log(), report.Violations)
	}
	for _, err := range c.errs {
		report.Errors = append(report.Errors, err.Error())
	}
	return report
}

// countViolations counts the violations of invariants in a router's log, by kind.
func countViolations(log string, counts map[string]int) {
	for line := range strings.Lines(log) {
		_, fields, found := strings.Cut(line, "invariant violated")
		if !found {
			continue
		}
		_, rest, _ := strings.Cut(fields, `"kind": "`)
		kind, _, _ := strings.Cut(rest, `"`)
		counts[kind]++
	}
}

func countKinds(breaches []Breach) map[BreachKind]int {
	kinds := map[BreachKind]int{}
	for i := range breaches {
		kinds[breaches[i].Kind]++
	}
	return kinds
}

// printSummary prints a summary of the run in one line.
func (c *cluster) printSummary(report *Report) {
	outcome := "passed"
	if !report.hasPassed() {
		outcome = "FAILED"
	}
	c.options.Logf("seed %d: %s, %d requests %v, excused %v, %d faults, breaches %v, violations %v, %d errors, "+
		"longest delay %v",
		report.Seed, outcome, report.Requests, report.Answered, report.Excused, len(report.Plan),
		countKinds(report.Breaches), report.Violations, len(report.Errors), report.LongestDelay.Round(time.Millisecond))
}

// writeReport writes the report and the plan; for a failed run, also the routers' logs and flight recorders.
func (c *cluster) writeReport(report *Report, hasPassed bool) {
	defer func() { _ = os.RemoveAll(c.folder) }()
	if c.options.Out == "" {
		return
	}
	out := filepath.Join(c.options.Out, fmt.Sprintf("soak-%d", c.options.Seed))
	if err := os.MkdirAll(out, 0o755); err != nil {
		c.options.Logf("  creating the folder of the report: %v", err)
		return
	}
	text, _ := json.MarshalIndent(report, "", "  ")
	c.writeFile(filepath.Join(out, "report.json"), text)
	c.writeFile(filepath.Join(out, "plan.txt"), []byte(strings.Join(report.Plan, "\n")+"\n"))
	if !hasPassed {
		c.writeDiagnostics(report, out)
	}
}

// writeDiagnostics writes the logs, discovery events and flight recorders of a failed run, and prints its first
// breaches.
func (c *cluster) writeDiagnostics(report *Report, out string) {
	for _, r := range c.routers {
		c.writeFile(filepath.Join(out, r.Name+".log"), []byte(r.Log()))
	}
	c.writeFile(filepath.Join(out, "events.txt"), []byte(c.discovery.history(c.record.startedAt)))
	recorders, _ := filepath.Glob(filepath.Join(c.folder, "recorder-*.txt"))
	for _, path := range recorders {
		if text, err := os.ReadFile(path); err == nil {
			c.writeFile(filepath.Join(out, filepath.Base(path)), text)
		}
	}
	for _, breach := range report.Breaches[:min(len(report.Breaches), maxBreachesPrinted)] {
		c.options.Logf("  %s: request %s, router n%d: %s", breach.Kind, breach.Request, breach.Router, breach.Detail)
	}
	plan := filepath.Join(out, "plan.txt")
	c.options.Logf("  files are in %s; to repeat the plan, use --seed %d or --plan %s", out, c.options.Seed, plan)
}

func (c *cluster) writeFile(path string, text []byte) {
	if err := os.WriteFile(path, text, 0o644); err != nil {
		c.options.Logf("  %v", err)
	}
}
