package testbed

import "golang.org/x/sys/unix"

var _ = Register(Experiment{
	Name:  "admission-descriptors",
	Shows: "descriptors run out while answers are owed",
	Run:   runAdmissionDescriptors,
})

func runAdmissionDescriptors(options Options, result *Result) error {
	addresses := loopbackAddresses(1000)
	pace := floodPace{connections: options.count(4000), workers: floodWorkers}
	reached := floodArm{
		name: "reached", operator: admissionRules(), flood: flood{from: addresses}, pace: pace,
		meanwhile: func(cluster *Cluster) {
			// The system gives fewer than the router was configured with, which it finds out with the flood.
			limit := unix.Rlimit{Cur: 300, Max: 20_000}
			cluster.fail(unix.Prlimit(cluster.Routers[0].PID(), unix.RLIMIT_NOFILE, &limit, nil))
		},
	}
	if err := reached.runAsserted(options, result); err != nil {
		return err
	}
	few := floodArm{
		name: "few", operator: admissionRules(), flood: flood{from: addresses}, pace: pace,
		descriptors: 200, // fewer from the start than the configuration says
	}
	return few.runAsserted(options, result)
}
