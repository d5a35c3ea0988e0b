package sharedstore

import "testing"

func TestLatencyEstimate(t *testing.T) {
	var estimate latencyEstimate
	if estimate.typical() != unknownLatency || estimate.upper() != 2*unknownLatency {
		t.Errorf("typical %v, upper %v before any sample", estimate.typical(), estimate.upper())
	}
	estimate.add(10 * ms)
	if estimate.typical() != 10*ms || estimate.upper() != 20*ms {
		t.Errorf("typical %v, upper %v after one sample of 10 ms", estimate.typical(), estimate.upper())
	}
	for range 200 {
		estimate.add(30 * ms)
	}
	if typical := estimate.typical(); typical < 29*ms || typical > 30*ms {
		t.Errorf("typical %v after many samples of 30 ms", typical)
	}
	if estimate.upper() > 32*ms {
		t.Errorf("upper %v of a latency that hardly varies from 30 ms, want at most 32 ms", estimate.upper())
	}
}
