package soak

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

// A seed always gives the same plan, and the written form of a plan parses to the same faults.
func TestPlanIsReadAsItWasWritten(t *testing.T) {
	plan := NewPlan(7, 20*time.Second)
	var text strings.Builder
	inForce := 0
	for _, fault := range plan {
		text.WriteString(fault.String() + "\n")
		if fault.At < 10*time.Second && fault.At+fault.Duration > 10*time.Second {
			inForce++
		}
	}
	parsed, err := ParsePlan("# a comment\n\n" + text.String())
	if err != nil || !slices.Equal(parsed, plan) || !slices.Equal(NewPlan(7, 20*time.Second), plan) {
		t.Errorf("error %v, parsed %d of %d faults, want the same faults", err, len(parsed), len(plan))
	}
	if len(plan) < 40 || inForce < 1 {
		t.Errorf("%d faults in 20 s, %d in force at 10 s, want at least 40 and 1", len(plan), inForce)
	}
}

// The faults drawn from a seed and the format of plans are fixed, so that plans written by earlier versions can still
// be played.
func TestPlanOfASeedStaysTheSame(t *testing.T) {
	var lines []string
	for _, fault := range NewPlan(1, 6*time.Second)[:4] {
		lines = append(lines, fault.String())
	}
	want := []string{
		"at 500ms for 3.804s drain-server 508",
		"at 607ms for 82ms reload-routers 19",
		"at 904ms for 783ms freeze-router 442",
		"at 1.088s for 607ms spoil-links 731",
	}
	if !slices.Equal(lines, want) {
		t.Errorf("%q", lines)
	}
}

func TestPlanLineThatCannotBeUsedIsNamed(t *testing.T) {
	for _, test := range []struct {
		text, want string
		reason     error
	}{
		{
			"at 1s for 1s stop-router 3\nat noon for 1s stop-router 3", `plan: line 2: "noon": not a duration`,
			errPlanDuration,
		},
		{"at 1s for -1s stop-router 3", `plan: line 1: "-1s": not a duration`, errPlanDuration},
		{"at 1s for 1s explode 3", `plan: line 1: "explode": not a kind of fault`, errPlanKind},
		{"at 1s for 1s stop-router all", `plan: line 1: "all": not a number`, errPlanTarget},
		{"stop-router 3", `plan: line 1: not of the form 'at TIME for TIME KIND NUMBER'`, errPlanLine},
	} {
		if _, err := ParsePlan(test.text); !errors.Is(err, test.reason) || err.Error() != test.want {
			t.Errorf("plan %q: unexpected error %v", test.text, err)
		}
	}
}

func TestEveryKindOfFaultHasAnInjector(t *testing.T) {
	for _, spec := range faultSpecs {
		if faultInjectors[spec.kind] == nil {
			t.Errorf("%s has no injector", spec.kind)
		}
	}
	if len(faultInjectors) != len(faultSpecs) {
		t.Errorf("%d injectors for %d kinds of faults", len(faultInjectors), len(faultSpecs))
	}
}
