// Command cases plays the cases of the review. It ends with 0 if the rule of the case held, with 1 if it was broken and
// with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"fennelarch/review/standin"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	longestRun = 110 * time.Second
)

// world holds what each case needs.
type world struct {
	record    *standin.Record
	folder    string
	isTrouble bool // the disruption takes place
	routers   []*standin.Router

	isKilledOnPurpose bool // the case may kill a router
}

// verdict is the result of a case.
type verdict struct {
	isBroken bool
	text     string
}

var cases = map[string]func(w *world) (verdict, error){
	"memory":       memory,
	"store-effect": storeEffect,
	"own-copies":   ownCopies,
	"store-purge":  storePurge,
	"slow-answers": slowAnswers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, path string) int {
	record, err := standin.NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Printf("not run: %v", err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	w := &world{record: record, folder: folder, isTrouble: os.Getenv("TROUBLE") != "0"}
	record.Printf("case %s, disruption: %v", name, w.isTrouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(longestRun):
		}
		record.Printf("not run: stopped, or out of time")
		w.end()
		_ = os.RemoveAll(folder)
		os.Exit(exitNotRun)
	}()
	result, err := cases[name](w)
	hasCrashed := w.end()
	for _, router := range w.routers {
		for line := range strings.Lines(router.Log()) {
			if strings.Contains(line, "invariant violated") {
				record.Printf("for information, the router's log: %s", strings.TrimSpace(line))
			}
		}
	}
	switch {
	case err != nil:
		record.Printf("not run: %v", err)
		return exitNotRun
	case hasCrashed && !w.isKilledOnPurpose:
		record.Printf("not run: a router ended early")
		return exitNotRun
	case result.isBroken:
		record.Printf("RULE BROKEN: %s", result.text)
		return exitBroken
	}
	record.Printf("rule held: %s", result.text)
	return exitHeld
}

// end kills the routers, and reports whether one had ended before.
func (w *world) end() (hasCrashed bool) {
	for _, router := range w.routers {
		hasCrashed = hasCrashed || router.HasEnded()
		router.Kill()
	}
	return hasCrashed
}

// start starts a router that is killed at the end of the case.
func (w *world) start(options standin.RouterOptions) (*standin.Router, error) {
	options.Folder = w.folder
	router, err := standin.StartRouter(options)
	if err == nil {
		w.routers = append(w.routers, router)
	}
	return router, err
}
