package testbed

import (
	"crypto/tls"
	"time"
)

const (
	// knownAddress is an address that the operator's file lists as known, unknownAddress one that it does not.
	knownAddress   = "127.0.1.7"
	unknownAddress = "127.0.2.9"
	// floodWorkers is the number of connections that a flood opens concurrently.
	floodWorkers = 64
	// maxRecovery is how long after a flood unknown clients may have to wait until they are served again.
	maxRecovery = 5 * time.Second
	// notRecovered is recorded as the recovery time if unknown clients are not served again within maxRecovery.
	notRecovered = -1.0
)

// admissionRules returns the operator's file of the experiments, which lists known clients by address.
func admissionRules() map[string]any {
	return map[string]any{"admission": map[string]any{
		"known": []string{"127.0.1.0/24"}, "reserve": 100, "per_address": 32, "new_per_s": 200, "burst": 64,
		"views_per_address": 32, "views": 64,
	}}
}

// admissionConfig configures a cluster with one router and small objects.
func admissionConfig(operator map[string]any) ClusterConfig {
	config := noStoreConfig(1)
	config.MedianSizeKB, config.Objects, config.OperatorExtra = 30, 30, operator
	return config
}

// floodArm is an arm of an experiment in which a known client sends requests during a flood of connections.
type floodArm struct {
	name            string
	operator        map[string]any // operator's file, nil: no admission rules, and figures are recorded without assertions
	keys            *keyring       // nil: plain connections
	knownClient     string         // name of the client's certificate in keys
	flood           flood
	pace            floodPace
	descriptorLimit int            // of the router, 0: the system's limit
	duringFlood     func(*Cluster) // if set, runs during the flood
}

// floodOutcome summarises the known client's requests before and during the flood.
type floodOutcome struct{ before, during clientSummary }

// run runs the arm and records its figures.
func (a *floodArm) run(options Options, result *Result) (outcome floodOutcome, err error) {
	config := admissionConfig(a.operator)
	config.RouterDescriptorLimit = a.descriptorLimit
	if a.keys != nil {
		config.ClientTLS = a.keys.anonymousConfig()
	}
	cluster, err := startCluster(options.Seed, config, 1)
	if err != nil {
		return outcome, err
	}
	router := cluster.Routers[0]
	before := a.newKnownClient(router.Address)
	before.run(10*time.Millisecond, time.Now().Add(options.duration(1500*time.Millisecond)))
	outcome.before = before.summary()
	a.flood.address = router.Address
	cluster.inBackground(func() { // other clients, connected before the flood
		cluster.ApplyLoad(Load{RequestsPerSecond: 50, Duration: options.duration(3 * time.Second)})
	})
	floodDone := make(chan struct{})
	go func() {
		defer close(floodDone)
		a.flood.run(a.pace)
	}()
	if a.duringFlood != nil {
		cluster.inBackground(func() { a.duringFlood(cluster) })
	}
	during := a.newKnownClient(router.Address)
	during.run(10*time.Millisecond, time.Now().Add(options.duration(3*time.Second)))
	<-floodDone
	time.Sleep(200 * time.Millisecond)
	usage := router.Usage()
	a.flood.end()
	recovery := a.recoveryTime(router.Address)
	outcome.during = during.summary()
	a.logFailures(options, during)
	observed := cluster.End()
	if a.operator == nil {
		result.recordFigures(a.name, observed)
	} else {
		result.assertRules(a.name, observed)
	}
	a.recordFigures(result, &outcome, recovery, usage)
	return outcome, nil
}

func (a *floodArm) newKnownClient(address string) *knownClient {
	return &knownClient{address: address, localAddress: knownAddress, tls: a.clientTLS()}
}

func (a *floodArm) clientTLS() *tls.Config {
	if a.keys == nil {
		return nil
	}
	return a.keys.clientConfig(a.knownClient)
}

// recoveryTime returns the seconds from the end of the flood until an unknown client is served, or notRecovered.
func (a *floodArm) recoveryTime(address string) float64 {
	for endedAt := time.Now(); time.Since(endedAt) < maxRecovery; {
		unknownClient := &knownClient{address: address, localAddress: unknownAddress, tls: a.clientTLS()}
		if unknownClient.request(1).status == StatusOK {
			return time.Since(endedAt).Seconds()
		}
	}
	return notRecovered
}

// logFailures logs the known client's requests that were not served.
func (a *floodArm) logFailures(options Options, client *knownClient) {
	for i := range client.outcomes {
		outcome := &client.outcomes[i]
		if outcome.status != StatusOK {
			options.Logf("%s: request %v into the flood has status %q after %v", a.name,
				outcome.startedAt.Sub(client.outcomes[0].startedAt).Round(time.Millisecond), outcome.status,
				outcome.responseTime)
		}
	}
}

func (a *floodArm) recordFigures(result *Result, outcome *floodOutcome, recovery float64, usage Usage) {
	before, during := &outcome.before, &outcome.during
	late := during.served - during.inTime
	result.Figure(a.name+" known client connects", during.connectedShare())
	result.Figure(a.name+" known client in time share calm", before.inTimeShare())
	result.Figure(a.name+" known client in time share", during.inTimeShare())
	result.Figure(a.name+" known client slowest connect ms", float64(during.slowestConnect.Milliseconds()))
	result.Figure(a.name+" known client rejected", during.share(during.rejected))
	result.Figure(a.name+" known client served late", during.share(late))
	result.Figure(a.name+" flood tried", float64(a.flood.tried.Load()))
	result.Figure(a.name+" flood accepted", float64(a.flood.accepted.Load()))
	result.Figure(a.name+" flood rejected", float64(a.flood.rejected.Load()))
	result.Figure(a.name+" s until recovered", recovery)
	result.Figure(a.name+" files at the peak", float64(usage.Files))
}

// assertAdmission asserts that known clients are served during a flood, and unknown clients after it.
func assertAdmission(result *Result, arm string, outcome floodOutcome) {
	before, during := &outcome.before, &outcome.during
	result.Assert(during.requests > 0 && float64(during.connected) >= 0.99*float64(during.requests),
		arm+": known clients connect within 1 s", "%d of %d", during.connected, during.requests)
	result.Assert(during.inTimeShare() >= before.inTimeShare()-0.02, arm+": their requests keep their latency objectives",
		"%.3f, calm %.3f", during.inTimeShare(), before.inTimeShare())
	result.Assert(during.lost == 0, arm+": no request of theirs is lost", "%d %s", during.lost, during.firstLoss)
	recovery := result.Figures[arm+" s until recovered"]
	result.Assert(recovery >= 0, arm+": strangers are served again after it", "%.2f s", recovery)
}

// runAsserted runs the arm and asserts the results of assertAdmission.
func (a *floodArm) runAsserted(options Options, result *Result) error {
	outcome, err := a.run(options, result)
	if err != nil {
		return err
	}
	assertAdmission(result, a.name, outcome)
	return nil
}
