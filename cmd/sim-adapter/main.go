// Command sim-adapter hosts routers for the bench: it reads batches of events on
// standard input and writes one reply a batch on standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"fennelarch/internal/simwire"
)

func main() {
	// Routers hold little and make little garbage; collecting rarely saves time.
	debug.SetGCPercent(400)
	if err := simwire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sim-adapter:", err)
		os.Exit(1)
	}
}
