package testbed

import "golang.org/x/sys/unix"

var _ = Register(Experiment{
	Name:        "admission-descriptors",
	Description: "a router runs out of file descriptors during a flood while requests are in flight",
	Run:         runAdmissionDescriptors,
})

func runAdmissionDescriptors(options Options, result *Result) error {
	addresses := loopbackAddresses(1000)
	pace := floodPace{connections: options.count(4000), workers: floodWorkers}
	reached := floodArm{
		name: "reached", operator: admissionRules(), flood: flood{localAddresses: addresses}, pace: pace,
		duringFlood: func(cluster *Cluster) {
			// The limit is below the configured number of sockets. The router notices this only during the flood.
			limit := unix.Rlimit{Cur: 300, Max: 20_000}
			cluster.fail(unix.Prlimit(cluster.Routers[0].PID(), unix.RLIMIT_NOFILE, &limit, nil))
		},
	}
	if err := reached.runAsserted(options, result); err != nil {
		return err
	}
	few := floodArm{
		name: "few", operator: admissionRules(), flood: flood{localAddresses: addresses}, pace: pace,
		descriptorLimit: 200, // below the configured number of sockets from the start
	}
	return few.runAsserted(options, result)
}
