// Command lab runs one case of the review: it starts real routers as processes of their own, among stand-ins for the
// clients, the servers and the platform, and checks one rule by what these saw.
//
//	lab CASE ROOT RECORD
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run. TROUBLE=0 in the
// environment leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// caseLimit is how long a case may take at most.
const caseLimit = 110 * time.Second

// cases maps the names of the cases to their scenarios. A scenario reports what broke the rule to the stage.
var cases = map[string]func(*stage) error{
	"unheard-purge": runUnheardPurge,
	"replacement":   runReplacement,
	"silent-watch":  runSilentWatch,
	"slow-page":     runSlowPage,
	"open-requests": runOpenRequests,
}

func main() {
	const wantArgs = 4
	if len(os.Args) != wantArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit code.
func run(name, root, recordPath string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	played, err := newStage(root, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer played.close()
	time.AfterFunc(caseLimit, func() {
		played.log("the case took too long")
		played.close()
		os.Exit(exitNotRun)
	})
	if err := cases[name](played); err != nil {
		played.log("the case could not run: %v", err)
		return exitNotRun
	}
	return played.verdict()
}
