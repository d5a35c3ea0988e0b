package sharedstore

import "testing"

func TestLatencyEstimate(t *testing.T) {
	var estimate latencyEstimate
	if estimate.typical() != unknownLatency || estimate.upper() != 2*unknownLatency {
		t.Errorf("got typical %v, upper %v before any sample, want unknownLatency and twice as much",
			estimate.typical(), estimate.upper())
	}
	estimate.add(10 * ms)
	if estimate.typical() != 10*ms || estimate.upper() != 20*ms {
		t.Errorf("got typical %v, upper %v after one sample of 10 ms, want 10 ms and 20 ms",
			estimate.typical(), estimate.upper())
	}
	for range 200 {
		estimate.add(30 * ms)
	}
	if typical := estimate.typical(); typical < 29*ms || typical > 30*ms {
		t.Errorf("got typical %v after many samples of 30 ms, want 29 ms to 30 ms", typical)
	}
	if estimate.upper() > 32*ms {
		t.Errorf("got upper %v of a latency that hardly varies from 30 ms, want at most 32 ms", estimate.upper())
	}
}
