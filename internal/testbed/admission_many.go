package testbed

var _ = Register(Experiment{
	Name:        "admission-many",
	Description: "a thousand addresses open connections at the same time",
	Run:         runAdmissionMany,
})

func runAdmissionMany(options Options, result *Result) error {
	addresses := loopbackAddresses(1000)
	pace := floodPace{connections: options.count(10_000), workers: floodWorkers}
	many := floodArm{name: "many", operator: admissionRules(), flood: flood{localAddresses: addresses}, pace: pace}
	if err := many.runAsserted(options, result); err != nil {
		return err
	}
	baseline := floodArm{name: "no admission", flood: flood{localAddresses: addresses}, pace: pace}
	_, err := baseline.run(options, result)
	return err
}
