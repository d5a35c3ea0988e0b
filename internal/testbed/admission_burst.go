package testbed

var _ = Register(Experiment{
	Name:        "admission-burst",
	Description: "one address opens ten thousand connections at once, then fewer at a steady rate",
	Run:         runAdmissionBurst,
})

func runAdmissionBurst(options Options, result *Result) error {
	connections := options.count(10_000)
	oneAddress := []string{"127.9.9.9"}
	atOnce := floodPace{connections: connections, workers: floodWorkers}
	burst := floodArm{name: "burst", operator: admissionRules(), flood: flood{localAddresses: oneAddress}, pace: atOnce}
	if err := burst.runAsserted(options, result); err != nil {
		return err
	}
	steady := floodArm{
		name: "steady", operator: admissionRules(), flood: flood{localAddresses: oneAddress},
		pace: floodPace{connections: connections / 4, connectionsPerSecond: 1000, workers: floodWorkers},
	}
	if err := steady.runAsserted(options, result); err != nil {
		return err
	}
	baseline := floodArm{name: "no admission", flood: flood{localAddresses: oneAddress}, pace: atOnce}
	outcome, err := baseline.run(options, result)
	if err == nil {
		result.Figure("no admission known client lost", float64(outcome.during.lost))
	}
	return err
}
