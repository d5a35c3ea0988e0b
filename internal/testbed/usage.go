package testbed

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process, as reported by the operating system.
type Usage struct {
	CPU    time.Duration
	PeakMB float64 // peak resident memory
	Files  int     // open files
}

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// Usage returns the current resource usage of the process. Values that cannot be read are 0.
func (r *Router) Usage() Usage {
	pid := r.PID()
	return Usage{CPU: cpuTime(pid), PeakMB: peakMB(pid), Files: openFiles(pid)}
}

func cpuTime(pid int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	const userField, systemField = 11, 12 // indexes of the fields after the program's name
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * clockTick
}

func peakMB(pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			peakKB, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(peakKB) / 1024
		}
	}
	return 0
}

func openFiles(pid int) int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(files)
}
