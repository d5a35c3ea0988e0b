// Command sim-adapter hosts routers for the simulator. It reads frames of events from standard input and writes one
// reply per frame to standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"fennelarch/internal/simwire"
)

// gcPercent makes garbage collections rare, since routers use little memory and allocate little.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simwire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sim-adapter:", err)
		os.Exit(1)
	}
}
