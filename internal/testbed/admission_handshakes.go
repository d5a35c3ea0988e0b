package testbed

import (
	"syscall"
	"time"
)

var _ = Register(Experiment{
	Name:        "admission-handshakes",
	Description: "thousands of TLS handshakes are never completed while the router reloads its keys",
	Run:         runAdmissionHandshakes,
})

func runAdmissionHandshakes(options Options, result *Result) error {
	const knownClient = "known-client"
	keys, err := newKeyring(knownClient)
	if err != nil {
		return err
	}
	defer keys.close()
	operator := admissionRules()
	operator["tls"] = keys.operatorSection()
	half := floodArm{
		name: "half", operator: operator, keys: keys, knownClient: knownClient,
		flood: flood{localAddresses: loopbackAddresses(200), mode: floodHalfHandshakes},
		pace:  floodPace{connections: options.count(4000), connectionsPerSecond: 1500, workers: floodWorkers},
		duringFlood: func(cluster *Cluster) {
			time.Sleep(300 * time.Millisecond)
			cluster.Routers[0].Signal(syscall.SIGHUP) // the router reloads its keys during the flood
		},
	}
	return half.runAsserted(options, result)
}
