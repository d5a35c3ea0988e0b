// Command sim-adapter hosts routers for the simulator: it reads frames of events on standard input and writes one reply
// a frame on standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"fennelarch/internal/simwire"
)

// gcPercent makes collections rare: routers hold little memory and make little garbage.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simwire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sim-adapter:", err)
		os.Exit(1)
	}
}
